#include "pool/sessionsystem.h"

#include "pool/dispatchsystem.h"
#include "pool/feedpublisher.h"
#include "pool/poolworld.h"
#include "pool/ratelimitsystem.h"
#include "pool/relayedroute.h"

#include <cassert>
#include <utility>
#include <vector>

namespace Jujubekeel {

namespace {

constexpr std::string_view withdrawnText = "the key was withdrawn";

std::string_view codeName(OutcomeCode code)
{
    switch (code) {
    case OutcomeCode::Busy:
        return "busy";
    case OutcomeCode::Aborted:
        return "aborted";
    case OutcomeCode::Lagging:
        return "lagging";
    case OutcomeCode::ReadOnly:
        return "read-only";
    case OutcomeCode::Misrouted:
        return "misrouted";
    case OutcomeCode::Overload:
        return "overload";
    case OutcomeCode::Failed:
        return "failed";
    case OutcomeCode::UnknownName:
        return "unknown-name";
    case OutcomeCode::Timeout:
        return "timeout";
    case OutcomeCode::InDoubt:
        return "in-doubt";
    case OutcomeCode::NoDatabase:
        return "no-database";
    case OutcomeCode::TooLarge:
        return "too-large";
    case OutcomeCode::Malformed:
        return "malformed";
    case OutcomeCode::Denied:
        return "denied";
    }
    return "unknown";
}

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
        session.organisation = this->organisationOf(session);
        if (!session.organisation && !route->isPublic) {
            this->deny(id);
            return;
        }
    }
    this->world.emit(GreetCaller{.session = id});
}

std::shared_ptr<const Organisation> SessionSystem::organisationOf(const SessionRow &session) const
{
    if (!session.key || !this->world.organisations)
        return nullptr;
    return this->world.organisations->findByKey(*session.key);
}

void SessionSystem::deny(SessionId id)
{
    const SessionRow &session = this->world.sessions.at(id);
    std::string reason = "no organisation holds the key";
    if (!session.key)
        reason = "the caller sent no key";
    else if (this->world.organisations && this->world.organisations->allKeys().contains(*session.key))
        reason = "two organisations hold the key";
    reason += " in configuration version " + this->organisationsVersion();
    this->world.counters.add("jujubekeel_pool_denied_total");
    this->world.logRequest("caller-denied", {{"database", session.database}, {"reason", reason}});
    this->world.emit(RefuseCaller{.session = id, .error = {.code = OutcomeCode::Denied, .text = std::move(reason)}});
    this->world.sessions.erase(id);
}

std::string SessionSystem::organisationsVersion() const
{
    return std::to_string(this->world.organisations ? this->world.organisations->version() : 0);
}

void SessionSystem::organisationsChanged()
{
    if (!this->world.usesOrganisations())
        return;
    std::vector<SessionId> withdrawn;
    std::vector<SessionId> relayed;
    this->world.sessions.forEach([&](SessionId id, SessionRow &session) {
        if (session.relayed)
            relayed.push_back(id);
        else if (!session.database.empty() && !session.awaitsRoutes && !session.keyWithdrawn
                 && !this->isAllowed(session))
            withdrawn.push_back(id);
    });
    // The end of one session may let the work of another start, and so end that one too.
    for (const SessionId id : withdrawn) {
        if (this->world.sessions.contains(id))
            this->withdrawKey(id);
    }
    for (const SessionId id : relayed) {
        if (this->world.sessions.contains(id))
            this->reviewRelayed(id);
    }
}

bool SessionSystem::isAllowed(SessionRow &session) const
{
    const auto holder = this->organisationOf(session);
    if (session.organisation) {
        if (!holder || holder->name != session.organisation->name)
            return false;
        // Limits and priority may have changed.
        session.organisation = holder;
        return true;
    }
    // The session runs in no name. If its key has become valid, the next work outside a transaction uses it.
    const auto route = this->world.routes->find(session.database);
    if (!route || route->isPublic)
        return true;
    return holder && !session.work && !session.transaction;
}

void SessionSystem::reviewRelayed(SessionId id)
{
    SessionRow &session = this->world.sessions.at(id);
    if (!session.organisation)
        return;
    const bool wasUnknown = session.organisationUnknown;
    this->useOrganisation(session, std::string(session.organisationName()));
    if (!session.organisationUnknown || wasUnknown)
        return;
    this->world.counters.add("jujubekeel_pool_relayed_organisations_unknown_total");
    if (session.work && !session.work->isQueued())
        return; // its result is delivered first
    if (session.transaction) {
        this->dispatch.rollBack(id);
        session.transaction->lost = true;
    }
    if (session.work)
        this->dispatch.denyQueued(id, this->unknownOrganisationText());
}

void SessionSystem::withdrawKey(SessionId id)
{
    SessionRow &session = this->world.sessions.at(id);
    session.keyWithdrawn = true;
    this->world.counters.add("jujubekeel_pool_keys_withdrawn_total");
    this->world.logRequest("key-withdrawn", {{"database", session.database},
                                             {"organisation", std::string(session.organisationName())},
                                             {"version", this->organisationsVersion()},
                                             {"transaction", session.transaction ? "true" : "false"},
                                             {"working", session.work ? "true" : "false"}});
    if (!session.work)
        this->stopWithdrawn(id);
    else if (session.work->isQueued())
        this->dispatch.denyQueued(id, std::string(withdrawnText));
    else // The statement is at a server, or its result is withheld.
        this->world.timers.add(this->world.now + this->world.options.withdrawnKeyWait, TimerKind::WithdrawnKey,
                               id.packed());
}

void SessionSystem::checkWithdrawn(SessionId id)
{
    SessionRow *session = this->world.sessions.find(id);
    if (session == nullptr || !session->keyWithdrawn)
        return;
    if (!session->work) {
        this->endWithdrawn(id);
        return;
    }
    const PendingWork &work = *session->work;
    const bool commit = work.statement.kind == StatementKind::Commit;
    OutcomeError error{.code = OutcomeCode::Timeout, .text = std::string(withdrawnText) + " before the answer came"};
    if (session->transaction)
        error.code = commit && session->transaction->wrote ? OutcomeCode::InDoubt : OutcomeCode::Aborted;
    else if (work.writes)
        error.code = OutcomeCode::InDoubt;
    this->world.counters.add("jujubekeel_pool_refused_total{code=\"" + std::string(codeName(error.code)) + "\"}");
    this->logStatement(*session, "statement-failed", std::string(codeName(error.code)), error.text);
    this->world.emit(ReplyToCaller{.session = id, .reply = CallerReply{.error = std::move(error)}});
    this->endWithdrawn(id);
}

void SessionSystem::stopWithdrawn(SessionId id)
{
    SessionRow &session = this->world.sessions.at(id);
    if (!session.transaction || session.limited || !session.backlog.empty()) {
        this->endWithdrawn(id);
        return;
    }
    // A caller that pauses inside a transaction would see only a closed connection. Its next statement is denied.
    this->dispatch.rollBack(id);
    session.transaction->lost = true;
    this->world.timers.add(this->world.now + this->world.options.withdrawnTransactionWait, TimerKind::WithdrawnKey,
                           id.packed());
}

void SessionSystem::endWithdrawn(SessionId id)
{
    if (this->world.sessions.at(id).limited)
        this->refuse(id, OutcomeCode::Denied, std::string(withdrawnText), SessionState::Idle);
    const std::size_t waiting = this->world.sessions.at(id).backlog.size();
    for (std::size_t count = 0; count < waiting; ++count)
        this->refuse(id, OutcomeCode::Denied, std::string(withdrawnText), SessionState::Idle);
    this->end(id);
    this->world.emit(CloseCaller{.session = id});
}

std::string SessionSystem::unknownOrganisationText() const
{
    return "the organisation is unknown in configuration version " + this->organisationsVersion();
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
            this->end(id);
            this->world.emit(CloseCaller{.session = id});
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
        this->refuse(id, OutcomeCode::Denied, std::string(withdrawnText), SessionState::Idle);
        this->endWithdrawn(id);
        return;
    }
    const bool endsTransaction = statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    if (session.state == SessionState::Failed && !endsTransaction) {
        this->refuse(id, OutcomeCode::Malformed, "the transaction has failed; only COMMIT or ROLLBACK can follow",
                     SessionState::Failed);
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
        this->failInTransaction(id, OutcomeCode::TooLarge, "the statement is too long to be sent under another name");
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
        this->answer(id, session.state);
        return;
    case StatementKind::Subscribe:
        this->feed.subscribe(id, statement.argument);
        return;
    case StatementKind::Allowance:
        this->rateLimits.requestReceived(id, statement.name, statement.argument);
        return;
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        this->begin(id, statement);
        return;
    case StatementKind::Rollback:
        this->rollBack(id);
        return;
    case StatementKind::SetValue:
        if (!this->makeRoom(id, statement, valueBytes(session, statement.name)))
            return;
        session.values.insert_or_assign(statement.name, statement.argument);
        this->answer(id, session.state);
        return;
    case StatementKind::Prepare:
        if (!this->makeRoom(id, statement, preparedBytes(session, statement.name)))
            return;
        session.prepared.insert_or_assign(
            statement.name, PreparedStatement{.writes = statement.preparesWrite, .text = statement.argument});
        this->answer(id, session.state);
        return;
    case StatementKind::Deallocate:
        session.keptBytes -= preparedBytes(session, statement.name);
        if (session.prepared.erase(statement.name) == 0)
            this->failInTransaction(id, OutcomeCode::UnknownName, "no prepared statement " + statement.name);
        else
            this->answer(id, session.state);
        return;
    case StatementKind::Malformed:
        this->failInTransaction(id, OutcomeCode::Malformed, "unknown or malformed statement");
        return;
    case StatementKind::Execute:
        if (!session.prepared.contains(statement.name)) {
            this->failInTransaction(id, OutcomeCode::UnknownName, "no prepared statement " + statement.name);
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
    this->startWork(id, std::move(statement));
}

bool SessionSystem::makeRoom(SessionId id, const Statement &statement, std::size_t replaced)
{
    SessionRow &session = this->world.sessions.at(id);
    // A relayed session has been checked by the instance that relays it, which counts shorter names.
    const std::size_t limit = this->world.options.sessionBytes * (session.relayed ? 2 : 1);
    const std::size_t bytes = session.keptBytes - replaced + keptBytesOf(statement.name, statement.argument);
    if (bytes > limit) {
        this->failInTransaction(id, OutcomeCode::TooLarge,
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
        this->end(id);
        this->world.emit(CloseCaller{.session = id});
        return;
    }
    session.database = relayed->route.database;
    session.route = std::make_shared<const Route>(relayed->route);
    session.mark = relayed->mark.value_or(LogPosition{});
    this->useOrganisation(session, relayed->organisation);
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

void SessionSystem::useOrganisation(SessionRow &session, const std::string &name)
{
    session.organisation = nullptr;
    session.organisationUnknown = false;
    if (name.empty())
        return;
    if (this->world.organisations)
        session.organisation = this->world.organisations->findByName(name);
    if (session.organisation)
        return;
    // The instance that relays the work may have a newer configuration, which it has checked the key against.
    session.organisationUnknown =
        this->world.organisations && this->world.organisations->version() >= session.route->version;
    // The name is kept also if it is unknown: a later configuration may contain it again, and the relaying instance does
    // not repeat what it has announced.
    session.organisation = std::make_shared<const Organisation>(Organisation{.name = name});
}

void SessionSystem::begin(SessionId id, const Statement &statement)
{
    SessionRow &session = this->world.sessions.at(id);
    if (session.state != SessionState::Idle) {
        this->refuse(id, OutcomeCode::Malformed, "a transaction is already open", session.state);
        return;
    }
    if (!this->resolveRoute(id))
        return;
    const bool readOnly = statement.kind == StatementKind::BeginReadOnly;
    const TimePoint consistentAt = this->world.now - session.route->maxStaleness;
    if (const auto refusal = this->dispatch.mustPassOn(session, !readOnly, consistentAt)) {
        this->refuse(id, refusal->code, refusal->text, SessionState::Idle);
        return;
    }
    if (!this->passesLimit(id, statement))
        return;
    // On the server the transaction begins with its first statement, so that it occupies no connection until then.
    session.transaction =
        TransactionState{.readOnly = readOnly, .startedAt = this->world.now, .lastActiveAt = this->world.now};
    this->answer(id, SessionState::InTransaction);
}

bool SessionSystem::endTransaction(SessionId id)
{
    SessionRow &session = this->world.sessions.at(id);
    if (session.state == SessionState::Idle) {
        this->refuse(id, OutcomeCode::Malformed, "no transaction is open", SessionState::Idle);
        return false;
    }
    this->dispatch.rollBack(id);
    session.transaction.reset();
    return true;
}

void SessionSystem::rollBack(SessionId id)
{
    if (this->endTransaction(id))
        this->answer(id, SessionState::Idle);
}

void SessionSystem::commitWithoutServer(SessionId id)
{
    if (this->endTransaction(id))
        this->refuse(id, OutcomeCode::Aborted, "the transaction had failed and was rolled back", SessionState::Idle);
}

bool SessionSystem::resolveRoute(SessionId id)
{
    SessionRow &session = this->world.sessions.at(id);
    if (session.relayed) {
        if (session.organisationUnknown) {
            this->refuse(id, OutcomeCode::Denied, this->unknownOrganisationText(), SessionState::Idle);
            return false;
        }
        if (session.route && this->needsOrganisation(session)) {
            // The instance that relays the work has a configuration from before organisations.
            this->refuse(id, OutcomeCode::Denied, "the work was relayed in no organisation's name", SessionState::Idle);
            return false;
        }
        if (session.route)
            return true;
        this->refuse(id, OutcomeCode::Malformed, "no route was sent for the relayed session", SessionState::Idle);
        return false;
    }
    session.route = this->world.routes->find(session.database);
    if (!session.organisation)
        session.organisation = this->organisationOf(session);
    if (session.route && this->needsOrganisation(session)) {
        this->refuse(id, OutcomeCode::Denied, "the route needs a key that belongs to an organisation",
                     SessionState::Idle);
        return false;
    }
    if (session.route)
        return true;
    this->refuse(id, OutcomeCode::NoDatabase,
                 "the route of this database was removed in configuration version "
                     + std::to_string(this->world.routes->version()),
                 SessionState::Idle);
    return false;
}

bool SessionSystem::needsOrganisation(const SessionRow &session) const
{
    return this->world.usesOrganisations() && !session.organisation && !session.route->isPublic;
}

void SessionSystem::startWork(SessionId id, Statement statement)
{
    SessionRow &session = this->world.sessions.at(id);
    if (!session.transaction && !this->resolveRoute(id))
        return;
    if (session.transaction && session.transaction->lost) {
        // COMMIT was never sent to the server, so that none of its changes are kept.
        const bool commit = statement.kind == StatementKind::Commit;
        if (commit)
            session.transaction.reset();
        this->refuse(id, OutcomeCode::Aborted, "the transaction was rolled back",
                     commit ? SessionState::Idle : SessionState::Failed);
        return;
    }

    const Duration sinceStopRequest = this->world.now - this->world.stopRequestedAt;
    const bool refusesNew = session.relayed || sinceStopRequest >= this->world.options.stopNewWorkAfter;
    if (this->world.stopping && !session.transaction && refusesNew) {
        this->refuse(id, OutcomeCode::Busy, "the instance is stopping", SessionState::Idle);
        return;
    }

    if (!session.transaction && !this->passesLimit(id, statement))
        return;

    const Route &route = *session.route;
    bool writes = statement.kind == StatementKind::Write;
    if (statement.kind == StatementKind::Execute)
        writes = session.prepared.find(statement.name)->second.writes;
    const TimePoint startedAt = session.transaction ? session.transaction->startedAt : this->world.now;
    PendingWork work{.statement = std::move(statement), .arrivedAt = this->world.now};
    work.writes = writes;
    work.needsPrimary = writes || route.consistency == ReadConsistency::Primary
                        || (session.transaction && !session.transaction->readOnly);
    work.deadline = this->world.now + this->world.options.queueWait;
    work.consistentAt = startedAt - route.maxStaleness;
    session.work = std::move(work);
    if (session.transaction)
        session.transaction->lastActiveAt = this->world.now;
    this->dispatch.submit(id);
}

bool SessionSystem::passesLimit(SessionId id, const Statement &statement)
{
    SessionRow &session = this->world.sessions.at(id);
    if (session.isAdmitted || !RateLimitSystem::isLimited(session))
        return true;
    const RateDecision decision = this->rateLimits.admit(id);
    if (decision.verdict == RateVerdict::Wait)
        session.limited = statement;
    else if (decision.verdict == RateVerdict::Refused)
        this->refuseLimited(id, statement, decision);
    return decision.verdict == RateVerdict::Taken;
}

void SessionSystem::rateDecided(SessionId id, const RateDecision &decision)
{
    SessionRow *session = this->world.sessions.find(id);
    if (session == nullptr || !session->limited)
        return;
    Statement statement = std::move(*session->limited);
    session->limited.reset();
    if (decision.verdict == RateVerdict::Refused) {
        this->refuseLimited(id, statement, decision);
    } else {
        // The configuration may have changed meanwhile, so that the statement is checked again.
        session->isAdmitted = true;
        this->start(id, std::move(statement));
        if (SessionRow *started = this->world.sessions.find(id))
            started->isAdmitted = false;
    }
    this->runNext(id);
}

void SessionSystem::refuseLimited(SessionId id, const Statement &statement, const RateDecision &decision)
{
    const SessionRow &session = this->world.sessions.at(id);
    const std::string organisation(session.organisationName());
    const auto retry = std::chrono::ceil<std::chrono::milliseconds>(decision.retryAfter);
    this->world.counters.add("jujubekeel_pool_rate_refused_total");
    this->world.logRequest("rate-limited", {{"request", statement.id},
                                            {"database", session.database},
                                            {"organisation", organisation},
                                            {"retryAfterMs", std::to_string(retry.count())}});
    this->refuse(id, OutcomeCode::Overload,
                 "the rate limit of organisation " + organisation + " is reached; retry after "
                     + std::to_string(retry.count()) + " ms",
                 SessionState::Idle);
}

void SessionSystem::finished(SessionId id, CallerReply reply)
{
    SessionRow &session = this->world.sessions.at(id);
    assert(session.work);
    const PendingWork &work = *session.work;
    if (reply.error) {
        this->world.counters.add("jujubekeel_pool_refused_total{code=\"" + std::string(codeName(reply.error->code))
                                 + "\"}");
        this->logStatement(session, "statement-failed", std::string(codeName(reply.error->code)), reply.error->text);
    } else {
        this->world.counters.add("jujubekeel_pool_answered_total");
        if (this->world.now - work.arrivedAt > session.route->latencyObjective)
            this->logStatement(session, "statement-late", "ok", "above the latency objective of the route");
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
            this->endWithdrawn(id);
        else
            this->stopWithdrawn(id);
        return;
    }
    if (session.organisationUnknown && session.transaction) {
        this->dispatch.rollBack(id);
        session.transaction->lost = true;
    }
    this->runNext(id);
}

void SessionSystem::logStatement(const SessionRow &session, const std::string &event, std::string code,
                                 const std::string &reason)
{
    const auto milliseconds = [](Duration duration) { return std::to_string(duration.count() / 1000); };
    const PendingWork &work = *session.work;
    const TimePoint leftQueueAt = work.sent ? work.sentAt : this->world.now;
    this->world.logRequest(event, {{"request", work.statement.id},
                                   {"database", session.database},
                                   {"relayed", session.relayed ? "true" : "false"},
                                   {"route", session.route->name},
                                   {"routeVersion", std::to_string(session.route->version)},
                                   {"service", session.route->service},
                                   {"code", std::move(code)},
                                   {"reason", reason},
                                   {"sent", work.sent ? "true" : "false"},
                                   {"server", work.server},
                                   {"primaryState", this->dispatch.describePrimary(session)},
                                   {"attempts", std::to_string(work.attempts)},
                                   {"waitedMs", milliseconds(leftQueueAt - work.arrivedAt)},
                                   {"tookMs", milliseconds(this->world.now - work.arrivedAt)}});
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

void SessionSystem::end(SessionId id)
{
    if (!this->world.sessions.contains(id))
        return;
    const SessionRow &session = this->world.sessions.at(id);
    if (session.limited)
        this->rateLimits.removeWaiting(id, session.organisationName());
    this->dispatch.abandon(id);
    this->world.sessions.erase(id);
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
        this->end(id);
        this->world.emit(CloseCaller{.session = id});
    }
}

void SessionSystem::answer(SessionId id, SessionState state)
{
    this->world.sessions.at(id).state = state;
    this->world.emit(ReplyToCaller{.session = id, .reply = CallerReply{.state = state}});
}

void SessionSystem::refuse(SessionId id, OutcomeCode code, std::string text, SessionState state)
{
    this->world.sessions.at(id).state = state;
    this->world.counters.add("jujubekeel_pool_refused_total{code=\"" + std::string(codeName(code)) + "\"}");
    this->world.emit(ReplyToCaller{
        .session = id,
        .reply = CallerReply{.error = OutcomeError{.code = code, .text = std::move(text)}, .state = state}});
}

void SessionSystem::failInTransaction(SessionId id, OutcomeCode code, std::string text)
{
    SessionRow &session = this->world.sessions.at(id);
    const bool open = session.state != SessionState::Idle;
    if (open) {
        this->dispatch.rollBack(id);
        session.transaction->lost = true;
    }
    this->refuse(id, code, std::move(text), open ? SessionState::Failed : SessionState::Idle);
}

} // namespace Jujubekeel
