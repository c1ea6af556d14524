#pragma once

#include "core/callermessages.h"
#include "core/input.h"
#include "net/httplistener.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>

namespace Jujubekeel {

class DiagnosticStore;
class TrafficCounters;

struct CallerServerOptions
{
    HttpListenerOptions listener;
    std::string instance; ///< name shown by /v1/health
};

/// HTTP listener for callers. Converts HTTP requests to CallerRequestArrived inputs and caller answers to HTTP
/// responses; docs/api.md describes the protocol. Owned by ProxyDaemon; deliver() is called from the core thread.
class CallerServer final
{
public:
    using Post = std::function<void(Input input)>;

    CallerServer(CallerServerOptions options, Post post, DiagnosticStore &diagnostics, TrafficCounters &counters);
    ~CallerServer();

    void start();
    /// Waits at most \a wait until the requests in progress are answered, then closes all connections.
    void stop(Duration wait);
    /// Makes /v1/health return status 503 from now on, so that load balancers route callers to other instances. Any
    /// thread.
    void failHealthChecks();

    /// Sends the answer to its caller; has no effect if the caller has disconnected.
    void deliver(const CallerAnswer &answer);

    [[nodiscard]] const std::string &address() const { return this->listener.address(); }
    [[nodiscard]] std::size_t connectionCount() const { return this->listener.connectionCount(); }
    [[nodiscard]] std::uint64_t refusedConnections() const { return this->listener.refusedConnections(); }
    /// Requests that wait for the core's answer.
    [[nodiscard]] std::size_t pendingCount() const;

private:
    struct Pending
    {
        CallerRequest request; ///< statement and token are cleared: diagnostics must not hold them
        TimePoint arrived{0};
    };

    void handle(HttpRequest httpRequest);
    void handleRequest(HttpRequest &httpRequest, std::string database);
    void handleDisconnect(std::uint64_t exchangeId);
    void refuse(std::uint64_t exchangeId, ResultCode code, const std::string &text);
    [[nodiscard]] HttpResponse errorResponse(ResultCode code, const std::string &text) const;

    CallerServerOptions options;
    Post post;
    DiagnosticStore &diagnostics;
    TrafficCounters &counters;
    std::atomic<bool> stopping{false};
    mutable std::mutex mutex;
    std::unordered_map<std::uint64_t, Pending> pending; ///< by ticket, which is the listener's exchange number
    HttpListener listener;
};

} // namespace Jujubekeel
