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

/// Pause of reads that are tried at a replica on the chance that it has caught up. The first is the time in which its
/// known position is renewed anyway; the last keeps a replica that is far behind from costing many reads.
constexpr Duration minSpeculativeReadBackoff = std::chrono::milliseconds(250);
constexpr Duration maxSpeculativeReadBackoff = std::chrono::seconds(4);

/// Begin attempts whose late answers are still recognised; the owner rolls back what is older when it is found unused.
constexpr std::size_t maxBeginsWithoutAnswer = 1000;

/// The request is a statement, commit or rollback of an open transaction.
bool isInTransaction(const EntryRow &entry)
{
    return !entry.request.transaction.empty();
}

/// A lost attempt leaves an effect that cannot be told from here.
bool leavesDoubt(const EntryRow &entry)
{
    return changesData(entry.request.kind) && !entry.lookup;
}

/// A single write, which its key protects from running twice.
bool mayBeSentAgain(const EntryRow &entry)
{
    return entry.request.kind == RequestKind::Write && !isInTransaction(entry) && !entry.notRepeatable;
}

/// A transaction whose Begin was given up has no caller. It is rolled back, because it would hold a connection and delay
/// a handover until it is found unused.
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

    // The row exists also for a rejected request, so that all outcomes take one way out.
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
    // After a lost attempt of work that must not run twice, the log is asked first.
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
                         .reason = "instance " + name->owner + ", which held the transaction, is gone"};
        return Route{.found = true, .backend = backend, .owner = owner, .reason = "owner of the transaction"};
    }

    return entry.request.kind == RequestKind::Read ? Router::routeRead(world, entry) : Router::routeWrite(world, entry);
}

void RequestSystem::attempt(World &world, RequestId id, Actions &actions)
{
    EntryRow &entry = world.entries.at(id);

    // A session whose writes did not survive a promotion is told so before anything else is done for it.
    const TermHistory &history = world.at(entry.database).history;
    const LogPosition endOfTime{.term = history.lastTerm(), .position = std::numeric_limits<std::uint64_t>::max()};
    if (entry.markKnown && history.relation(endOfTime, entry.mark) == MarkRelation::NotSurvived) {
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
            // The commit may have run at an earlier attempt of the caller; its key tells.
            if (entry.hasCallerKey || entry.mayHaveRun) {
                lookUpCommit(world, entry, route.code, route.reason);
            } else {
                this->finish(world, id, route.code, route.reason, actions);
            }
        } else {
            wait(world, entry, route.code, route.reason);
        }
        return;
    }

    // Repeated attempts draw on the budget.
    if (entry.decision.attempts > 0 && !world.retryBudget.tryWithdraw(world.now, world.options.admission.retryFloor)) {
        world.counters.add("jujubekeel_retry_budget_spent_total");
        wait(world, entry, ResultCode::RetryBudgetSpent, "the retry budget is spent");
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
    if (leavesDoubt(entry))
        entry.sentTerm = std::max(entry.sentTerm, database.history.lastTerm());
    entry.decision.attempts += 1;
    entry.decision.backend = world.layout.at(route.backend).name;
    entry.decision.owner = world.layout.at(route.owner).name;
    entry.decision.reason = route.reason;
    if (route.age)
        entry.decision.age = *route.age;

    // The owner gives up a little earlier, so that its answer still arrives in time.
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
        this->begins.emplace(entry.forwardId, entry.request.session);
        if (this->begins.size() > maxBeginsWithoutAnswer)
            this->begins.erase(this->begins.begin());
    }
    if (entry.decision.attempts > 1)
        world.counters.add("jujubekeel_attempts_repeated_total");
    sendToPeer(world, route.owner, std::move(forward), actions);
}

void RequestSystem::wait(World &world, EntryRow &entry, ResultCode code, std::string text)
{
    const AdmissionOptions &options = world.options.admission;
    entry.step = EntryStep::Waiting;
    entry.retryPause =
        entry.retryPause == Duration{0} ? options.retryPause : std::min(entry.retryPause * 2, options.maxRetryPause);
    entry.nextTry = world.now + entry.retryPause;
    entry.lastCode = code;
    entry.lastText = std::move(text);
}

void RequestSystem::lookUpCommit(World &world, EntryRow &entry, ResultCode code, const std::string &text)
{
    const auto name = TransactionName::parse(entry.request.transaction);
    entry.lookup = true;
    entry.mayHaveRun = true;
    entry.sentTerm = std::max(entry.sentTerm, name ? name->term : 0);
    wait(world, entry, code, text);
}

void RequestSystem::handle(World &world, const ForwardAnswer &answer, Actions &actions)
{
    // An answer to an attempt that was given up is dropped: its outcome was settled without it.
    const auto found = this->forwards.find(answer.forwardId);
    if (found == this->forwards.end()) {
        world.counters.add("jujubekeel_late_answers_total");
        const auto begin = this->begins.find(answer.forwardId);
        if (begin != this->begins.end() && answer.code == ResultCode::Ok)
            rollBackAbandoned(world, answer.transaction, begin->second, actions);
        if (begin != this->begins.end())
            this->begins.erase(begin);
        return;
    }
    const RequestId id = found->second;
    this->forwards.erase(found);
    this->begins.erase(answer.forwardId);
    EntryRow &entry = world.entries.at(id);

    switch (answer.code) {
    case ResultCode::Ok:
        if (entry.request.kind == RequestKind::Read && !isInTransaction(entry))
            this->readAnswered(world, id, answer, actions);
        else
            this->finish(world, id, answer, actions);
        return;
    case ResultCode::NotFound:
        this->keyNotFound(world, id, answer, actions);
        return;
    case ResultCode::OutcomeUnknown:
    case ResultCode::CommitUnconfirmed:
        entry.lastCode = answer.code;
        entry.lastText = answer.text;
        this->attemptLost(world, id, actions);
        return;
    default:
        break;
    }

    if (resultCodeInfo(answer.code).execution == Execution::NotRun)
        this->notRun(world, id, answer, actions);
    else
        this->finish(world, id, answer, actions);
}

void RequestSystem::readAnswered(World &world, RequestId id, const ForwardAnswer &answer, Actions &actions)
{
    EntryRow &entry = world.entries.at(id);

    // The position that the read saw decides, not what was known when the server was chosen.
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
            wait(world, entry, ResultCode::ReplicaTooOld, "the data read is older than the rule accepts");
            return;
        }
        entry.decision.age = *age;
        world.at(entry.backend).speculativeReadBackoff = Duration{0};
    }
    this->finish(world, id, answer, actions);
}

void RequestSystem::keyNotFound(World &world, RequestId id, const ForwardAnswer &answer, Actions &actions)
{
    EntryRow &entry = world.entries.at(id);
    const std::uint64_t term = answer.position.term;

    // Under a newer term the earlier attempt can't take effect any more: its server refuses the term it was sent for.
    if (term <= entry.sentTerm) {
        wait(world, entry, ResultCode::OutcomeUnknown, "the log does not hold the write, which may still run");
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

void RequestSystem::notRun(World &world, RequestId id, const ForwardAnswer &answer, Actions &actions)
{
    EntryRow &entry = world.entries.at(id);
    switch (answer.code) {
    case ResultCode::NoOwner:
    case ResultCode::NoPrimary:
    case ResultCode::BackendRefused:
    case ResultCode::ReadUnconfirmed:
    case ResultCode::ConnectionFailed:
    case ResultCode::ProxyStopping:
        // Another attempt may succeed elsewhere or later. Inside a transaction there is no other place.
        if (!isInTransaction(entry) || entry.lookup) {
            wait(world, entry, answer.code, answer.text);
            return;
        }
        break;
    case ResultCode::TransactionLost:
    case ResultCode::UnknownTransaction:
        // The caller repeats a commit whose answer it did not get: the key tells whether it ran.
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
                     "an earlier attempt has no settled outcome; then: " + answer.text, actions);
    else
        this->finish(world, id, answer, actions);
}

void RequestSystem::attemptLost(World &world, RequestId id, Actions &actions)
{
    EntryRow &entry = world.entries.at(id);
    this->forwards.erase(entry.forwardId);

    if (isInTransaction(entry) && entry.request.kind != RequestKind::Commit) {
        this->finish(world, id, ResultCode::OutcomeUnknown, "the instance that holds the transaction gave no answer",
                     actions);
        return;
    }
    if (leavesDoubt(entry)) {
        entry.mayHaveRun = true;
        entry.lookup = !mayBeSentAgain(entry);
    }
    if (entry.request.kind == RequestKind::Read)
        entry.failedBackend = entry.backend;
    const bool hadCode = entry.lastCode == ResultCode::CommitUnconfirmed;
    wait(world, entry, hadCode ? entry.lastCode : ResultCode::OutcomeUnknown,
         hadCode ? entry.lastText : "the owner of the backend server gave no answer");
    if (!changesData(entry.request.kind)) {
        entry.lastCode = ResultCode::ConnectionFailed;
        entry.nextTry = world.now;
    }
}

void RequestSystem::tick(World &world, Actions &actions)
{
    // Age of the databases' data.
    for (DatabaseRow &database : world.databases) {
        if (!database.primary.isValid())
            continue;
        const BackendRow &primary = world.at(database.primary);
        if (primary.confirmedEndAsOf > TimePoint{0})
            database.ageSamples.record(primary.confirmedEnd, primary.confirmedEndAsOf);
    }

    // What is due is collected first, because handling changes the table.
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
            const bool ownerGone = !owner.live || owner.incarnation != entry.ownerIncarnation;
            const bool silent = entry.request.kind == RequestKind::Read && !isInTransaction(entry)
                                && world.now - entry.sentAt > world.options.admission.readAttemptTimeout;
            if (ownerGone || silent)
                lost.push_back(id);
        }
    });
    for (const RequestId id : expired)
        this->expire(world, id, actions);
    for (const RequestId id : lost)
        this->attemptLost(world, id, actions);
    for (const RequestId id : due)
        this->attempt(world, id, actions);
}

void RequestSystem::expire(World &world, RequestId id, Actions &actions)
{
    EntryRow &entry = world.entries.at(id);
    const bool sent = entry.step == EntryStep::Forwarded;
    const bool doubt = entry.mayHaveRun || (sent && leavesDoubt(entry))
                       || (sent && isInTransaction(entry) && entry.request.kind != RequestKind::Read);
    if (doubt) {
        const bool unconfirmed = entry.lastCode == ResultCode::CommitUnconfirmed;
        this->finish(world, id, unconfirmed ? ResultCode::CommitUnconfirmed : ResultCode::OutcomeUnknown,
                     unconfirmed ? entry.lastText : "no answer settled the outcome within the time allowed", actions);
        return;
    }

    // A reason that an earlier attempt gave says more than the deadline. Reads have no effects.
    const bool useLast = entry.lastCode != ResultCode::Ok && isNotRun(entry.lastCode);
    const ResultCode code = useLast ? entry.lastCode
                            : sent  ? ResultCode::ConnectionFailed
                                    : ResultCode::DeadlineTooShort;
    const std::string text = useLast ? entry.lastText : "the time allowed is over";
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

    // What the caller has seen becomes its new mark.
    const bool fromReplica = entry.request.kind == RequestKind::Read && entry.database.isValid()
                             && entry.backend.isValid() && entry.backend != world.at(entry.database).primary;
    // Owners give a position only with a result that the group has confirmed.
    const bool showsAll = result.code == ResultCode::Ok && result.position.position > 0
                          && (!isInTransaction(entry) || entry.request.kind == RequestKind::Commit);
    const LogPosition mark = showsAll ? std::max(entry.mark, result.position) : entry.mark;

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
    // A session without its mark gets a token only once this answer shows all that it wrote.
    if (entry.database.isValid() && (entry.markKnown || showsAll) && !entry.request.session.empty())
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
