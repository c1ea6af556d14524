#include "pool/organisationsystem.h"

#include "pool/dispatchsystem.h"
#include "pool/poolworld.h"
#include "pool/sessionreplies.h"

#include <string_view>
#include <utility>
#include <vector>

namespace Jujubekeel {

namespace {

constexpr std::string_view withdrawnText = "the key was withdrawn";

} // namespace

std::shared_ptr<const Organisation> OrganisationSystem::organisationOf(const SessionRow &session) const
{
    if (!session.key || !this->world.organisations)
        return nullptr;
    return this->world.organisations->findByKey(*session.key);
}

std::string OrganisationSystem::organisationsVersion() const
{
    return std::to_string(this->world.organisations ? this->world.organisations->version() : 0);
}

std::string OrganisationSystem::unknownOrganisationText() const
{
    return "the organisation is unknown in configuration version " + this->organisationsVersion();
}

bool OrganisationSystem::needsOrganisation(const SessionRow &session) const
{
    return this->world.usesOrganisations() && !session.organisation && !session.route->isPublic;
}

void OrganisationSystem::deny(SessionId id)
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

void OrganisationSystem::organisationsChanged()
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

bool OrganisationSystem::isAllowed(SessionRow &session) const
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

void OrganisationSystem::reviewRelayed(SessionId id)
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

void OrganisationSystem::useOrganisation(SessionRow &session, const std::string &name)
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

void OrganisationSystem::withdrawKey(SessionId id)
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

void OrganisationSystem::checkWithdrawn(SessionId id)
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
    this->replies.reportFailure(*session, error);
    this->world.emit(ReplyToCaller{.session = id, .reply = CallerReply{.error = std::move(error)}});
    this->endWithdrawn(id);
}

void OrganisationSystem::stopWithdrawn(SessionId id)
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

void OrganisationSystem::denyWithdrawn(SessionId id)
{
    this->replies.refuse(id, OutcomeCode::Denied, std::string(withdrawnText), SessionState::Idle);
    this->endWithdrawn(id);
}

void OrganisationSystem::endWithdrawn(SessionId id)
{
    if (this->world.sessions.at(id).limited)
        this->replies.refuse(id, OutcomeCode::Denied, std::string(withdrawnText), SessionState::Idle);
    const std::size_t waiting = this->world.sessions.at(id).backlog.size();
    for (std::size_t count = 0; count < waiting; ++count)
        this->replies.refuse(id, OutcomeCode::Denied, std::string(withdrawnText), SessionState::Idle);
    this->replies.close(id);
}

} // namespace Jujubekeel
