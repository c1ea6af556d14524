#pragma once

#include "objectstore.h"
#include "recorder.h"
#include "tcp.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Review {

struct GroupOptions
{
    std::string service;
    std::vector<std::string> zones; ///< of the servers; the first one is the primary
    std::vector<Endpoint> endpoints;
    std::uint32_t slots = 3;
    std::uint32_t maxConnections = 21;
    std::uint32_t syncReplicas = 0;
    int handshakeMs = 12;
    int workMs = 8; ///< of a read, write or commit; of a read whose item ends with "/N" it is N
    int shipMs = 8; ///< until a replica has received a commit
    int applyMs = 20;
    int promoteMs = 600;
    int heartbeatMs = 1200;
};

/// One database: backend servers that speak the wire protocol, replicate, check in and can be promoted.
class DatabaseGroup final
{
public:
    DatabaseGroup(GroupOptions groupOptions, ObjectStore &objectStore, Recorder &caseRecorder);
    ~DatabaseGroup();
    DatabaseGroup(const DatabaseGroup &) = delete;
    DatabaseGroup &operator=(const DatabaseGroup &) = delete;

    [[nodiscard]] const std::string &service() const { return this->options.service; }
    [[nodiscard]] std::string idOf(std::size_t server) const;
    [[nodiscard]] std::size_t size() const { return this->options.zones.size(); }
    /// The server ends without a word; its connections are reset and new ones are refused.
    void crash(std::size_t server);
    /// It comes back with its log.
    void restart(std::size_t server);
    /// While it is deaf a replica receives nothing.
    void setDeaf(std::size_t server, bool deaf);
    /// A server that is cut off from the others neither sends them its commits nor learns of a new primary.
    void setCutOff(std::size_t server, bool cutOff);
    /// The server reports that it will leave, as before a planned shutdown, and serves on.
    void setDraining(std::size_t server);
    /// Messages between a server and the entry instances are held up.
    void setSilent(std::size_t server, bool silent);
    /// Returns an HTTP status. \a token and \a holder are written to the record.
    int promote(const std::string &id, const std::string &holder, const std::string &token);
    /// The running server that leads the highest term; empty if there is none.
    [[nodiscard]] std::optional<std::size_t> leader();
    /// Whether the log of the server contains the write or commit with this id.
    [[nodiscard]] bool holds(std::size_t server, const std::string &id);
    [[nodiscard]] std::size_t promotions();
    [[nodiscard]] std::string positionOf(std::size_t server);

private:
    using Clock = std::chrono::steady_clock;

    struct Position
    {
        std::uint64_t term = 0;
        std::uint64_t number = 0;
        auto operator<=>(const Position &) const = default;
    };
    struct Entry
    {
        Position position;
        std::vector<std::pair<std::string, std::string>> writes; ///< item and data
        std::string id;                                          ///< of the write or commit
        Clock::time_point receivedAt;
    };
    struct Server
    {
        std::string id;
        bool running = true;
        bool primary = false;
        bool deaf = false;
        bool cutOff = false;
        bool draining = false;
        bool silent = false;
        std::uint64_t term = 1;
        std::uint64_t heldTerm = 0;
        std::uint64_t starts = 1;
        std::int64_t born = 0;
        std::vector<Entry> log;
        std::uint32_t busySlots = 0;
        std::deque<std::uint64_t> waiting; ///< tickets of those that wait for a slot
        std::set<int> connections;
        int listener = -1;
    };
    struct Session
    {
        int descriptor = -1;
        std::size_t server = 0;
        std::uint64_t starts = 0;
        char state = 'I';
        bool readOnly = false;
        std::vector<std::pair<std::string, std::string>> writes;
        std::map<std::string, std::pair<bool, std::string>> prepared;
    };
    struct Result
    {
        std::vector<std::string> rows;
        std::string digest = "-";
        std::string error; ///< code and text; empty: success
    };

    void accept(std::size_t server, int listener, std::uint64_t starts);
    void serve(std::size_t server, int descriptor, std::uint64_t starts);
    /// Returns false if the server has ended meanwhile.
    bool greet(Session &session, const std::string &line);
    Result run(Session &session, const std::string &id, std::string text);
    Result runStatement(Session &session, const std::string &id, const std::string &text, bool writes);
    Result status(Session &session);
    /// Waits for a slot and holds it for a time. Returns false if the server has ended meanwhile.
    bool occupySlot(Session &session, int milliseconds);
    /// Appends a commit and waits for the replicas that must have it. Returns false if the server has ended meanwhile.
    bool commit(std::unique_lock<std::mutex> &lock, Session &session, const std::string &id);
    [[nodiscard]] bool isLive(const Session &session) const;
    [[nodiscard]] Position lastOf(const Server &server) const;
    [[nodiscard]] Position appliedOf(const Server &server) const;
    [[nodiscard]] std::optional<std::size_t> leaderIndex() const;
    void start(std::size_t server);
    void replicate();
    void checkIn();

    GroupOptions options;
    ObjectStore &store;
    Recorder &recorder;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<Server> servers;
    std::uint64_t nextTicket = 1;
    std::uint64_t newestTerm = 1;
    std::uint64_t nextDigest = 1;
    std::size_t promotionCount = 0;
    std::map<std::size_t, Clock::time_point> stepDownAt; ///< of servers that no longer lead
    std::atomic<bool> stopping{false};
    std::atomic<int> threads{0};
    std::thread replication;
    std::thread checkIns;
};

} // namespace Review
