#include "pool/admissionsystem.h"

#include "pool/dispatchsystem.h"
#include "pool/organisationsystem.h"
#include "pool/poolworld.h"
#include "pool/ratelimitsystem.h"
#include "pool/sessionreplies.h"

#include <chrono>
#include <string>
#include <utility>

namespace Jujubekeel {

void AdmissionSystem::begin(SessionId id, const Statement &statement)
{
    SessionRow &session = this->world.sessions.at(id);
    if (session.state != SessionState::Idle) {
        this->replies.refuse(id, OutcomeCode::Malformed, "a transaction is already open", session.state);
        return;
    }
    if (!this->resolveRoute(id))
        return;
    const bool readOnly = statement.kind == StatementKind::BeginReadOnly;
    const TimePoint consistentAt = this->world.now - session.route->maxStaleness;
    if (const auto refusal = this->dispatch.mustPassOn(session, !readOnly, consistentAt)) {
        this->replies.refuse(id, refusal->code, refusal->text, SessionState::Idle);
        return;
    }
    if (!this->passesLimit(id, statement))
        return;
    // On the server the transaction begins with its first statement, so that it occupies no connection until then.
    session.transaction =
        TransactionState{.readOnly = readOnly, .startedAt = this->world.now, .lastActiveAt = this->world.now};
    this->replies.answer(id, SessionState::InTransaction);
}

void AdmissionSystem::startWork(SessionId id, Statement statement)
{
    SessionRow &session = this->world.sessions.at(id);
    if (!session.transaction && !this->resolveRoute(id))
        return;
    if (session.transaction && session.transaction->lost) {
        // COMMIT was never sent to the server, so that none of its changes are kept.
        const bool commit = statement.kind == StatementKind::Commit;
        if (commit)
            session.transaction.reset();
        this->replies.refuse(id, OutcomeCode::Aborted, "the transaction was rolled back",
                             commit ? SessionState::Idle : SessionState::Failed);
        return;
    }

    const Duration sinceStopRequest = this->world.now - this->world.stopRequestedAt;
    const bool refusesNew = session.relayed || sinceStopRequest >= this->world.options.stopNewWorkAfter;
    if (this->world.stopping && !session.transaction && refusesNew) {
        this->replies.refuse(id, OutcomeCode::Busy, "the instance is stopping", SessionState::Idle);
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

bool AdmissionSystem::resolveRoute(SessionId id)
{
    SessionRow &session = this->world.sessions.at(id);
    if (session.relayed) {
        if (session.organisationUnknown) {
            this->replies.refuse(id, OutcomeCode::Denied, this->organisations.unknownOrganisationText(),
                                 SessionState::Idle);
            return false;
        }
        if (session.route && this->organisations.needsOrganisation(session)) {
            // The instance that relays the work has a configuration from before organisations.
            this->replies.refuse(id, OutcomeCode::Denied, "the work was relayed in no organisation's name",
                                 SessionState::Idle);
            return false;
        }
        if (session.route)
            return true;
        this->replies.refuse(id, OutcomeCode::Malformed, "no route was sent for the relayed session",
                             SessionState::Idle);
        return false;
    }
    session.route = this->world.routes->find(session.database);
    if (!session.organisation)
        session.organisation = this->organisations.organisationOf(session);
    if (session.route && this->organisations.needsOrganisation(session)) {
        this->replies.refuse(id, OutcomeCode::Denied, "the route needs a key that belongs to an organisation",
                             SessionState::Idle);
        return false;
    }
    if (session.route)
        return true;
    this->replies.refuse(id, OutcomeCode::NoDatabase,
                         "the route of this database was removed in configuration version "
                             + std::to_string(this->world.routes->version()),
                         SessionState::Idle);
    return false;
}

bool AdmissionSystem::passesLimit(SessionId id, const Statement &statement)
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

void AdmissionSystem::refuseLimited(SessionId id, const Statement &statement, const RateDecision &decision)
{
    const SessionRow &session = this->world.sessions.at(id);
    const std::string organisation(session.organisationName());
    const auto retry = std::chrono::ceil<std::chrono::milliseconds>(decision.retryAfter);
    this->world.counters.add("jujubekeel_pool_rate_refused_total");
    this->world.logRequest("rate-limited", {{"request", statement.id},
                                            {"database", session.database},
                                            {"organisation", organisation},
                                            {"retryAfterMs", std::to_string(retry.count())}});
    this->replies.refuse(id, OutcomeCode::Overload,
                         "the rate limit of organisation " + organisation + " is reached; retry after "
                             + std::to_string(retry.count()) + " ms",
                         SessionState::Idle);
}

} // namespace Jujubekeel
