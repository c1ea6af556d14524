#pragma once

#include "core/backendmessages.h"
#include "core/time.h"
#include "fakes/fakebackend.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Jujubekeel {

/// Sessions of a fake backend server with the session-level lock and everything that ends with a session: its
/// transaction, its running statement and its barriers. Owned by FakeBackend.
class FakeSessions final
{
public:
    struct Transaction
    {
        std::uint64_t number = 0; ///< 0: no transaction is open
        std::uint64_t term = 0;   ///< term of the server at Begin
        std::vector<std::string> writes;
    };

    struct Session
    {
        BackendLogin login;
        TimePoint lastRequest{0};
        Transaction transaction;
        bool busy = false; ///< a statement of the session is running
    };

    /// A statement in a slot.
    struct RunningStatement
    {
        TimePoint due{0};
        std::uint64_t session = 0; ///< 0: the client closed the session
        std::string instance;
        BackendRequest request;
        std::uint64_t term = 0; ///< term of the server at the start
    };

    struct PendingBarrier
    {
        std::uint64_t session = 0;
        std::uint64_t serial = 0;
        std::uint64_t position = 0;
        std::uint64_t heartbeat = 0; ///< replicas must acknowledge a later heartbeat than this one
        TimePoint deadline{0};
    };

    /// Both arguments must outlive this object.
    FakeSessions(const FakeBackendOptions &newOptions, std::vector<FakeBackendOutput> &newOutputs);

    /// Returns false if the connection limit is reached or if a work session's instance does not hold the lock.
    bool open(TimePoint now, std::uint64_t session, const BackendLogin &login);
    /// Handles a session closed by its client.
    void close(std::uint64_t session);
    /// Null if there is no such session.
    [[nodiscard]] Session *find(std::uint64_t session);
    [[nodiscard]] Session &at(std::uint64_t session) { return this->sessions.at(session); }
    [[nodiscard]] std::uint32_t count() const { return static_cast<std::uint32_t>(this->sessions.size()); }
    [[nodiscard]] std::uint32_t peakCount() const { return this->peak; }
    /// Connections refused because of the limit.
    [[nodiscard]] std::uint64_t connectionRefusals() const { return this->refusals; }

    // Lock.
    /// Instance that holds the lock; empty if the lock is free.
    [[nodiscard]] std::string lockHolder() const;
    [[nodiscard]] bool holdsLock(const std::string &instance) const;
    /// Lock and PreemptLock.
    BackendAnswer lock(std::uint64_t session, const BackendRequest &request);
    BackendAnswer unlock(std::uint64_t session);
    BackendAnswer terminateOthers(std::uint64_t session, const BackendRequest &request);
    /// Closes control sessions that have sent no request for `lockTimeout`.
    void closeTimedOutControlSessions(TimePoint now);

    // Statements in slots.
    [[nodiscard]] std::uint32_t runningCount() const { return static_cast<std::uint32_t>(this->running.size()); }
    void start(RunningStatement statement);
    /// Removes and returns the first statement that is due by \a now; std::nullopt if there is none.
    [[nodiscard]] std::optional<RunningStatement> takeFinished(TimePoint now);

    // Barriers.
    /// Removes and returns all pending barriers.
    [[nodiscard]] std::vector<PendingBarrier> takeBarriers();
    void addBarrier(const PendingBarrier &barrier);

    /// Time at which the next statement, barrier or control session timeout is due.
    [[nodiscard]] TimePoint nextEvent() const;

private:
    /// Removes a session without notifying its client.
    void endSession(std::uint64_t session);
    /// Ends the selected sessions from the server side: notifies their clients and aborts their statements.
    void endSessions(const std::function<bool(std::uint64_t, const Session &)> &isSelected);
    /// Aborts statements whose client has closed the session, for the selected instances: they must not run under a new
    /// owner.
    void abortOrphanedStatements(const std::function<bool(const std::string &)> &isSelected);

    const FakeBackendOptions &options;
    std::vector<FakeBackendOutput> &outputs;
    std::map<std::uint64_t, Session> sessions;
    std::uint64_t lockSession = 0; ///< 0: the lock is free
    std::vector<RunningStatement> running;
    std::vector<PendingBarrier> barriers;
    std::uint32_t peak = 0;
    std::uint64_t refusals = 0;
};

} // namespace Jujubekeel
