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

class RecordStore;
class TrafficCounters;

struct CallerServerOptions
{
    HttpListenerOptions listener;
    std::string instance; ///< name shown by /v1/health
};

/// The callers' listener: turns HTTP requests into CallerRequestArrived and answers into HTTP responses; docs/api.md
/// describes the protocol. Owned by ProxyShell; deliver() is called from the core thread.
class CallerServer final
{
public:
    using Post = std::function<void(Input input)>;

    CallerServer(CallerServerOptions options, Post post, RecordStore &records, TrafficCounters &counters);
    ~CallerServer();

    void start();
    /// Waits at most \a wait for answers that are being written, then closes all connections.
    void stop(Duration wait);
    /// From now on /v1/health answers 503, so that load balancers send callers elsewhere.
    void announceStop();

    void deliver(const CallerAnswer &answer);

    [[nodiscard]] const std::string &address() const { return this->listener.address(); }
    [[nodiscard]] std::size_t connectionCount() const { return this->listener.connectionCount(); }
    [[nodiscard]] std::uint64_t refusedConnections() const { return this->listener.refusedConnections(); }
    /// Requests that wait for the core's answer.
    [[nodiscard]] std::size_t pendingCount() const;

private:
    struct Pending
    {
        CallerRequest request; ///< without the statement and the token
        TimePoint arrived{0};
    };

    void handle(HttpCall call);
    void handleRequest(HttpCall &call, std::string database);
    void gone(std::uint64_t exchange);
    void refuse(std::uint64_t exchange, ResultCode code, const std::string &text);
    [[nodiscard]] HttpReply errorReply(ResultCode code, const std::string &text) const;

    CallerServerOptions options;
    Post post;
    RecordStore &records;
    TrafficCounters &counters;
    std::atomic<bool> stopping{false};
    mutable std::mutex mutex;
    std::unordered_map<std::uint64_t, Pending> pending; ///< by ticket, which is the exchange's number
    HttpListener listener;
};

} // namespace Jujubekeel
