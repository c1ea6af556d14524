#include "fakes/fakeexecution.h"

#include "fakes/fakestatements.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace Jujubekeel {

FakeExecution::FakeExecution(const FakeBackendOptions &newOptions, FakeLog &newLog, FakeSessions &newSessions,
                             FakeReplication &newReplication)
    : options(newOptions), log(newLog), sessions(newSessions), replication(newReplication)
{
}

std::optional<BackendAnswer> FakeExecution::work(TimePoint now, std::uint64_t sessionId, const BackendRequest &request)
{
    FakeSessions::Session &session = this->sessions.at(sessionId);
    const bool open = session.transaction.number != 0;
    if (open && request.operation != BackendOperation::Status && request.transaction != session.transaction.number)
        ++this->mismatches;
    if (!this->sessions.holdsLock(session.login.instance))
        return BackendAnswer{.code = BackendStatusCode::NotLockHolder,
                             .text = "held by: " + this->sessions.lockHolder()};
    if (session.busy)
        return BackendAnswer{.code = BackendStatusCode::SlotsBusy,
                             .text = "a statement of the session is still running"};

    switch (request.operation) {
    case BackendOperation::Status:
        return BackendAnswer{};
    case BackendOperation::Execute:
        if (open)
            return BackendAnswer{.code = BackendStatusCode::TransactionOpen, .text = "a transaction is open"};
        return this->startStatement(now, sessionId, request);
    case BackendOperation::Begin:
        if (open)
            return BackendAnswer{.code = BackendStatusCode::TransactionOpen, .text = "a transaction is open"};
        return this->begin(session, request);
    case BackendOperation::ExecuteInside:
    case BackendOperation::Commit:
    case BackendOperation::Rollback:
        if (!open || request.transaction != session.transaction.number)
            return BackendAnswer{.code = BackendStatusCode::NoTransaction, .text = "no such transaction is open"};
        if (request.operation == BackendOperation::ExecuteInside)
            return this->startStatement(now, sessionId, request);
        if (request.operation == BackendOperation::Commit)
            return this->commit(now, session, request);
        session.transaction = {};
        return BackendAnswer{.transaction = request.transaction};
    case BackendOperation::LookupKey:
        return this->lookUp(request);
    default:
        return BackendAnswer{.code = BackendStatusCode::StatementError, .text = "not available on a work connection"};
    }
}

BackendAnswer FakeExecution::lookUp(const BackendRequest &request) const
{
    // Only the primary of the term can confirm that a key is absent. Without a term, the answer covers this log only.
    if (request.term != 0) {
        if (auto refusal = this->replication.refuseWrite(request.term))
            return *refusal;
    }
    if (auto known = this->log.findOutcome(request.requestKey))
        return *std::move(known);
    return {.code = BackendStatusCode::KeyNotFound, .position = this->log.positionAt(this->log.end())};
}

void FakeExecution::advance(TimePoint now)
{
    while (const auto statement = this->sessions.takeFinished(now)) {
        const bool inside = statement->request.operation == BackendOperation::ExecuteInside;
        BackendAnswer result = inside ? this->finishInTransaction(*statement) : this->finishStandalone(now, *statement);
        if (statement->session != 0) {
            this->sessions.at(statement->session).busy = false;
            this->replication.answer(now, statement->session, statement->request.serial, std::move(result));
        }
    }
}

std::optional<BackendAnswer> FakeExecution::startStatement(TimePoint now, std::uint64_t sessionId,
                                                           const BackendRequest &request)
{
    FakeSessions::Session &session = this->sessions.at(sessionId);
    if (changesData(request.statement) && !request.write) {
        return BackendAnswer{.code = BackendStatusCode::StatementError,
                             .text = "the statement changes data and is not marked as a write"};
    }
    if (request.write) {
        const bool inside = request.operation == BackendOperation::ExecuteInside;
        if (auto refusal = this->replication.refuseWrite(inside ? session.transaction.term : request.term))
            return refusal;
        if (!inside) {
            if (auto known = this->log.answerStoredKey(request.requestKey, request.statement))
                return known;
        }
    }
    if (this->sessions.runningCount() >= this->options.slots) {
        ++this->refusals;
        return BackendAnswer{.code = BackendStatusCode::SlotsBusy, .text = "all slots are in use"};
    }
    session.busy = true;
    this->sessions.start({.due = now + this->options.serviceTime,
                          .session = sessionId,
                          .instance = session.login.instance,
                          .request = request,
                          .term = this->log.term()});
    this->peak = std::max(this->peak, this->sessions.runningCount());
    return std::nullopt;
}

BackendAnswer FakeExecution::begin(FakeSessions::Session &session, const BackendRequest &request)
{
    if (request.write || request.term != 0) {
        if (auto refusal = this->replication.refuseWrite(request.term))
            return *refusal;
    }
    session.transaction =
        FakeSessions::Transaction{.number = request.transaction, .term = this->log.term(), .writes = {}};
    if (session.transaction.number == 0)
        session.transaction.number = this->nextTransaction++;
    return {.position = this->log.positionAt(this->log.applied()), .transaction = session.transaction.number};
}

BackendAnswer FakeExecution::commit(TimePoint now, FakeSessions::Session &session, const BackendRequest &request)
{
    const FakeSessions::Transaction transaction = std::exchange(session.transaction, {});
    BackendAnswer result{.position = this->log.positionAt(this->log.applied()), .transaction = transaction.number};
    if (transaction.writes.empty())
        return result;
    if (auto refusal = this->replication.refuseWrite(transaction.term))
        return *refusal;
    const std::string statements = joinStatementLines(transaction.writes);
    if (auto known = this->log.answerStoredKey(request.requestKey, statements))
        return *known;
    for (const std::string &statement : transaction.writes)
        result.value = runStatement(this->log.data(), statement).value;
    result.position = this->replication.commit(now, request.requestKey, statements, result.value);
    return result;
}

BackendAnswer FakeExecution::finishStandalone(TimePoint now, const FakeSessions::RunningStatement &statement)
{
    const BackendRequest &request = statement.request;
    if (!request.write) {
        FakeStatementResult result = runStatement(this->log.data(), request.statement);
        return {.code = result.ok ? BackendStatusCode::Ok : BackendStatusCode::StatementError,
                .value = std::move(result.value),
                .text = std::move(result.error),
                .position = this->log.positionAt(this->log.applied())};
    }

    // The term may have ended and the key may have been used while the statement was in its slot.
    if (auto refusal = this->replication.refuseWrite(statement.term))
        return *refusal;
    if (auto known = this->log.answerStoredKey(request.requestKey, request.statement))
        return *known;
    FakeStatementResult result = runStatement(this->log.data(), request.statement);
    if (!result.ok)
        return {.code = BackendStatusCode::StatementError, .text = std::move(result.error)};
    const LogPosition position = this->replication.commit(now, request.requestKey, request.statement, result.value);
    return {.value = std::move(result.value), .position = position};
}

BackendAnswer FakeExecution::finishInTransaction(const FakeSessions::RunningStatement &statement)
{
    const BackendRequest &request = statement.request;
    FakeSessions::Transaction &transaction = this->sessions.at(statement.session).transaction;
    if (request.write) {
        if (auto refusal = this->replication.refuseWrite(transaction.term))
            return *refusal;
    }

    // The statement sees the transaction's own writes; the shared data does not change before Commit.
    FakeData view;
    for (const std::string &write : transaction.writes) {
        const std::string_view key = statementKey(write);
        if (const auto found = this->log.data().find(key); found != this->log.data().end())
            view.insert(*found);
    }
    if (const auto found = this->log.data().find(statementKey(request.statement)); found != this->log.data().end())
        view.insert(*found);
    for (const std::string &write : transaction.writes)
        runStatement(view, write);
    FakeStatementResult result = runStatement(view, request.statement);
    if (result.ok && request.write)
        transaction.writes.push_back(request.statement);
    return {.code = result.ok ? BackendStatusCode::Ok : BackendStatusCode::StatementError,
            .value = std::move(result.value),
            .text = std::move(result.error),
            .position = this->log.positionAt(this->log.applied()),
            .transaction = transaction.number};
}

} // namespace Jujubekeel
