#pragma once

#include "core/action.h"
#include "core/fleetlayout.h"
#include "core/input.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace Jujubekeel {

class Logger;
class TrafficCounters;

struct BackendConnectionsOptions
{
    FleetLayout layout;
    std::string instance;
    std::uint32_t workThreads = 64; ///< limit of work connections, one thread each; control connections do not count
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration openTimeout = std::chrono::seconds(5); ///< time limit for the response to /v1/open
};

/// Executes the actions OpenConnection, SendToBackend and CloseConnection. Each connection has its own thread and HTTP
/// connection. Owned by ProxyDaemon; open(), send() and close() are called from the core thread and do not block.
class BackendConnections final
{
public:
    using Post = std::function<void(Input input)>;

    BackendConnections(BackendConnectionsOptions options, Post post, Logger &logger, TrafficCounters &counters);
    /// Closes all connections and waits for their threads.
    ~BackendConnections();
    BackendConnections(const BackendConnections &) = delete;
    BackendConnections &operator=(const BackendConnections &) = delete;

    void open(const OpenConnection &action);
    void send(SendToBackend action);
    void close(const CloseConnection &action);

    /// Connections that are open or being opened.
    [[nodiscard]] std::size_t count() const;

private:
    struct Entry;
    using EntryPointer = std::shared_ptr<Entry>;

    void run(const EntryPointer &entry);
    bool login(const EntryPointer &entry);
    bool exchange(const EntryPointer &entry, const BackendRequest &request);
    bool waitForRequest(const EntryPointer &entry, BackendRequest &request);
    void report(const EntryPointer &entry, Input input);

    BackendConnectionsOptions options;
    Post post;
    Logger &logger;
    TrafficCounters &counters;

    mutable std::mutex mutex;
    std::condition_variable finished;
    std::unordered_map<ConnectionId, EntryPointer> entries;
    std::uint32_t workThreads = 0; ///< running threads of work connections
    std::uint32_t threads = 0;     ///< running threads of all connections
};

} // namespace Jujubekeel
