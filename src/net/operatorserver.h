#pragma once

#include "core/failurereason.h"
#include "net/httplistener.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Jujubekeel {

/// Functions behind the endpoints of OperatorServer. Each may be called from any of the listener's threads.
struct OperatorFunctions
{
    std::function<std::string()> status;                                             ///< JSON
    std::function<std::string()> metrics;                                            ///< Prometheus text
    std::function<std::string()> rules;                                              ///< JSON
    std::function<std::optional<std::string>(const std::string &requestId)> explain; ///< JSON; empty if unknown
    std::function<std::optional<std::string>(const std::string &traceId)> trace;     ///< JSON; empty if unknown
    /// Routing decision in JSON for a request described by `DATABASE/KIND/OPERATION`. On failure returns std::nullopt
    /// and sets \a reason.
    std::function<std::optional<std::string>(const std::string &path, FailureReason &reason)> preview;
    std::function<void()> drain; ///< starts a planned stop
};

/// HTTP listener for operators: status, metrics, rules, diagnostics of requests and the planned stop. Owned by
/// ProxyDaemon.
class OperatorServer final
{
public:
    /// Requests must carry one of \a keys in the header `Operator-Key`; an empty list disables this check.
    OperatorServer(HttpListenerOptions options, std::vector<std::string> keys, OperatorFunctions functions);

    void start();
    void stop(Duration wait);
    [[nodiscard]] const std::string &address() const { return this->listener.address(); }

private:
    void handle(const HttpRequest &request);
    [[nodiscard]] HttpResponse makeResponse(const HttpRequest &request) const;
    [[nodiscard]] bool isAuthorized(const HttpRequest &request) const;

    std::vector<std::string> keys;
    OperatorFunctions functions;
    HttpListener listener;
};

} // namespace Jujubekeel
