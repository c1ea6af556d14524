#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace Review {

class Stream;

/// One group of backend servers that speak the wire protocol: a primary and its replicas, with logs, replication, and
/// acknowledgements that wait for synchronous replicas. Each connection has a thread. Thread-safe.
class ServerGroup final
{
public:
    struct Options
    {
        std::string service;
        /// Of each server, without the port. The first server is the first primary.
        std::vector<std::string> hosts;
        /// Each server listens at one port for each path: path 0 is not used, path N is that of instance N.
        std::size_t paths = 1;
        std::int64_t workMs = 4;
        std::int64_t promotionMs = 600;
        std::int64_t shippingMs = 8; ///< until a replica has received a commit
        std::int64_t applyLagMs = 20;
    };
    using Recorder = std::function<void(const std::string &event, const std::string &detail)>;

    ServerGroup(Options groupOptions, Recorder recordEvent);
    void start();

    [[nodiscard]] std::size_t size() const { return this->options.hosts.size(); }
    [[nodiscard]] std::string id(std::size_t server) const;
    [[nodiscard]] std::string address(std::size_t server, std::size_t path) const;
    /// Whether the server writes its entry: it runs and reaches the store.
    [[nodiscard]] bool isReporting(std::size_t server);
    [[nodiscard]] bool isPrimary(std::size_t server);
    [[nodiscard]] std::int64_t bornMs(std::size_t server);
    void setSyncReplicas(std::uint32_t count);

    /// Returns false if the server does not run.
    bool promote(const std::string &id);
    /// A crash: all connections are lost. The server returns with its log.
    void setRunning(std::size_t server, bool running);
    /// Partitioned from the store, not from the other servers.
    void setStoreCut(std::size_t server, bool cut);
    /// Partitioned from one instance: connections are reset, new ones are refused.
    void setPathCut(std::size_t server, std::size_t path, bool cut);
    /// Receives nothing from the primary.
    void setDeaf(std::size_t server, bool deaf);
    /// Partitioned from the other servers.
    void setIsolated(std::size_t server, bool isolated);

private:
    struct Entry
    {
        std::uint64_t term = 0;
        std::int64_t receivedAt = 0;
        std::string statement; ///< id of the write, or of the commit
        std::vector<std::pair<std::string, std::string>> writes;
    };
    struct Path
    {
        int listener = -1;
        bool cut = false;
        std::vector<std::weak_ptr<Stream>> connections;
    };
    struct Server
    {
        bool primary = false;
        bool running = true;
        bool storeCut = false;
        bool deaf = false;
        bool isolated = false;
        std::uint64_t term = 1;
        std::uint64_t heldTerm = 0;
        std::int64_t bornAt = 0;
        std::vector<Entry> log;
        std::vector<Path> paths;
    };
    struct Session
    {
        std::string name; ///< in whose name the connection was opened
        char state = 'I';
        bool readOnly = false;
        std::vector<std::pair<std::string, std::string>> writes;
        std::map<std::string, std::pair<bool, std::string>> prepared; ///< whether it writes, and its shape
    };
    struct Delayed
    {
        std::int64_t due = 0;
        std::function<void()> action;
        bool operator>(const Delayed &other) const { return this->due > other.due; }
    };

    void openPath(std::size_t server, std::size_t path);
    void closePath(std::size_t server, std::size_t path);
    void accept(std::size_t server, std::size_t path, int listener);
    void serve(std::size_t server, const std::shared_ptr<Stream> &stream);
    std::string answer(std::size_t server, Session &session, std::string_view id, std::string_view text,
                       std::unique_lock<std::mutex> &lock);
    std::string run(std::size_t server, Session &session, std::string_view id, std::string_view text,
                    std::unique_lock<std::mutex> &lock);
    std::string commit(std::size_t server, Session &session, std::string_view id,
                       std::vector<std::pair<std::string, std::string>> writes, std::unique_lock<std::mutex> &lock);
    std::string status(std::size_t server);
    [[nodiscard]] std::size_t appliedCount(std::size_t server) const;
    [[nodiscard]] std::string position(std::size_t server, std::size_t count) const;
    [[nodiscard]] bool holds(std::size_t server, std::string_view position) const;
    [[nodiscard]] std::string error(std::size_t server, Session &session, const std::string &code);
    [[nodiscard]] std::string success(std::size_t server, Session &session, std::string_view id,
                                      const std::string &rows);
    /// The entries up to \a count reach a replica.
    void receive(std::size_t from, std::size_t to, const std::vector<Entry> &entries, std::uint64_t term);
    [[nodiscard]] bool reach(std::size_t one, std::size_t other) const;
    void follow(std::size_t server, std::size_t leader);
    void completePromotion(std::size_t server);
    void later(std::int64_t delayMs, std::function<void()> action);
    void runDelayed();

    Options options;
    Recorder record;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<Server> servers;
    std::uint32_t syncReplicas = 0;
    std::priority_queue<Delayed, std::vector<Delayed>, std::greater<>> delayed;
};

} // namespace Review
