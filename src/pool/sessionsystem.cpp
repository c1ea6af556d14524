#include "pool/sessionsystem.h"

#include "pool/admissionsystem.h"
#include "pool/dispatchsystem.h"
#include "pool/feedpublisher.h"
#include "pool/organisationsystem.h"
#include "pool/poolworld.h"
#include "pool/ratelimitsystem.h"
#include "pool/relayedroute.h"
#include "pool/sessionreplies.h"

#include <cassert>
#include <utility>
#include <vector>

namespace Jujubekeel {

namespace {

/// Bytes of a table entry besides its texts.
constexpr std::size_t entryBytes = 128;

std::size_t keptBytesOf(std::string_view name, std::string_view text)
{
    return name.size() + text.size() + entryBytes;
}

/// What SessionRow::keptBytes contains for a value; 0 if there is none of this name.
std::size_t valueBytes(const SessionRow &session, std::string_view name)
{
    const auto found = session.values.find(name);
    return found == session.values.end() ? 0 : keptBytesOf(name, found->second);
}

/// The same for a prepared statement.
std::size_t preparedBytes(const SessionRow &session, std::string_view name)
{
    const auto found = session.prepared.find(name);
    return found == session.prepared.end() ? 0 : keptBytesOf(name, found->second.text);
}

/// Whether an error with this code promises that the statement has not run.
bool isNotRun(OutcomeCode code)
{
    return code == OutcomeCode::Busy || code == OutcomeCode::Lagging || code == OutcomeCode::ReadOnly
           || code == OutcomeCode::Misrouted || code == OutcomeCode::Overload || code == OutcomeCode::Denied;
}

} // namespace

void SessionSystem::open(SessionId id, const std::string &database, const std::optional<KeyDigest> &key)
{
    SessionRow &session = this->world.sessions.at(id);
    session.database = database;
    session.key = key;
    if (!this->world.mayOpenSessions()) {
        // After a loss of power callers arrive before the configuration, which is usually read within milliseconds.
        session.awaitsRoutes = true;
        this->world.timers.add(this->world.now + this->world.options.openWait, TimerKind::SessionOpening, id.packed());
        return;
    }
    session.awaitsRoutes = false;
    const auto route = this->world.routes->find(database);
    if (!route) {
        this->world.counters.add("jujubekeel_pool_unknown_database_total");
        this->world.emit(RefuseCaller{.session = id,
                                      .error = {.code = OutcomeCode::NoDatabase,
                                                .text = "no route for this database in configuration version "
                                                        + std::to_string(this->world.routes->version())}});
        this->world.sessions.erase(id);
        return;
    }
    if (this->world.usesOrganisations()) {
        session.organisation = this->organisations.organisationOf(session);
        if (!session.organisation && !route->isPublic) {
            this->organisations.deny(id);
            return;
        }
    }
    this->world.emit(GreetCaller{.session = id});
}

void SessionSystem::routesReceived()
{
    if (!this->world.mayOpenSessions())
        return;
    std::vector<SessionId> waiting;
    this->world.sessions.forEach([&](SessionId id, const SessionRow &session) {
        if (session.awaitsRoutes)
            waiting.push_back(id);
    });
    for (const SessionId id : waiting) {
        const SessionRow &session = this->world.sessions.at(id);
        this->open(id, std::string(session.database), std::optional<KeyDigest>(session.key));
        this->runNext(id);
    }
}

void SessionSystem::checkOpening(SessionId id)
{
    const SessionRow *session = this->world.sessions.find(id);
    if (session == nullptr || !session->awaitsRoutes)
        return;
    this->world.emit(
        RefuseCaller{.session = id, .error = {.code = OutcomeCode::Busy, .text = "no configuration received yet"}});
    this->world.sessions.erase(id);
}

void SessionSystem::openRelayed(SessionId id, const std::string &expected)
{
    // The address may have belonged to another instance, which has ended.
    if (expected != this->world.options.instance) {
        this->world.emit(
            RefuseCaller{.session = id,
                         .error = {.code = OutcomeCode::Misrouted,
                                   .text = "another instance was expected; this is " + this->world.options.instance}});
        this->world.sessions.erase(id);
        return;
    }
    this->world.sessions.at(id).relayed = true;
    this->world.emit(GreetCaller{.session = id});
}

void SessionSystem::run(SessionId id, Statement statement)
{
    SessionRow &session = this->world.sessions.at(id);
    if (session.isBusy() || !session.backlog.empty()) {
        session.backlogBytes += statement.text.size();
        if (session.backlog.size() >= this->world.options.backlogLimit
            || session.backlogBytes > this->world.options.backlogBytes) {
            this->replies.close(id);
            return;
        }
        session.backlog.push_back(std::move(statement));
        return;
    }
    this->start(id, std::move(statement));
}

void SessionSystem::setRepliesUnread(SessionId id, bool unread)
{
    this->world.sessions.at(id).repliesUnread = unread;
    this->runNext(id);
}

void SessionSystem::runNext(SessionId id)
{
    while (SessionRow *session = this->world.sessions.find(id)) {
        if (session->isBusy() || session->backlog.empty())
            return;
        Statement statement = std::move(session->backlog.front());
        session->backlog.pop_front();
        session->backlogBytes -= statement.text.size();
        this->start(id, std::move(statement));
    }
}

void SessionSystem::start(SessionId id, Statement statement)
{
    SessionRow &session = this->world.sessions.at(id);
    if (session.keyWithdrawn) {
        this->organisations.denyWithdrawn(id);
        return;
    }
    const bool endsTransaction = statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    if (session.state == SessionState::Failed && !endsTransaction) {
        this->replies.refuse(id, OutcomeCode::Malformed,
                             "the transaction has failed; only COMMIT or ROLLBACK can follow", SessionState::Failed);
        return;
    }
    const bool relayedOnly = statement.kind == StatementKind::UseRoute || statement.kind == StatementKind::ResetSession
                             || statement.kind == StatementKind::Subscribe
                             || statement.kind == StatementKind::Allowance;
    if (relayedOnly && !session.relayed)
        statement.kind = StatementKind::Malformed;
    const bool isRenamed = statement.kind == StatementKind::Prepare || statement.kind == StatementKind::Execute;
    // The instance that relays a statement has checked its length.
    if (isRenamed && !session.relayed && statement.text.size() > this->world.options.preparedTextLimit) {
        this->replies.failInTransaction(id, OutcomeCode::TooLarge,
                                        "the statement is too long to be sent under another name");
        return;
    }
    switch (statement.kind) {
    case StatementKind::UseRoute:
        this->useRoute(id, statement);
        return;
    case StatementKind::ResetSession:
        session.values.clear();
        session.prepared.clear();
        session.keptBytes = 0;
        this->replies.answer(id, session.state);
        return;
    case StatementKind::Subscribe:
        this->feed.subscribe(id, statement.argument);
        return;
    case StatementKind::Allowance:
        this->rateLimits.requestReceived(id, statement.name, statement.argument);
        return;
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        this->admission.begin(id, statement);
        return;
    case StatementKind::Rollback:
        this->rollBack(id);
        return;
    case StatementKind::SetValue:
        if (!this->makeRoom(id, statement, valueBytes(session, statement.name)))
            return;
        session.values.insert_or_assign(statement.name, statement.argument);
        this->replies.answer(id, session.state);
        return;
    case StatementKind::Prepare:
        if (!this->makeRoom(id, statement, preparedBytes(session, statement.name)))
            return;
        session.prepared.insert_or_assign(
            statement.name, PreparedStatement{.writes = statement.preparesWrite, .text = statement.argument});
        this->replies.answer(id, session.state);
        return;
    case StatementKind::Deallocate:
        session.keptBytes -= preparedBytes(session, statement.name);
        if (session.prepared.erase(statement.name) == 0)
            this->replies.failInTransaction(id, OutcomeCode::UnknownName, "no prepared statement " + statement.name);
        else
            this->replies.answer(id, session.state);
        return;
    case StatementKind::Malformed:
        this->replies.failInTransaction(id, OutcomeCode::Malformed, "unknown or malformed statement");
        return;
    case StatementKind::Execute:
        if (!session.prepared.contains(statement.name)) {
            this->replies.failInTransaction(id, OutcomeCode::UnknownName, "no prepared statement " + statement.name);
            return;
        }
        break;
    case StatementKind::Commit:
        if (session.state != SessionState::InTransaction) {
            this->commitWithoutServer(id);
            return;
        }
        break;
    default:
        break;
    }
    this->admission.startWork(id, std::move(statement));
}

bool SessionSystem::makeRoom(SessionId id, const Statement &statement, std::size_t replaced)
{
    SessionRow &session = this->world.sessions.at(id);
    // A relayed session has been checked by the instance that relays it, which counts shorter names.
    const std::size_t limit = this->world.options.sessionBytes * (session.relayed ? 2 : 1);
    const std::size_t bytes = session.keptBytes - replaced + keptBytesOf(statement.name, statement.argument);
    if (bytes > limit) {
        this->replies.failInTransaction(id, OutcomeCode::TooLarge,
                                        "the session's values and prepared statements are too large");
        return false;
    }
    session.keptBytes = bytes;
    return true;
}

void SessionSystem::useRoute(SessionId id, const Statement &statement)
{
    SessionRow &session = this->world.sessions.at(id);
    const auto relayed = RelayedRoute::fromText(statement.argument);
    if (!relayed || session.state != SessionState::Idle) {
        // The statements that follow need the route, so they must not run.
        this->replies.close(id);
        return;
    }
    session.database = relayed->route.database;
    session.route = std::make_shared<const Route>(relayed->route);
    session.mark = relayed->mark.value_or(LogPosition{});
    this->organisations.useOrganisation(session, relayed->organisation);
    // Tells the relaying instance, which does not follow the servers, where the primary is.
    this->world.emit(ReplyToCaller{
        .session = id, .reply = CallerReply{.digest = this->primaryDomain(session), .state = session.state}});
}

std::string SessionSystem::primaryDomain(const SessionRow &session) const
{
    const auto found = this->world.serviceByName.find(session.route->service);
    if (!this->world.usesOrganisations() || found == this->world.serviceByName.end())
        return {};
    const ServerRow *primary = this->world.servers.find(this->world.services.at(found->second).primary);
    return primary == nullptr ? std::string() : primary->entry.failureDomain;
}

bool SessionSystem::endTransaction(SessionId id)
{
    SessionRow &session = this->world.sessions.at(id);
    if (session.state == SessionState::Idle) {
        this->replies.refuse(id, OutcomeCode::Malformed, "no transaction is open", SessionState::Idle);
        return false;
    }
    this->dispatch.rollBack(id);
    session.transaction.reset();
    return true;
}

void SessionSystem::rollBack(SessionId id)
{
    if (this->endTransaction(id))
        this->replies.answer(id, SessionState::Idle);
}

void SessionSystem::commitWithoutServer(SessionId id)
{
    if (this->endTransaction(id))
        this->replies.refuse(id, OutcomeCode::Aborted, "the transaction had failed and was rolled back",
                             SessionState::Idle);
}

void SessionSystem::rateDecided(SessionId id, const RateDecision &decision)
{
    SessionRow *session = this->world.sessions.find(id);
    if (session == nullptr || !session->limited)
        return;
    Statement statement = std::move(*session->limited);
    session->limited.reset();
    if (decision.verdict == RateVerdict::Refused) {
        this->admission.refuseLimited(id, statement, decision);
    } else {
        // The configuration may have changed meanwhile, so that the statement is checked again.
        session->isAdmitted = true;
        this->start(id, std::move(statement));
        if (SessionRow *started = this->world.sessions.find(id))
            started->isAdmitted = false;
    }
    this->runNext(id);
}

void SessionSystem::finished(SessionId id, CallerReply reply)
{
    SessionRow &session = this->world.sessions.at(id);
    assert(session.work);
    const PendingWork &work = *session.work;
    if (reply.error) {
        this->replies.reportFailure(session, *reply.error);
    } else {
        this->world.counters.add("jujubekeel_pool_answered_total");
        if (this->world.now - work.arrivedAt > session.route->latencyObjective)
            this->replies.logStatement(session, "statement-late", "ok", "above the latency objective of the route");
    }

    const bool mayHaveRun = !reply.error || !isNotRun(reply.error->code);
    if (session.transaction && mayHaveRun)
        session.transaction->hasRun = true;
    if (!mayHaveRun && !(session.transaction && session.transaction->hasRun))
        this->rateLimits.giveBack(session);
    const bool commit = work.statement.kind == StatementKind::Commit;
    session.work.reset();
    session.state = reply.state;
    if (commit || session.state == SessionState::Idle)
        session.transaction.reset();
    if (session.transaction && session.transaction->link.isValid()) {
        session.transaction->lastActiveAt = this->world.now;
        const Duration limit = this->transactionIdleLimit();
        this->world.timers.add(this->world.now + limit, TimerKind::TransactionIdle, id.packed());
    }
    const bool failed = reply.error.has_value();
    this->world.emit(ReplyToCaller{.session = id, .reply = std::move(reply)});
    if (session.keyWithdrawn) {
        if (failed)
            this->organisations.endWithdrawn(id);
        else
            this->organisations.stopWithdrawn(id);
        return;
    }
    if (session.organisationUnknown && session.transaction) {
        this->dispatch.rollBack(id);
        session.transaction->lost = true;
    }
    this->runNext(id);
}

void SessionSystem::checkIdleTransaction(SessionId id)
{
    SessionRow *session = this->world.sessions.find(id);
    if (session == nullptr || session->work || !session->transaction || !session->transaction->link.isValid())
        return;
    const Duration limit = this->transactionIdleLimit();
    if (this->world.now - session->transaction->lastActiveAt < limit)
        return;
    this->world.log(LogLevel::Info, "idle-transaction-ended", {{"database", session->database}});
    this->dispatch.rollBack(id);
    session->transaction->lost = true;
}

Duration SessionSystem::transactionIdleLimit() const
{
    // A member may have no configuration yet, since relayed work comes with its route.
    return this->world.routes ? this->world.routes->transactionIdleLimit() : RouteTable().transactionIdleLimit();
}

void SessionSystem::closeIdle(bool endTransactions)
{
    std::vector<SessionId> idle;
    this->world.sessions.forEach([&](SessionId id, SessionRow &session) {
        if (session.work || session.limited || !session.backlog.empty())
            return;
        if (session.state == SessionState::Idle || endTransactions)
            idle.push_back(id);
    });
    for (const SessionId id : idle) {
        this->replies.close(id);
    }
}

} // namespace Jujubekeel
