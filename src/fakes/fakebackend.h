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
    std::uint32_t slots = 3;                             ///< statements that execute at one time
    std::uint32_t connectionLimit = 20;                  ///< open connections, control connections included
    Duration serviceTime = std::chrono::milliseconds(3); ///< time of one statement in a slot
    Duration heartbeatInterval = std::chrono::milliseconds(50); ///< replication heartbeats
    Duration lockTimeout = std::chrono::seconds(2);             ///< silent control connections are closed
    Duration applyLag{0};            ///< delay between receiving and applying a log entry at a replica
    std::uint32_t appendBatch = 256; ///< log entries in one replication message at most
};

/// Log entries and heartbeats from a primary to a replica.
struct ReplicationAppend
{
    std::uint64_t term = 0;
    TermHistory history;
    std::uint64_t heartbeat = 0; ///< rises with each message; acknowledged by the replica
    std::uint64_t previous = 0;  ///< position before the first entry
    struct Entry
    {
        std::uint64_t term = 0;
        std::string requestKey;
        std::string statements; ///< the statements of the transaction, one a line
        std::string value;      ///< first outcome, returned for a repeated key
    };
    std::vector<Entry> entries;
    std::string promoter; ///< who fenced `term`; empty for the first term
};

/// Acknowledgement from a replica.
struct ReplicationAcknowledge
{
    std::uint64_t term = 0; ///< term under which it accepted; a higher one is a refusal
    bool accepted = false;
    std::uint64_t heartbeat = 0;
    LogPosition received;
};

using ReplicationMessage = std::variant<ReplicationAppend, ReplicationAcknowledge>;

/// What a fake backend server sends out.
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

/// In-memory stand-in of one backend server of a group: a key-value database with a replicated log, terms, fencing,
/// slots, a connection limit, a session-level lock and transactions. Without sockets, threads or clocks: each call
/// takes the time. Used by the fake-backend program, the virtual fleet and tests.
///
/// A work session is refused at open if its instance does not hold the lock, and its requests are answered NotLockHolder
/// once the instance has lost it. Only the statements of Execute and ExecuteInside take a slot and `serviceTime`;
/// everything else is answered at once. A statement on its own that runs when its client closes the session still takes
/// effect, one whose session the server ends (PreemptLock, TerminateOthers) does not.
///
/// Log positions carry the last term that starts at or before them. A server that has learned of a newer term and still
/// lacks entries before the start of that term thus compares as older than one that holds them.
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

    /// Opens a session. Returns false if the connection limit is reached or if the login asks for a work session and its
    /// instance does not hold the lock; \a session must be new.
    bool open(TimePoint now, std::uint64_t session, const BackendLogin &login);
    /// The client's side closed the session; an open transaction is rolled back.
    void close(TimePoint now, std::uint64_t session);
    void request(TimePoint now, std::uint64_t session, const BackendRequest &request);
    void replicate(TimePoint now, const std::string &from, const ReplicationMessage &message);
    /// Performs what is due: finished statements, heartbeats, applied entries, lock timeouts.
    void advance(TimePoint now);
    /// When advance has something to do next.
    [[nodiscard]] TimePoint nextEvent() const;
    /// Messages since the last call, in order.
    [[nodiscard]] std::vector<FakeBackendOutput> takeOutputs();

    [[nodiscard]] ServerStatus status(TimePoint now) const;
    /// Changes the lag of applying; for fault tests.
    void setApplyLag(Duration lag);

    // For checkers.
    /// Statements of the whole stored log, by position from 1.
    [[nodiscard]] std::vector<ReplicationAppend::Entry> log() const;
    /// Highest number of statements that executed and of connections that were open at one time.
    [[nodiscard]] std::uint32_t peakSlots() const;
    [[nodiscard]] std::uint32_t peakConnections() const;
    /// Statements refused because all slots were taken, and connections refused because of the limit.
    [[nodiscard]] std::uint64_t slotRefusals() const;
    [[nodiscard]] std::uint64_t connectionRefusals() const;
    /// Statements that arrived on a connection whose open transaction has another number.
    [[nodiscard]] std::uint64_t transactionMismatches() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Jujubekeel
