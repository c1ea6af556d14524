#pragma once

#include "core/time.h"
#include "pool/poolmessages.h"
#include "session/logposition.h"
#include "virtualfleet/eventqueue.h"
#include "virtualfleet/seededrandom.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Jujubekeel {

struct StatementGroupOptions
{
    std::string service = "records";
    std::vector<std::string> domains = {"d0", "d1", "d2"}; ///< failure domain of each server
    std::uint32_t slots = 3;            ///< statements and greetings that run at one time in one server
    std::uint32_t queueLimit = 24;      ///< statements that wait for a slot; more are refused
    std::uint32_t connectionLimit = 21; ///< of one server, over all callers
    Duration handshake = std::chrono::milliseconds(12);
    Duration work = std::chrono::milliseconds(8);      ///< mean time of a statement; between half and double
    Duration shipping = std::chrono::milliseconds(2);  ///< until a replica has received a commit
    Duration applyLag = std::chrono::milliseconds(20); ///< until it has applied it
    Duration promotion = std::chrono::milliseconds(300);
    Duration demotion = std::chrono::seconds(1); ///< until an old primary follows a new one that it reaches
    std::uint64_t seed = 1;
};

/// What the servers of a group have done, for the checker.
struct GroupHistory
{
    struct Commit
    {
        std::vector<std::string> writes; ///< ids of the writes
        std::string commit;              ///< id of the statement that was answered
        std::size_t server = 0;
        LogPosition position;
        TimePoint at{0};
    };
    struct Read
    {
        std::string id;
        std::size_t server = 0;
        LogPosition applied;
    };
    struct Lead
    {
        std::size_t server = 0;
        std::uint64_t term = 0;
        std::uint64_t base = 0;       ///< commits that it had; all others of earlier terms are gone
        std::vector<LogPosition> log; ///< their positions
        TimePoint at{0};
    };

    std::vector<Commit> commits;
    std::vector<Read> reads;
    std::vector<Lead> leads;
    std::vector<std::string> misuse; ///< statements that broke the protocol, in plain words
};

/// Stand-in for one group of backend servers that speaks the statement protocol: slots, a bounded queue, a connection
/// limit, asynchronous replication with lag, positions, and replacement of the primary. In memory and in virtual time.
/// Owned by VirtualPool.
class StatementGroup final
{
public:
    struct Callbacks
    {
        std::function<void(std::uint64_t connection, ServerMessage message)> deliver;
        std::function<void(std::uint64_t connection)> dropped;
    };

    StatementGroup(StatementGroupOptions groupOptions, EventQueue &eventQueue, Callbacks groupCallbacks);

    /// Returns false if the server does not run.
    bool connect(std::size_t server, std::uint64_t connection);
    void receive(std::uint64_t connection, const ServerCommand &command);
    void disconnect(std::uint64_t connection);

    /// Names the next primary. Returns false if the server does not run.
    bool promote(std::size_t server);
    /// A server that stops loses its connections; it keeps its log.
    void setRunning(std::size_t server, bool running);
    void setDraining(std::size_t server, bool draining) { this->servers.at(server).draining = draining; }
    /// A replica that receives nothing, or a primary that ships nothing.
    void setReplicationCut(std::size_t server, bool cut);
    void setApplyLag(std::size_t server, Duration lag) { this->servers.at(server).applyLag = lag; }
    /// Of the statements that the server runs, this share in percent gets no answer.
    void setLostAnswers(std::size_t server, std::uint32_t percent) { this->servers.at(server).lostAnswers = percent; }

    [[nodiscard]] std::string id(std::size_t server) const;
    [[nodiscard]] std::size_t size() const { return this->servers.size(); }
    [[nodiscard]] bool isRunning(std::size_t server) const { return this->servers.at(server).running; }
    [[nodiscard]] bool isDraining(std::size_t server) const { return this->servers.at(server).draining; }
    [[nodiscard]] bool isPrimary(std::size_t server) const { return this->servers.at(server).primary; }
    [[nodiscard]] const std::string &domain(std::size_t server) const { return this->options.domains.at(server); }
    [[nodiscard]] std::uint64_t incarnation(std::size_t server) const { return this->servers.at(server).starts; }
    [[nodiscard]] std::size_t connectionCount(std::size_t server) const;
    [[nodiscard]] const GroupHistory &history() const { return this->record; }
    [[nodiscard]] const StatementGroupOptions &settings() const { return this->options; }

private:
    struct Entry
    {
        LogPosition position;
        TimePoint receivedAt{0};
    };
    struct Connection
    {
        std::size_t server = 0;
        SessionState state = SessionState::Idle;
        bool readOnly = false;
        std::vector<std::string> writes; ///< of the open transaction
        std::map<std::string, std::string> values;
        std::map<std::string, bool> prepared; ///< name, writes
        std::deque<ServerCommand> commands;   ///< the first is being answered
    };
    struct Server
    {
        bool running = true;
        bool primary = false;
        bool draining = false;
        bool cut = false;
        std::uint64_t term = 1;
        std::uint64_t heldTerm = 0;
        std::uint64_t starts = 1;
        std::vector<Entry> log;
        std::size_t applied = 0; ///< entries of the log; a primary has applied all
        Duration applyLag{0};
        std::uint32_t lostAnswers = 0;
        std::uint32_t busySlots = 0;
        std::deque<std::function<void()>> waiting; ///< jobs for a slot
    };

    void next(std::uint64_t connection);
    void perform(std::uint64_t connection, const ServerCommand &command);
    void greet(std::uint64_t connection, const ServerCommand &command);
    void begin(std::uint64_t connection, const ServerCommand &command);
    void runStatement(std::uint64_t connection, const ServerCommand &command);
    void finishStatement(std::uint64_t connection, const ServerCommand &command, LogPosition appliedAtStart);
    void occupySlot(std::size_t server, Duration duration, std::function<void()> done);
    void freeSlot(std::size_t server);
    void append(std::size_t server, GroupHistory::Commit commit);
    void lead(std::size_t server);
    void follow(std::size_t server, std::size_t leader);
    void ship(std::size_t from, std::size_t to);
    void answer(std::uint64_t connection, std::string digest, std::optional<OutcomeError> error);
    void refuse(std::uint64_t connection, OutcomeCode code);
    void drop(std::uint64_t connection);
    /// It is the primary of the newest term; a replaced primary may not know that it is none.
    [[nodiscard]] bool isLeader(std::size_t server) const;
    [[nodiscard]] bool writes(const Connection &connection, const ServerCommand &command) const;
    [[nodiscard]] LogPosition received(std::size_t server) const;
    [[nodiscard]] LogPosition applied(std::size_t server);
    [[nodiscard]] bool holds(std::size_t server, LogPosition position);

    StatementGroupOptions options;
    EventQueue &events;
    Callbacks callbacks;
    SeededRandom random;
    std::vector<Server> servers;
    std::map<std::uint64_t, Connection> connections;
    GroupHistory record;
};

} // namespace Jujubekeel
