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

/// Execution of what work connections of a fake backend server ask for: statements in slots and transactions. Owned by
/// FakeBackend.
class FakeExecution final
{
public:
    /// All four must outlive the execution.
    FakeExecution(const FakeBackendOptions &newOptions, FakeLog &newLog, FakeSessions &newSessions,
                  FakeReplication &newReplication);

    /// Request on a work connection. Nothing is returned if the answer comes when a statement has left its slot.
    std::optional<BackendAnswer> work(TimePoint now, std::uint64_t sessionId, const BackendRequest &request);
    [[nodiscard]] BackendAnswer lookUp(const BackendRequest &request) const;
    /// Finishes and answers the statements that are due.
    void advance(TimePoint now);

    [[nodiscard]] std::uint32_t peakSlots() const { return this->peak; }
    /// Statements refused because all slots were taken.
    [[nodiscard]] std::uint64_t slotRefusals() const { return this->refusals; }
    /// Statements that arrived on a connection whose open transaction has another number.
    [[nodiscard]] std::uint64_t transactionMismatches() const { return this->mismatches; }

private:
    /// Execute and ExecuteInside: takes a slot, or answers why not.
    std::optional<BackendAnswer> startStatement(TimePoint now, std::uint64_t sessionId, const BackendRequest &request);
    BackendAnswer begin(FakeSessions::Session &session, const BackendRequest &request);
    /// The transaction is over whatever the answer is.
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
