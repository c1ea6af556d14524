#include "requests/requestsystem.h"

#include "authority/groupmonitorsystem.h"
#include "core/sendtopeer.h"
#include "core/world.h"
#include "observe/traceids.h"
#include "requests/outcomereport.h"
#include "requests/requestintake.h"
#include "requests/transactionname.h"
#include "routing/router.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace Jujubekeel {

namespace {

/// Back-off of speculative reads at a replica. The first pause is the time in which a heartbeat renews the replica's
/// known position anyway; the longest one limits the reads that a replica far behind costs.
constexpr Duration minSpeculativeReadBackoff = std::chrono::milliseconds(250);
constexpr Duration maxSpeculativeReadBackoff = std::chrono::seconds(4);

/// Limit of unanswered Begin attempts whose late answers are recognised. Transactions of older ones are rolled back by
/// their owner when they have been idle for too long.
constexpr std::size_t maxPendingBegins = 1000;

/// True if the request is a statement, commit or rollback of an open transaction.
bool isInTransaction(const EntryRow &entry)
{
    return !entry.request.transaction.empty();
}

/// True if a lost attempt may have changed data although the entry proxy received no result.
bool mayChangeData(const EntryRow &entry)
{
    return changesData(entry.request.kind) && !entry.lookup;
}

/// True for a write outside transactions whose request key prevents a second execution.
bool isRepeatable(const EntryRow &entry)
{
    return entry.request.kind == RequestKind::Write && !isInTransaction(entry) && !entry.notRepeatable;
}

/// Rolls back a transaction whose caller has disconnected or already has another answer to its Begin. It would otherwise
/// hold a connection and delay handovers until its idle limit.
void rollBackAbandoned(World &world, const std::string &transaction, const std::string &session, Actions &actions)
{
    const auto name = TransactionName::parse(transaction);
    const InstanceId owner = name ? world.layout.findInstance(name->owner) : InstanceId{};
    const BackendId backend = name ? world.layout.findBackend(name->backend) : BackendId{};
    if (!owner.isValid() || !backend.isValid())
        return;
    CallerRequest request{.id = makeUniqueName(world, "r"),
                          .database = world.layout.at(world.at(backend).database).name,
                          .session = session,
                          .kind = RequestKind::Rollback,
                          .transaction = transaction,
                          .timeout = world.options.admission.defaultTimeout};
    world.counters.add("jujubekeel_transactions_abandoned_total");
    sendToPeer(world, owner,
               ForwardRequest{.forwardId = world.allocateSerial(), .backend = backend, .request = std::move(request)},
               actions);
}

} // namespace

RequestSystem::RequestSystem(const SessionOptions &options) : codec(options.tokenKeys)
{
}

void RequestSystem::handle(World &world, const CallerRequest &request, Actions &actions)
{
    world.counters.add("jujubekeel_requests_total");
    world.retryBudget.deposit(world.options.admission.retryPercent);

    // A rejected request gets a row too, so that all outcomes pass through finish().
    EntryRow entry{.request = request, .arrived = world.now};
    FailureReason reason;
    const bool accepted = RequestIntake::prepare(world, entry, this->codec, reason);
    const RequestId id = world.entries.insert(std::move(entry));
    this->tickets.emplace(request.ticket, id);
    if (accepted)
        this->attempt(world, id, actions);
    else
        this->finish(world, id, reason.code(), reason.text(), actions);
}

void RequestSystem::callerDisconnected(World &world, std::uint64_t ticket)
{
    const auto found = this->tickets.find(ticket);
    if (found != this->tickets.end())
        world.entries.at(found->second).callerDisconnected = true;
}

Route RequestSystem::route(const World &world, const EntryRow &entry) const
{
    // After a lost attempt of a request that must not run twice, its key is looked up at the primary first.
    if (entry.lookup)
        return Router::routeWrite(world, entry);

    if (isInTransaction(entry)) {
        const auto name = TransactionName::parse(entry.request.transaction);
        if (!name)
            return Route{.code = ResultCode::UnknownTransaction, .reason = "the transaction id is malformed"};
        const InstanceId owner = world.layout.findInstance(name->owner);
        const BackendId backend = world.layout.findBackend(name->backend);
        if (!owner.isValid() || !backend.isValid() || world.at(backend).database != entry.database)
            return Route{.code = ResultCode::UnknownTransaction, .reason = "the transaction is not of this database"};
        if (!world.at(owner).live || world.at(owner).incarnation != name->incarnation)
            return Route{.code = ResultCode::TransactionLost,
                         .reason =
                             "instance " + name->owner + ", which held the transaction, is not live or was restarted"};
        return Route{.found = true, .backend = backend, .owner = owner, .reason = "owner of the transaction"};
    }

    return entry.request.kind == RequestKind::Read ? Router::routeRead(world, entry) : Router::routeWrite(world, entry);
}

void RequestSystem::attempt(World &world, RequestId id, Actions &actions)
{
    EntryRow &entry = world.entries.at(id);

    // A session whose writes did not survive a promotion is rejected before anything is executed for it.
    const TermHistory &history = world.at(entry.database).history;
    const LogPosition endOfLastTerm{.term = history.lastTerm(), .position = std::numeric_limits<std::uint64_t>::max()};
    if (entry.markKnown && history.relation(endOfLastTerm, entry.mark) == MarkRelation::NotSurvived) {
        this->finish(world, id, ResultCode::MarkNotSurvived, "the session's position is past the start of a later term",
                     actions);
        return;
    }

    const Route route = this->route(world, entry);
    if (!route.found) {
        if (route.code == ResultCode::UnknownTransaction
            || (route.code == ResultCode::TransactionLost && entry.request.kind != RequestKind::Commit)) {
            this->finish(world, id, route.code, route.reason, actions);
        } else if (route.code == ResultCode::TransactionLost) {
            // The commit may have run in an earlier attempt of the caller; a look-up of its key decides.
            if (entry.hasCallerKey || entry.mayHaveRun) {
                lookUpCommit(world, entry, route.code, route.reason);
            } else {
                this->finish(world, id, route.code, route.reason, actions);
            }
        } else {
            scheduleRetry(world, entry, route.code, route.reason);
        }
        return;
    }

    // Retries are limited by the retry budget.
    if (entry.decision.attempts > 0 && !world.retryBudget.tryWithdraw(world.now, world.options.admission.retryFloor)) {
        world.counters.add("jujubekeel_retry_budget_spent_total");
        scheduleRetry(world, entry, ResultCode::RetryBudgetSpent, "the retry budget is spent");
        return;
    }
    this->send(world, id, route, actions);
}

void RequestSystem::send(World &world, RequestId id, const Route &route, Actions &actions)
{
    EntryRow &entry = world.entries.at(id);
    const DatabaseRow &database = world.at(entry.database);

    entry.step = EntryStep::Forwarded;
    entry.forwardId = world.allocateSerial();
    entry.backend = route.backend;
    entry.owner = route.owner;
    entry.ownerIncarnation = world.at(route.owner).incarnation;
    entry.sentAt = world.now;
    const bool fixedTerm =
        (changesData(entry.request.kind) || entry.request.kind == RequestKind::Begin) && !isInTransaction(entry);
    const std::uint64_t term = fixedTerm || entry.lookup ? database.history.lastTerm() : 0;
    if (mayChangeData(entry))
        entry.sentTerm = std::max(entry.sentTerm, database.history.lastTerm());
    entry.decision.attempts += 1;
    entry.decision.backend = world.layout.at(route.backend).name;
    entry.decision.owner = world.layout.at(route.owner).name;
    entry.decision.reason = route.reason;
    if (route.age)
        entry.decision.age = *route.age;

    // The owner's deadline is earlier, so that its answer arrives before this proxy's deadline.
    ForwardRequest forward{.forwardId = entry.forwardId,
                           .backend = route.backend,
                           .request = entry.request,
                           .mark = entry.markKnown ? entry.mark : LogPosition{},
                           .term = term,
                           .barrier = route.barrier || entry.request.kind == RequestKind::Begin,
                           .notRepeatable = entry.notRepeatable,
                           .lookup = entry.lookup};
    const Duration left = entry.deadline - world.now;
    forward.request.timeout = std::max(left - world.options.admission.hopAllowance, left / 2);
    forward.request.trace.parentSpan = entry.spanId;

    world.at(route.owner).lastUsed = world.now;
    this->forwards.emplace(entry.forwardId, id);
    if (entry.request.kind == RequestKind::Begin) {
        this->pendingBegins.emplace(entry.forwardId, entry.request.session);
        if (this->pendingBegins.size() > maxPendingBegins)
            this->pendingBegins.erase(this->pendingBegins.begin());
    }
    if (entry.decision.attempts > 1)
        world.counters.add("jujubekeel_attempts_repeated_total");
    sendToPeer(world, route.owner, std::move(forward), actions);
}

void RequestSystem::scheduleRetry(World &world, EntryRow &entry, ResultCode code, std::string text)
{
    const AdmissionOptions &options = world.options.admission;
    entry.step = EntryStep::Waiting;
    entry.retryDelay =
        entry.retryDelay == Duration{0} ? options.retryDelay : std::min(entry.retryDelay * 2, options.maxRetryDelay);
    entry.nextTry = world.now + entry.retryDelay;
    entry.lastCode = code;
    entry.lastText = std::move(text);
}

void RequestSystem::lookUpCommit(World &world, EntryRow &entry, ResultCode code, const std::string &text)
{
    const auto name = TransactionName::parse(entry.request.transaction);
    entry.lookup = true;
    entry.mayHaveRun = true;
    entry.sentTerm = std::max(entry.sentTerm, name ? name->term : 0);
    scheduleRetry(world, entry, code, text);
}

void RequestSystem::handle(World &world, const ForwardAnswer &answer, Actions &actions)
{
    // Drop the answer to an attempt that is no longer awaited. The transaction of a late Begin is rolled back.
    const auto found = this->forwards.find(answer.forwardId);
    if (found == this->forwards.end()) {
        world.counters.add("jujubekeel_late_answers_total");
        const auto begin = this->pendingBegins.find(answer.forwardId);
        if (begin != this->pendingBegins.end() && answer.code == ResultCode::Ok)
            rollBackAbandoned(world, answer.transaction, begin->second, actions);
        if (begin != this->pendingBegins.end())
            this->pendingBegins.erase(begin);
        return;
    }
    const RequestId id = found->second;
    this->forwards.erase(found);
    this->pendingBegins.erase(answer.forwardId);
    EntryRow &entry = world.entries.at(id);

    switch (answer.code) {
    case ResultCode::Ok:
        if (entry.request.kind == RequestKind::Read && !isInTransaction(entry))
            this->handleReadAnswer(world, id, answer, actions);
        else
            this->finish(world, id, answer, actions);
        return;
    case ResultCode::NotFound:
        this->handleKeyNotFound(world, id, answer, actions);
        return;
    case ResultCode::OutcomeUnknown:
    case ResultCode::CommitUnconfirmed:
        entry.lastCode = answer.code;
        entry.lastText = answer.text;
        this->handleLostAttempt(world, id, actions);
        return;
    default:
        break;
    }

    if (resultCodeInfo(answer.code).execution == Execution::NotRun)
        this->handleNotRun(world, id, answer, actions);
    else
        this->finish(world, id, answer, actions);
}

void RequestSystem::handleReadAnswer(World &world, RequestId id, const ForwardAnswer &answer, Actions &actions)
{
    EntryRow &entry = world.entries.at(id);

    // Check the position that the read was executed at, not the position known when the server was chosen.
    GroupMonitorSystem{}.observePosition(world, entry.backend, answer.position, world.now);
    if (entry.markKnown) {
        const MarkRelation relation = answer.history.relation(answer.position, entry.mark);
        if (relation == MarkRelation::NotSurvived) {
            this->finish(world, id, ResultCode::MarkNotSurvived,
                         "the session's position is past the start of a later term", actions);
            return;
        }
        if (relation == MarkRelation::NotReached) {
            BackendRow &replica = world.at(entry.backend);
            replica.speculativeReadBackoff =
                std::clamp(replica.speculativeReadBackoff * 2, minSpeculativeReadBackoff, maxSpeculativeReadBackoff);
            replica.speculativeReadFrom = world.now + replica.speculativeReadBackoff;
            world.counters.add("jujubekeel_replica_behind_total");
            entry.failedBackend = entry.backend;
            entry.lastCode = ResultCode::MarkNotReached;
            entry.lastText = "the server does not contain the session's writes yet";
            this->attempt(world, id, actions);
            return;
        }
    }
    const DatabaseRow &database = world.at(entry.database);
    const bool fromReplica = entry.backend != database.primary;
    if (fromReplica && entry.acceptedAge) {
        const auto age = database.ageSamples.age(answer.position, answer.history, world.now);
        if (!age || *age > *entry.acceptedAge) {
            entry.failedBackend = entry.backend;
            scheduleRetry(world, entry, ResultCode::ReplicaTooOld, "the data read is older than the rule accepts");
            return;
        }
        entry.decision.age = *age;
        world.at(entry.backend).speculativeReadBackoff = Duration{0};
    }
    this->finish(world, id, answer, actions);
}

void RequestSystem::handleKeyNotFound(World &world, RequestId id, const ForwardAnswer &answer, Actions &actions)
{
    EntryRow &entry = world.entries.at(id);
    const std::uint64_t term = answer.position.term;

    // Under a newer term the earlier attempt can no longer take effect, because its server refuses the term that it was
    // sent for. Under the same term it may still run.
    if (term <= entry.sentTerm) {
        scheduleRetry(world, entry, ResultCode::OutcomeUnknown, "the log does not hold the write, which may still run");
        return;
    }
    entry.mayHaveRun = false;
    entry.lookup = false;
    if (isInTransaction(entry)) {
        this->finish(world, id, ResultCode::TransactionLost, "the transaction did not survive the change of primary",
                     actions);
        return;
    }
    entry.lastCode = ResultCode::WriteNotTaken;
    entry.lastText = "the replaced primary received the write, and the new primary does not hold it";
    this->attempt(world, id, actions);
}

void RequestSystem::handleNotRun(World &world, RequestId id, const ForwardAnswer &answer, Actions &actions)
{
    EntryRow &entry = world.entries.at(id);
    switch (answer.code) {
    case ResultCode::NoOwner:
    case ResultCode::NoPrimary:
    case ResultCode::BackendRefused:
    case ResultCode::ReadUnconfirmed:
    case ResultCode::ConnectionFailed:
    case ResultCode::ProxyStopping:
        // A retry may succeed at another instance or later. A transaction can run only at its owner.
        if (!isInTransaction(entry) || entry.lookup) {
            scheduleRetry(world, entry, answer.code, answer.text);
            return;
        }
        break;
    case ResultCode::TransactionLost:
    case ResultCode::UnknownTransaction:
        // The commit may be the retry of one whose answer was lost: the key shows whether it ran.
        if (entry.request.kind == RequestKind::Commit && (entry.hasCallerKey || entry.mayHaveRun)) {
            lookUpCommit(world, entry, answer.code, answer.text);
            return;
        }
        break;
    default:
        break;
    }

    // An earlier attempt may have run although this one did not.
    if (entry.mayHaveRun)
        this->finish(world, id, ResultCode::OutcomeUnknown,
                     "the outcome of an earlier attempt is unknown; the last attempt did not run: " + answer.text,
                     actions);
    else
        this->finish(world, id, answer, actions);
}

void RequestSystem::handleLostAttempt(World &world, RequestId id, Actions &actions)
{
    EntryRow &entry = world.entries.at(id);
    this->forwards.erase(entry.forwardId);

    if (isInTransaction(entry) && entry.request.kind != RequestKind::Commit) {
        this->finish(world, id, ResultCode::OutcomeUnknown, "the instance that holds the transaction did not answer",
                     actions);
        return;
    }
    if (mayChangeData(entry)) {
        entry.mayHaveRun = true;
        entry.lookup = !isRepeatable(entry);
    }
    if (entry.request.kind == RequestKind::Read)
        entry.failedBackend = entry.backend;
    const bool unconfirmed = entry.lastCode == ResultCode::CommitUnconfirmed;
    scheduleRetry(world, entry, unconfirmed ? entry.lastCode : ResultCode::OutcomeUnknown,
                  unconfirmed ? entry.lastText : "the owner of the backend server did not answer");
    if (!changesData(entry.request.kind)) {
        entry.lastCode = ResultCode::ConnectionFailed;
        entry.nextTry = world.now;
    }
}

void RequestSystem::tick(World &world, Actions &actions)
{
    // Sample the end of each database's confirmed log.
    for (DatabaseRow &database : world.databases) {
        if (!database.primary.isValid())
            continue;
        const BackendRow &primary = world.at(database.primary);
        if (primary.confirmedEndAsOf > TimePoint{0})
            database.ageSamples.record(primary.confirmedEnd, primary.confirmedEndAsOf);
    }

    // Collect the due requests first, because handling them changes the table.
    std::vector<RequestId> due;
    std::vector<RequestId> lost;
    std::vector<RequestId> expired;
    world.entries.forEach([&](RequestId id, const EntryRow &entry) {
        if (world.now >= entry.deadline) {
            expired.push_back(id);
        } else if (entry.step == EntryStep::Waiting) {
            if (world.now >= entry.nextTry)
                due.push_back(id);
        } else {
            const InstanceRow &owner = world.at(entry.owner);
            const bool ownerUnavailable = !owner.live || owner.incarnation != entry.ownerIncarnation;
            const bool silent = entry.request.kind == RequestKind::Read && !isInTransaction(entry)
                                && world.now - entry.sentAt > world.options.admission.readAttemptTimeout;
            if (ownerUnavailable || silent)
                lost.push_back(id);
        }
    });
    for (const RequestId id : expired)
        this->expire(world, id, actions);
    for (const RequestId id : lost)
        this->handleLostAttempt(world, id, actions);
    for (const RequestId id : due)
        this->attempt(world, id, actions);
}

void RequestSystem::expire(World &world, RequestId id, Actions &actions)
{
    EntryRow &entry = world.entries.at(id);
    const bool sent = entry.step == EntryStep::Forwarded;
    const bool outcomeUnknown = entry.mayHaveRun || (sent && mayChangeData(entry))
                                || (sent && isInTransaction(entry) && entry.request.kind != RequestKind::Read);
    if (outcomeUnknown) {
        const bool unconfirmed = entry.lastCode == ResultCode::CommitUnconfirmed;
        this->finish(world, id, unconfirmed ? ResultCode::CommitUnconfirmed : ResultCode::OutcomeUnknown,
                     unconfirmed ? entry.lastText : "no answer showed the outcome before the deadline", actions);
        return;
    }

    // The reason of an earlier attempt is more specific than the deadline. Reads have no effects.
    const bool useLast = entry.lastCode != ResultCode::Ok && isNotRun(entry.lastCode);
    const ResultCode code = useLast ? entry.lastCode
                            : sent  ? ResultCode::ConnectionFailed
                                    : ResultCode::DeadlineTooShort;
    const std::string text = useLast ? entry.lastText : "the deadline passed";
    this->finish(world, id, code, text, actions);
}

void RequestSystem::finish(World &world, RequestId id, ResultCode code, std::string text, Actions &actions)
{
    this->finish(world, id, ForwardAnswer{.code = code, .text = std::move(text)}, actions);
}

void RequestSystem::finish(World &world, RequestId id, const ForwardAnswer &result, Actions &actions)
{
    EntryRow &entry = world.entries.at(id);
    this->forwards.erase(entry.forwardId);
    this->tickets.erase(entry.request.ticket);

    // The newest position that the caller has seen becomes the session's mark.
    const bool fromReplica = entry.request.kind == RequestKind::Read && entry.database.isValid()
                             && entry.backend.isValid() && entry.backend != world.at(entry.database).primary;
    // Owners return a position only for a result that the group has confirmed, or for a read at a replica.
    const bool advancesMark = result.code == ResultCode::Ok && result.position.position > 0
                              && (!isInTransaction(entry) || entry.request.kind == RequestKind::Commit);
    const LogPosition mark = advancesMark ? std::max(entry.mark, result.position) : entry.mark;

    CallerAnswer answer{.ticket = entry.request.ticket,
                        .id = entry.request.id,
                        .code = result.code,
                        .text = result.text,
                        .value = result.value,
                        .session = entry.request.session,
                        .transaction = result.transaction,
                        .position = result.position,
                        .fromReplica = result.code == ResultCode::Ok && fromReplica,
                        .repeated = result.repeated,
                        .decision = entry.decision,
                        .trace = {.traceId = entry.request.trace.traceId,
                                  .parentSpan = entry.spanId,
                                  .sampled = entry.request.trace.sampled}};
    // A session with an unknown mark gets a token only with a position that covers all its writes.
    if (entry.database.isValid() && (entry.markKnown || advancesMark) && !entry.request.session.empty())
        answer.token =
            this->codec.sign({.session = entry.request.session, .database = entry.request.database, .position = mark});

    OutcomeReport::write(world, entry, result.code, result.text, answer.fromReplica, actions);
    if (!entry.callerDisconnected)
        actions.emplace_back(AnswerCaller{.answer = std::move(answer)});
    else if (result.code == ResultCode::Ok && entry.request.kind == RequestKind::Begin)
        rollBackAbandoned(world, result.transaction, entry.request.session, actions);
    world.entries.erase(id);
}

} // namespace Jujubekeel
