#pragma once

#include "core/failurereason.h"
#include "net/httplistener.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Jujubekeel {

/// What the operators' listener can ask for. Each function may be called from any of the listener's threads.
struct OperatorFunctions
{
    std::function<std::string()> status;                                             ///< JSON
    std::function<std::string()> metrics;                                            ///< Prometheus text
    std::function<std::string()> rules;                                              ///< JSON
    std::function<std::optional<std::string>(const std::string &requestId)> explain; ///< JSON
    std::function<std::optional<std::string>(const std::string &traceId)> trace;     ///< JSON
    /// JSON for the shape of a request, `DATABASE/KIND/OPERATION`; empty with a reason.
    std::function<std::optional<std::string>(const std::string &path, FailureReason &reason)> preview;
    std::function<void()> drain; ///< starts a planned stop
};

/// The operators' listener. Owned by ProxyShell.
class OperatorServer final
{
public:
    /// Requests must carry one of \a keys in the header `Operator-Key`; without keys none is asked for.
    OperatorServer(HttpListenerOptions options, std::vector<std::string> keys, OperatorFunctions functions);

    void start();
    void stop(Duration wait);
    [[nodiscard]] const std::string &address() const { return this->listener.address(); }

private:
    void handle(const HttpCall &call);
    [[nodiscard]] HttpReply reply(const HttpCall &call) const;
    [[nodiscard]] bool isAuthorized(const HttpCall &call) const;

    std::vector<std::string> keys;
    OperatorFunctions functions;
    HttpListener listener;
};

} // namespace Jujubekeel
