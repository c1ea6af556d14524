#include "pool/sessionreplies.h"

#include "pool/dispatchsystem.h"
#include "pool/poolworld.h"
#include "pool/ratelimitsystem.h"

#include <string_view>
#include <utility>

namespace Jujubekeel {

namespace {

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

} // namespace

void SessionReplies::answer(SessionId id, SessionState state)
{
    this->world.sessions.at(id).state = state;
    this->world.emit(ReplyToCaller{.session = id, .reply = CallerReply{.state = state}});
}

void SessionReplies::refuse(SessionId id, OutcomeCode code, std::string text, SessionState state)
{
    this->world.sessions.at(id).state = state;
    this->countRefused(code);
    this->world.emit(ReplyToCaller{
        .session = id,
        .reply = CallerReply{.error = OutcomeError{.code = code, .text = std::move(text)}, .state = state}});
}

void SessionReplies::failInTransaction(SessionId id, OutcomeCode code, std::string text)
{
    SessionRow &session = this->world.sessions.at(id);
    const bool open = session.state != SessionState::Idle;
    if (open) {
        this->dispatch.rollBack(id);
        session.transaction->lost = true;
    }
    this->refuse(id, code, std::move(text), open ? SessionState::Failed : SessionState::Idle);
}

void SessionReplies::reportFailure(const SessionRow &session, const OutcomeError &error)
{
    this->countRefused(error.code);
    this->logStatement(session, "statement-failed", std::string(codeName(error.code)), error.text);
}

void SessionReplies::countRefused(OutcomeCode code)
{
    this->world.counters.add("jujubekeel_pool_refused_total{code=\"" + std::string(codeName(code)) + "\"}");
}

void SessionReplies::logStatement(const SessionRow &session, const std::string &event, std::string code,
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

void SessionReplies::end(SessionId id)
{
    if (!this->world.sessions.contains(id))
        return;
    const SessionRow &session = this->world.sessions.at(id);
    if (session.limited)
        this->rateLimits.removeWaiting(id, session.organisationName());
    this->dispatch.abandon(id);
    this->world.sessions.erase(id);
}

void SessionReplies::close(SessionId id)
{
    this->end(id);
    this->world.emit(CloseCaller{.session = id});
}

} // namespace Jujubekeel
