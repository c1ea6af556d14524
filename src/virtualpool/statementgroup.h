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
    std::uint32_t slots = 3;            ///< statements and handshakes that one server runs at the same time
    std::uint32_t queueLimit = 24;      ///< statements waiting for a slot; further ones are refused with Busy
    std::uint32_t connectionLimit = 21; ///< connections of one server, over all instances
    std::uint32_t syncReplicas = 0;     ///< replicas that must have received a commit before it is acknowledged
    Duration statusWork = std::chrono::milliseconds(1); ///< time in a slot of a status request
    Duration handshake = std::chrono::milliseconds(12);
    Duration work = std::chrono::milliseconds(8);      ///< of a statement; drawn between half and double
    Duration shipping = std::chrono::milliseconds(2);  ///< delay until a replica has received a commit
    Duration applyLag = std::chrono::milliseconds(20); ///< delay from receiving a commit to applying it
    Duration promotion = std::chrono::milliseconds(300);
    Duration demotion = std::chrono::seconds(1); ///< delay until an old primary follows a new one that it can reach
    std::uint64_t seed = 1;
};

/// Record of what the servers of a group executed, for findViolations().
struct GroupHistory
{
    struct Commit
    {
        std::vector<std::string> writes; ///< ids of the writes
        std::string commit;              ///< id of the statement that committed them
        std::size_t server = 0;
        LogPosition position;
        TimePoint at{0};
    };
    struct Read
    {
        std::string id;
        std::size_t server = 0;
        LogPosition applied; ///< end of the log that the read saw
    };
    struct Promotion
    {
        std::size_t server = 0;
        std::uint64_t term = 0;
        std::uint64_t base = 0; ///< length of its log at the promotion; later entries of earlier terms are rolled back
        std::vector<LogPosition> log; ///< positions of these entries
        TimePoint at{0};
    };

    /// One run of a prepared statement.
    struct Execution
    {
        std::string id;
        std::string shape;
        std::string parameters;
        bool writes = false;
    };

    /// One executed statement.
    struct Run
    {
        std::string id;
        std::string organisation; ///< in whose name the connection was opened; empty: the proxy
        bool isFirst = false;     ///< on its connection
        std::size_t server = 0;
        TimePoint receivedAt{0};
    };

    std::vector<Run> runs;
    std::vector<Commit> commits;
    std::vector<Read> reads;
    std::vector<Execution> executions;
    std::vector<Promotion> promotions;
    std::vector<std::string> misuse; ///< descriptions of commands that break the statement protocol
};

/// In-memory fake of one group of backend servers that speaks the statement protocol, in virtual time: slots, a bounded
/// queue, a connection limit, asynchronous replication with lag, log positions and promotion of a replica. Not
/// synchronised. Owned by VirtualPool or by the StatementServers of the fake platform.
class StatementGroup final
{
public:
    struct Callbacks
    {
        std::function<void(std::uint64_t connection, ServerMessage message)> deliver; ///< sends to the client
        std::function<void(std::uint64_t connection)> dropped; ///< the server closed the connection
    };

    StatementGroup(StatementGroupOptions groupOptions, EventQueue &eventQueue, Callbacks groupCallbacks);

    /// Returns false if the server does not run.
    bool connect(std::size_t server, std::uint64_t connection);
    void receive(std::uint64_t connection, const ServerCommand &command);
    void disconnect(std::uint64_t connection);

    /// Starts the promotion of a server to primary. Returns false if the server does not run.
    bool promote(std::size_t server);
    /// Starts or stops a server. A stopped server closes its connections and keeps its log.
    void setRunning(std::size_t server, bool running);
    void setDraining(std::size_t server, bool draining) { this->servers.at(server).draining = draining; }
    /// Isolates a server from replication: a replica receives no entries, a primary sends none.
    void setReplicationIsolated(std::size_t server, bool isolated);
    void setApplyLag(std::size_t server, Duration lag) { this->servers.at(server).applyLag = lag; }
    /// Drops the connection instead of answering after this share of the executed statements, in percent.
    void setLostAnswers(std::size_t server, std::uint32_t percent) { this->servers.at(server).lostAnswers = percent; }

    /// Refuses the next commands that prepare a statement.
    void setRefusedPreparations(std::size_t server, std::uint32_t count)
    {
        this->servers.at(server).refusedPreparations = count;
    }

    /// Refuses the next status requests, as if no slot were free.
    void setBusyStatuses(std::size_t server, std::uint32_t count) { this->servers.at(server).busyStatuses = count; }

    /// Condition of a server that still accepts connections and answers control commands.
    struct Impairment
    {
        std::uint32_t failedPercent = 0; ///< of the statements: answered with Failed at once
        bool hangs = false;              ///< statements get no answer
        std::uint32_t workPercent = 100; ///< time of a statement in a slot, in percent of the usual one
    };
    void setImpairment(std::size_t server, Impairment impairment) { this->servers.at(server).impairment = impairment; }
    /// Statements of callers that a server received, and how it answered.
    struct Tally
    {
        std::uint64_t received = 0;
        std::uint64_t rejected = 0; ///< with Busy
        std::uint64_t failed = 0;   ///< without an answer, or with Failed
    };
    [[nodiscard]] const Tally &tally(std::size_t server) const { return this->servers.at(server).tally; }

    [[nodiscard]] std::string id(std::size_t server) const;
    [[nodiscard]] std::size_t size() const { return this->servers.size(); }
    [[nodiscard]] bool isRunning(std::size_t server) const { return this->servers.at(server).running; }
    [[nodiscard]] bool isDraining(std::size_t server) const { return this->servers.at(server).draining; }
    [[nodiscard]] bool isPrimary(std::size_t server) const { return this->servers.at(server).primary; }
    [[nodiscard]] const std::string &domain(std::size_t server) const { return this->options.domains.at(server); }
    [[nodiscard]] std::uint64_t incarnation(std::size_t server) const { return this->servers.at(server).starts; }
    [[nodiscard]] std::size_t connectionCount(std::size_t server) const;
    /// Greetings that the servers have accepted since the start.
    [[nodiscard]] std::uint64_t handshakes() const { return this->handshakeCount; }
    [[nodiscard]] const GroupHistory &history() const { return this->record; }
    [[nodiscard]] const StatementGroupOptions &settings() const { return this->options; }

private:
    struct Entry
    {
        LogPosition position;
        TimePoint receivedAt{0};
    };
    struct PreparedShape
    {
        bool writes = false;
        std::string shape;
    };
    struct Connection
    {
        std::size_t server = 0;
        std::string organisation; ///< in whose name it was opened
        std::uint64_t runs = 0;   ///< statements that were executed on it
        SessionState state = SessionState::Idle;
        bool readOnly = false;
        std::vector<std::string> writes; ///< ids of the writes in the open transaction
        std::map<std::string, std::string> values;
        std::map<std::string, PreparedShape> prepared; ///< by name
        std::deque<ServerCommand> commands;            ///< pipelined commands; the first one is being executed
    };
    struct Server
    {
        bool running = true;
        bool primary = false;
        bool draining = false;
        bool replicationIsolated = false;
        std::uint64_t term = 1;
        std::uint64_t heldTerm = 0; ///< replication of terms below this one is paused; 0: none
        std::uint64_t starts = 1;   ///< incremented at each start and stop
        std::vector<Entry> log;
        std::size_t applied = 0; ///< number of applied log entries; a primary has applied all
        Duration applyLag{0};
        std::uint32_t lostAnswers = 0;         ///< percent
        std::uint32_t refusedPreparations = 0; ///< number of commands still to be refused
        std::uint32_t busyStatuses = 0;        ///< number of status requests still to be refused
        Impairment impairment;
        Tally tally;
        std::uint32_t busySlots = 0;
        std::deque<std::function<void()>> waiting; ///< jobs waiting for a slot
    };

    void processNext(std::uint64_t connection);
    void perform(std::uint64_t connection, const ServerCommand &command);
    void greet(std::uint64_t connection, const ServerCommand &command);
    void prepare(std::uint64_t connection, const ServerCommand &command);
    void reportStatus(std::uint64_t connection);
    /// Answers a write when enough replicas have received it.
    void acknowledge(std::uint64_t connection, const ServerCommand &command, LogPosition committed);
    void answerStatement(std::uint64_t connection, const ServerCommand &command);
    void begin(std::uint64_t connection, const ServerCommand &command);
    void runStatement(std::uint64_t connection, const ServerCommand &command);
    void finishStatement(std::uint64_t connection, const ServerCommand &command, LogPosition appliedNow,
                         TimePoint receivedAt);
    void occupySlot(std::size_t server, Duration duration, std::function<void()> done);
    void freeSlot(std::size_t server);
    LogPosition append(std::size_t server, GroupHistory::Commit commit);
    void completePromotion(std::size_t server);
    void follow(std::size_t server, std::size_t primaryIndex);
    /// Removes entries from the log of \a server that \a source does not have.
    static void rollBack(Server &server, const Server &source);
    void ship(std::size_t from, std::size_t to);
    void answer(std::uint64_t connection, std::string digest, std::optional<OutcomeError> error);
    void refuse(std::uint64_t connection, OutcomeCode code);
    void drop(std::uint64_t connection);
    /// Whether the server is the primary of the newest term. A replaced primary keeps its role until it follows the new
    /// one.
    [[nodiscard]] bool isCurrentPrimary(std::size_t server) const;
    [[nodiscard]] bool writes(const Connection &connection, const ServerCommand &command) const;
    [[nodiscard]] LogPosition received(std::size_t server) const;
    [[nodiscard]] LogPosition applied(std::size_t server);
    [[nodiscard]] bool hasApplied(std::size_t server, LogPosition position);

    StatementGroupOptions options;
    EventQueue &events;
    Callbacks callbacks;
    SeededRandom random;
    std::vector<Server> servers;
    std::map<std::uint64_t, Connection> connections;
    GroupHistory record;
    std::uint64_t handshakeCount = 0;
};

} // namespace Jujubekeel
