#pragma once

#include "core/backendmessages.h"
#include "core/time.h"
#include "fakes/fakebackend.h"
#include "fakes/fakelog.h"
#include "fakes/fakereplication.h"
#include "fakes/fakesessions.h"

#include <cstdint>
#include <optional>

namespace Jujubekeel {

/// Executes the requests of a fake backend server's work connections: statements in slots, and transactions. Owned by
/// FakeBackend.
class FakeExecution final
{
public:
    /// All arguments must outlive this object.
    FakeExecution(const FakeBackendOptions &newOptions, FakeLog &newLog, FakeSessions &newSessions,
                  FakeReplication &newReplication);

    /// Handles a request on a work connection. Returns std::nullopt if advance() answers it when the statement
    /// finishes.
    std::optional<BackendAnswer> work(TimePoint now, std::uint64_t sessionId, const BackendRequest &request);
    /// Handles LookupKey: the outcome of a request key, or KeyNotFound.
    [[nodiscard]] BackendAnswer lookUp(const BackendRequest &request) const;
    /// Finishes and answers the statements that are due.
    void advance(TimePoint now);

    [[nodiscard]] std::uint32_t peakSlots() const { return this->peak; }
    /// Statements refused because all slots were in use.
    [[nodiscard]] std::uint64_t slotRefusals() const { return this->refusals; }
    /// Requests that arrived on a connection whose open transaction has another number.
    [[nodiscard]] std::uint64_t transactionMismatches() const { return this->mismatches; }

private:
    /// Starts a statement of Execute or ExecuteInside in a slot, or returns the refusal.
    std::optional<BackendAnswer> startStatement(TimePoint now, std::uint64_t sessionId, const BackendRequest &request);
    BackendAnswer begin(FakeSessions::Session &session, const BackendRequest &request);
    /// Commits the open transaction, which ends whatever the answer is.
    BackendAnswer commit(TimePoint now, FakeSessions::Session &session, const BackendRequest &request);
    BackendAnswer finishStandalone(TimePoint now, const FakeSessions::RunningStatement &statement);
    BackendAnswer finishInTransaction(const FakeSessions::RunningStatement &statement);

    const FakeBackendOptions &options;
    FakeLog &log;
    FakeSessions &sessions;
    FakeReplication &replication;
    std::uint64_t nextTransaction = 1;
    std::uint32_t peak = 0;
    std::uint64_t refusals = 0;
    std::uint64_t mismatches = 0;
};

} // namespace Jujubekeel
