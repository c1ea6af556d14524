#pragma once

#include "core/backendmessages.h"
#include "core/time.h"
#include "session/logposition.h"
#include "session/termhistory.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Jujubekeel {

struct FakeBackendOptions
{
    std::string name;
    std::vector<std::string> group;                      ///< names of all servers of the group, this one included
    std::string firstPrimary;                            ///< primary of term 1
    std::uint32_t slots = 3;                             ///< limit of statements that run at the same time
    std::uint32_t connectionLimit = 20;                  ///< limit of open connections, control connections included
    Duration serviceTime = std::chrono::milliseconds(3); ///< execution time of a statement
    Duration heartbeatInterval = std::chrono::milliseconds(50); ///< interval of replication heartbeats
    Duration lockTimeout = std::chrono::seconds(2); ///< control connections without a request for this long are closed
    Duration applyLag{0};                           ///< delay between receiving and applying a log entry at a replica
    std::uint32_t appendBatch = 256;                ///< limit of log entries in one replication message
};

/// Log entries and heartbeats from a primary to a replica.
struct ReplicationAppend
{
    std::uint64_t term = 0;
    TermHistory history;
    std::uint64_t heartbeat = 0; ///< number of the message, increasing; returned in the acknowledgement
    std::uint64_t previous = 0;  ///< position before the first entry
    struct Entry
    {
        std::uint64_t term = 0;
        std::string requestKey;
        std::string statements; ///< the statements of the transaction, one per line
        std::string value;      ///< result, returned again for a repeated key
    };
    std::vector<Entry> entries;
    std::string promoter; ///< instance that fenced `term`; empty for the first term
};

/// Acknowledgement from a replica.
struct ReplicationAcknowledge
{
    std::uint64_t term = 0; ///< term of the accepted message; in a refusal, the term that the replica is fenced with
    bool accepted = false;
    std::uint64_t heartbeat = 0;
    LogPosition received;
};

using ReplicationMessage = std::variant<ReplicationAppend, ReplicationAcknowledge>;

/// Outputs of a fake backend server.
struct FakeBackendAnswer
{
    std::uint64_t session = 0;
    BackendAnswer answer;
};
struct FakeBackendClosed
{
    std::uint64_t session = 0;
};
struct FakeBackendReplication
{
    std::string to;
    ReplicationMessage message;
};
using FakeBackendOutput = std::variant<FakeBackendAnswer, FakeBackendClosed, FakeBackendReplication>;

/// In-memory fake of one backend server of a database group: a key-value database with a replicated log, terms,
/// fencing, slots, a connection limit, a session-level lock and transactions. It uses no sockets, threads or clocks;
/// each call passes the current time. Used by the fake-backend program, the virtual fleet and tests; not thread-safe.
///
/// Opening a work session fails if its instance does not hold the lock, and its requests are answered NotLockHolder
/// once the instance has lost the lock. Only the statements of Execute and ExecuteInside take a slot and `serviceTime`;
/// everything else is answered at once. A standalone statement that is running when its client closes the session still
/// takes effect; one whose session is ended by the server (PreemptLock, TerminateOthers) does not.
///
/// A log position holds the last term that starts at or before it. A server that has adopted a newer term but lacks
/// entries before the start of that term therefore compares as older than a server that holds these entries.
///
/// Statements: `get K`, `put K V`, `append K V` (adds V to the list at K), `count K` (entries of the list at K),
/// `fail TEXT` (statement error).
class FakeBackend final
{
public:
    explicit FakeBackend(FakeBackendOptions options);
    ~FakeBackend();
    FakeBackend(FakeBackend &&) noexcept;
    FakeBackend &operator=(FakeBackend &&) noexcept;
    FakeBackend(const FakeBackend &) = delete;
    FakeBackend &operator=(const FakeBackend &) = delete;

    /// Opens a session. Returns false if the connection limit is reached, or for a work session whose instance does not
    /// hold the lock; \a session must be new.
    bool open(TimePoint now, std::uint64_t session, const BackendLogin &login);
    /// Handles a session closed by its client; an open transaction is rolled back.
    void close(TimePoint now, std::uint64_t session);
    void request(TimePoint now, std::uint64_t session, const BackendRequest &request);
    void replicate(TimePoint now, const std::string &from, const ReplicationMessage &message);
    /// Processes everything that is due: finished statements, heartbeats, entries to apply, lock timeouts.
    void advance(TimePoint now);
    /// Time at which advance() must be called next.
    [[nodiscard]] TimePoint nextEvent() const;
    /// Returns and removes the outputs since the last call, in order.
    [[nodiscard]] std::vector<FakeBackendOutput> takeOutputs();

    [[nodiscard]] ServerStatus status(TimePoint now) const;
    /// Changes `applyLag`, to simulate a lagging replica.
    void setApplyLag(Duration lag);

    // For consistency checks.
    /// All stored log entries; the first one has position 1.
    [[nodiscard]] std::vector<ReplicationAppend::Entry> log() const;
    /// Highest number of statements that ran at the same time, and of open connections.
    [[nodiscard]] std::uint32_t peakSlots() const;
    [[nodiscard]] std::uint32_t peakConnections() const;
    /// Statements refused because all slots were in use, and connections refused because of the limit.
    [[nodiscard]] std::uint64_t slotRefusals() const;
    [[nodiscard]] std::uint64_t connectionRefusals() const;
    /// Requests that arrived on a connection whose open transaction has another number.
    [[nodiscard]] std::uint64_t transactionMismatches() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Jujubekeel
