#include "pool/dispatchsystem.h"

#include "pool/poolworld.h"
#include "pool/relayedroute.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <unordered_map>

namespace Jujubekeel {

namespace {

/// Attempts to run one statement before it is refused, besides one for each member.
constexpr std::uint32_t attemptLimit = 8;
/// Divisor of the moving average of the interval at which work leaves a queue; as many samples make an estimate.
constexpr std::uint32_t dequeueSamples = 8;
/// Work is refused at once if its expected wait exceeds the time left by this factor, in halves: the estimate is rough,
/// and work that could be served must not be refused.
constexpr std::int64_t hopelessHalves = 3;
/// Delay before work that every server has refused is tried again.
constexpr Duration refusedRetryDelay = std::chrono::milliseconds(15);
/// The first attempt of a read is repeated elsewhere after this multiple of the server's average response time, because
/// the connection may be dead.
constexpr std::int64_t slowReadFactor = 10;
/// Shortest such timeout.
constexpr Duration slowReadMin = std::chrono::milliseconds(400);
/// Time-out of commands that need no slot of the backend server.
constexpr Duration commandTimeout = std::chrono::milliseconds(1000);

bool endsTransaction(StatementKind kind)
{
    return kind == StatementKind::Commit || kind == StatementKind::Rollback;
}

} // namespace

DispatchSystem::DispatchSystem(PoolWorld &poolWorld, LinkSystem &linkSystem, Finish finishWork)
    : world(poolWorld), links(linkSystem), chooser(poolWorld), pace(poolWorld), finish(std::move(finishWork))
{
}

ServiceId DispatchSystem::serviceOf(const SessionRow &session) const
{
    const auto found = this->world.serviceByName.find(session.route->service);
    if (found != this->world.serviceByName.end())
        return found->second;
    // The service is unknown at a relaying instance, whose work goes to the members, and right after the start.
    return this->world.isRelaying() || !this->world.serversListed ? this->world.relayService : ServiceId{};
}

std::string DispatchSystem::describePrimary(const SessionRow &session) const
{
    const ServiceId id = this->serviceOf(session);
    if (!id.isValid())
        return "no server known";
    if (this->world.isRelaying())
        return "relayed, " + std::to_string(this->world.memberById.size()) + " members";
    const ServiceRow &service = this->world.services.at(id);
    const ServerRow *primary = this->world.servers.find(service.primary);
    std::string text = service.primaryId.empty() ? "no primary" : "primary " + service.primaryId;
    text += " epoch " + std::to_string(service.epoch);
    if (service.changing)
        text += ", being replaced";
    if (primary == nullptr)
        text += ", not listed";
    else if (primary->unreachableSince.count() != 0)
        text +=
            ", unreachable for " + std::to_string((this->world.now - primary->unreachableSince).count() / 1000) + " ms";
    text += service.leadershipVerifiedAt.count() == 0
                ? ", leadership not verified"
                : ", leadership verified "
                      + std::to_string((this->world.now - service.leadershipVerifiedAt).count() / 1000) + " ms ago";
    text += ", links " + std::to_string(primary == nullptr ? 0 : primary->links.size());
    return text + ", queued " + std::to_string(service.queue.size());
}

void DispatchSystem::submit(SessionId id)
{
    SessionRow &session = this->world.sessions.at(id);
    assert(session.work && session.route);
    if (session.transaction && session.transaction->link.isValid()) {
        this->sendStatement(id, session.transaction->link, std::nullopt);
        return;
    }
    const PendingWork &work = *session.work;
    if (!session.transaction) {
        if (const auto refusal = this->mustPassOn(session, work.needsPrimary, work.consistentAt)) {
            this->finishWithError(id, refusal->code, refusal->text, SessionState::Idle);
            return;
        }
    }
    if (!this->trySend(id))
        this->enqueue(id);
}

std::optional<OutcomeError> DispatchSystem::mustPassOn(const SessionRow &session, bool needsPrimary,
                                                       TimePoint consistentAt) const
{
    const ServiceId service = this->serviceOf(session);
    if (session.relayed && this->chooser.needsOtherMember(service, needsPrimary, consistentAt))
        return OutcomeError{.code = OutcomeCode::Misrouted, .text = "this member does not reach the store"};
    if (session.relayed && this->lacksPrimaryLink(service, needsPrimary, consistentAt))
        return OutcomeError{.code = OutcomeCode::Busy, .text = "this member may not connect to the primary yet"};
    return std::nullopt;
}

bool DispatchSystem::lacksPrimaryLink(ServiceId service, bool needsPrimary, TimePoint consistentAt) const
{
    if (!service.isValid() || service == this->world.relayService)
        return false;
    const ServiceRow &row = this->world.services.at(service);
    if (!this->world.servers.contains(row.primary) || !this->links.lacksLink(row.primary))
        return false;
    // Other reads need a position that only the primary can give.
    return needsPrimary || !row.positions.covering(consistentAt);
}

bool DispatchSystem::isRelayed(const SessionRow &session, ServiceId service) const
{
    if (this->world.isRelaying())
        return true;
    const PendingWork &work = *session.work;
    return !session.relayed
           && (this->chooser.needsOtherMember(service, work.needsPrimary, work.consistentAt)
               || this->lacksPrimaryLink(service, work.needsPrimary, work.consistentAt));
}

void DispatchSystem::enqueue(SessionId id)
{
    SessionRow &session = this->world.sessions.at(id);
    const ServiceId serviceId = this->serviceOf(session);
    if (!serviceId.isValid()) {
        this->finishWithError(id, OutcomeCode::Busy, "no backend server of the service is known", SessionState::Failed);
        return;
    }
    // A retry keeps its arrival time and so its place among the work of its organisation.
    ServiceRow &service = this->world.services.at(serviceId);
    const OrganisationQueue<SessionId>::Entry entry{.work = id,
                                                    .priority = session.route->priority,
                                                    .arrivedAt = session.work->arrivedAt,
                                                    .needsPrimary = session.work->needsPrimary};
    const std::size_t place = service.queue.countBefore(session.organisationName(), entry);
    if (this->isHopeless(service, place, *session.work) && !session.relayed) {
        this->world.counters.add("jujubekeel_pool_hopeless_total");
        this->finishWithError(id, OutcomeCode::Busy, "the queue is longer than can be served in time",
                              SessionState::Failed);
        return;
    }
    service.queue.insert(session.organisationName(), entry);
    session.work->queue = serviceId;
    this->world.timers.add(session.work->deadline, TimerKind::WorkDeadline, id.packed());
}

bool DispatchSystem::isHopeless(const ServiceRow &service, std::size_t place, const PendingWork &work) const
{
    if (service.dequeues < dequeueSamples)
        return false;
    const Duration expected = service.dequeueInterval * static_cast<std::int64_t>(place + 1);
    return expected * 2 > (work.deadline - this->world.now) * hopelessHalves;
}

void DispatchSystem::removeFromQueue(SessionId id)
{
    SessionRow &session = this->world.sessions.at(id);
    if (!session.work || !session.work->isQueued())
        return;
    // serviceOf() may return another service by now, as the route's own may have become known since.
    this->world.services.at(session.work->queue).queue.remove(id);
    session.work->queue = ServiceId{};
}

bool DispatchSystem::trySend(SessionId id)
{
    SessionRow &session = this->world.sessions.at(id);
    const ServiceId serviceId = this->serviceOf(session);
    if (!serviceId.isValid())
        return false;
    if (this->isRelayed(session, serviceId))
        return this->relay(id);
    if (serviceId == this->world.relayService)
        return false;
    if (session.work->needsPrimary) {
        if (!this->chooser.primaryUsable(serviceId))
            return false;
        const ServerId primary = this->world.services.at(serviceId).primary;
        if (this->world.usesOrganisations())
            return this->sendToOpenLink(id, std::array{primary}, std::nullopt, true);
        return this->sendTo(id, primary, std::nullopt, true);
    }

    const auto required = this->chooser.requiredPosition(session, serviceId);
    if (!required)
        this->requestPosition(serviceId);
    const std::vector<ServerId> candidates = this->chooser.readCandidates(session, serviceId, required);
    const bool lastResort = this->pace.isLastResort(candidates);
    if (this->world.usesOrganisations())
        return this->sendToOpenLink(id, candidates, required, lastResort);
    return std::any_of(candidates.begin(), candidates.end(),
                       [&](ServerId server) { return this->sendTo(id, server, required, lastResort); });
}

bool DispatchSystem::sendToOpenLink(SessionId id, std::span<const ServerId> candidates,
                                    std::optional<LogPosition> requiredPosition, bool lastResort)
{
    this->openToBest(id, candidates, lastResort);
    // Each link that is opened takes a slot of its server, so only the best server gets one.
    for (const ServerId server : candidates) {
        if (this->links.findFree(server, id).isValid() && this->sendTo(id, server, requiredPosition, lastResort))
            return true;
    }
    // A link that the organisation has may become free before another one could be opened.
    const TimePoint openAt = this->world.sessions.at(id).work->arrivedAt + this->world.options.handshakeCost;
    const bool hasLink = std::any_of(candidates.begin(), candidates.end(), [&](ServerId server) {
        return this->links.hasOpen(server, this->linkOrganisation(id, server));
    });
    if (hasLink && this->world.now < openAt) {
        this->world.timers.add(openAt, TimerKind::ServiceCheck, this->serviceOf(this->world.sessions.at(id)).packed());
        return false;
    }
    for (const ServerId server : candidates) {
        if (this->pace.mayStart(this->world.sessions.at(id), server, lastResort)
            && this->links.ensureOpening(server, LinkPurpose::Work, this->linkOrganisation(id, server)))
            break;
    }
    return false;
}

void DispatchSystem::openToBest(SessionId id, std::span<const ServerId> candidates, bool lastResort)
{
    if (!this->world.options.adaptivePacing || candidates.empty())
        return;
    // While other servers have free links, nothing else opens one to a server that has lost all of its links. Beyond a
    // trial, links of other organisations are not given up for this.
    const ServerId best = candidates.front();
    const ServerRow &row = this->world.servers.at(best);
    if (!this->pace.isTrialDue(best) && row.links.size() >= this->links.linkLimit(row))
        return;
    if (!this->links.findFree(best, id).isValid() && this->pace.mayStart(this->world.sessions.at(id), best, lastResort))
        this->links.ensureOpening(best, LinkPurpose::Work, this->linkOrganisation(id, best));
}

std::string_view DispatchSystem::linkOrganisation(SessionId id, ServerId server) const
{
    // Links to members carry the work of all organisations.
    return this->world.servers.at(server).isMember ? std::string_view()
                                                   : this->world.sessions.at(id).organisationName();
}

bool DispatchSystem::relay(SessionId id)
{
    const std::vector<ServerId> members = this->chooser.relayCandidates(this->world.sessions.at(id));
    return std::any_of(members.begin(), members.end(),
                       [&](ServerId member) { return this->sendTo(id, member, std::nullopt, false); });
}

bool DispatchSystem::sendTo(SessionId id, ServerId server, std::optional<LogPosition> requiredPosition, bool lastResort)
{
    // The choice of a new primary must not wait behind work.
    if (this->world.now < this->world.servers.at(server).reservedUntil)
        return false;
    if (!this->pace.mayStart(this->world.sessions.at(id), server, lastResort))
        return false;
    const LinkId linkId = this->links.findFree(server, id);
    if (!linkId.isValid()) {
        this->links.ensureOpening(server, LinkPurpose::Work, this->linkOrganisation(id, server));
        return false;
    }

    // The link is reserved for the session until its statement or transaction has ended.
    SessionRow &session = this->world.sessions.at(id);
    PendingWork &work = *session.work;
    LinkRow &link = this->world.links.at(linkId);
    if (link.usedAt.count() == 0 && !this->world.servers.at(server).isMember)
        this->world.counters.add("jujubekeel_pool_new_link_waits_total");
    link.user = id;
    link.leadershipGeneration = this->world.services.at(this->serviceOf(session)).leadershipGeneration;
    work.attempts += 1;
    work.requiredPosition = requiredPosition;
    this->world.servers.at(server).running += 1;
    this->pace.started(linkId);
    if (!session.transaction) {
        this->sendStatement(id, linkId, requiredPosition);
        return true;
    }
    session.transaction->link = linkId;
    session.transaction->needsLeadership = !requiredPosition && !this->world.servers.at(server).isMember;
    this->prepareLink(session, linkId);
    this->links.send(
        linkId, ExchangeKind::Begin,
        ServerCommand{.kind = session.transaction->readOnly ? CommandKind::BeginReadOnly : CommandKind::Begin,
                      .after = requiredPosition});
    work.beginSent = true;
    link.inTransaction = true;
    this->links.setDeadline(linkId, this->world.now + session.route->statementTimeout);
    return true;
}

void DispatchSystem::prepareLink(SessionRow &session, LinkId linkId)
{
    LinkRow &link = this->world.links.at(linkId);
    if (this->world.servers.at(link.server).isMember && !link.inTransaction)
        this->sendRelayedRoute(session, linkId);
    const bool otherValues = std::any_of(link.values.begin(), link.values.end(),
                                         [&](const auto &value) { return !session.values.contains(value.first); });
    // Nothing else removes statements that no session uses any more.
    const bool tooManyPrepared = link.prepared.textBytes() > this->world.options.preparedBytes && !link.inTransaction;
    if (otherValues || tooManyPrepared) {
        assert(!link.inTransaction);
        this->links.send(linkId, ExchangeKind::Setup, ServerCommand{.kind = CommandKind::ResetSession});
        link.values.clear();
        link.prepared.clear();
    }
    for (const auto &[name, value] : session.values) {
        const auto present = link.values.find(name);
        if (present != link.values.end() && present->second == value)
            continue;
        this->links.send(linkId, ExchangeKind::Setup,
                         ServerCommand{.kind = CommandKind::SetValue, .name = name, .argument = value});
        link.values.insert_or_assign(name, value);
    }
}

void DispatchSystem::sendRelayedRoute(const SessionRow &session, LinkId linkId)
{
    LinkRow &link = this->world.links.at(linkId);
    if (link.relayedRoute == session.route && link.relayedMark == session.mark
        && link.relayedOrganisation == session.organisationName())
        return;
    this->world.counters.add("jujubekeel_pool_routes_announced_total");
    link.relayedRoute = session.route;
    link.relayedMark = session.mark;
    link.relayedOrganisation = session.organisationName();
    RelayedRoute relayed{.route = *session.route, .organisation = link.relayedOrganisation};
    // The organisation was checked against the newest tables, while the route may be shared by several versions.
    relayed.route.version = std::max(this->world.routes ? this->world.routes->version() : 0,
                                     this->world.organisations ? this->world.organisations->version() : 0);
    if (session.mark != LogPosition{})
        relayed.mark = session.mark;
    this->links.send(linkId, ExchangeKind::Setup,
                     ServerCommand{.kind = CommandKind::UseRoute, .argument = relayed.toText()});
}

void DispatchSystem::sendStatement(SessionId id, LinkId linkId, std::optional<LogPosition> requiredPosition)
{
    SessionRow &session = this->world.sessions.at(id);
    PendingWork &work = *session.work;
    LinkRow &link = this->world.links.at(linkId);
    this->prepareLink(session, linkId);

    ServerCommand command{.kind = CommandKind::Forward, .id = work.statement.id, .after = requiredPosition};
    if (work.statement.kind == StatementKind::Execute) {
        const PreparedStatement &prepared = session.prepared.find(work.statement.name)->second;
        command.kind = CommandKind::Execute;
        command.name = link.prepared.find(prepared);
        if (command.name.empty()) {
            command.name = link.prepared.add(prepared);
            this->links.send(
                linkId, ExchangeKind::Prepare,
                ServerCommand{.kind = prepared.writes ? CommandKind::PrepareWrite : CommandKind::PrepareRead,
                              .name = command.name,
                              .argument = prepared.text});
        }
        command.argument = work.statement.argument;
    } else {
        command.argument = work.statement.text;
    }
    this->links.send(linkId, ExchangeKind::Statement, std::move(command));
    this->pace.started(linkId);
    work.sent = true;
    work.sentAt = this->world.now;
    work.server = this->world.servers.at(link.server).entry.id;
    if (session.transaction && work.statement.kind != StatementKind::Commit && work.writes)
        session.transaction->wrote = true;

    this->links.setDeadline(linkId, this->answerDeadline(session, this->world.servers.at(link.server)));
}

TimePoint DispatchSystem::answerDeadline(const SessionRow &session, const ServerRow &server) const
{
    const PendingWork &work = *session.work;
    const PoolOptions &options = this->world.options;
    const Duration timeout = session.route->statementTimeout;
    const bool repeatable = !session.transaction && !work.writes && work.attempts == 1;
    if (server.isMember) {
        // The member may queue the work before it runs it, so that wait is added.
        const Duration wait = work.needsPrimary ? options.primaryWait : options.queueWait;
        return this->world.now + wait + (repeatable ? timeout / 2 : timeout);
    }
    const TimePoint deadline = std::max(work.arrivedAt, this->world.now - timeout / 2) + timeout;
    // The first attempt of a read outside a transaction gets a shorter deadline, as it can be repeated elsewhere.
    if (!repeatable)
        return deadline;
    return std::min(deadline, this->world.now + std::max(slowReadMin, server.responseTime * slowReadFactor));
}

void DispatchSystem::requeue(SessionId id, std::optional<OutcomeError> error)
{
    SessionRow &session = this->world.sessions.at(id);
    PendingWork &work = *session.work;
    work.lastError = std::move(error);
    work.withheld.reset();
    if (!session.mayRun()) {
        this->finishWithError(id, OutcomeCode::Denied, "the key or the organisation was withdrawn",
                              SessionState::Failed);
        return;
    }
    if (work.attempts >= attemptLimit + this->world.memberById.size()) {
        this->finishWithError(id, OutcomeCode::Busy,
                              work.lastError ? work.lastError->text : "no backend server could run the statement",
                              SessionState::Failed);
        return;
    }
    // If every server has refused the work, all of them are tried again after a delay.
    const ServiceId serviceId = this->serviceOf(session);
    const auto serverCount = [&] { return this->world.services.at(serviceId).servers.size(); };
    const bool allRefused = this->isRelayed(session, serviceId)
                                ? work.excluded.size() >= this->world.memberById.size()
                                : work.needsPrimary || !serviceId.isValid() || work.excluded.size() >= serverCount();
    if (allRefused) {
        work.excluded.clear();
        this->enqueue(id);
        if (serviceId.isValid())
            this->world.timers.add(this->world.now + refusedRetryDelay, TimerKind::ServiceCheck, serviceId.packed());
        return;
    }
    if (!this->trySend(id))
        this->enqueue(id);
}

void DispatchSystem::detach(LinkId linkId)
{
    LinkRow &link = this->world.links.at(linkId);
    if (link.user.isValid()) {
        this->world.servers.at(link.server).running -= 1;
        link.usedAt = this->world.now;
    }
    link.user = SessionId{};
}

void DispatchSystem::releaseLink(LinkId linkId)
{
    this->detach(linkId);
    const ServerRow &server = this->world.servers.at(this->world.links.at(linkId).server);
    const ServiceId service = server.service;
    if (!this->links.mayConnect(server) && this->world.links.at(linkId).isFree())
        this->links.close(linkId, LinkEnd::Closed);
    this->dispatchQueued(service);
}

void DispatchSystem::sendRollback(LinkId linkId)
{
    this->detach(linkId);
    this->links.send(linkId, ExchangeKind::Rollback, ServerCommand{.kind = CommandKind::Rollback});
    this->links.setDeadline(linkId, this->world.now + commandTimeout);
}

void DispatchSystem::dispatchQueued(ServiceId serviceId)
{
    if (serviceId != this->world.relayService) {
        this->dispatchQueue(serviceId);
        return;
    }
    // Members run the work of all services.
    std::vector<ServiceId> waiting;
    this->world.services.forEach([&](ServiceId id, const ServiceRow &service) {
        if (!service.queue.empty())
            waiting.push_back(id);
    });
    for (const ServiceId id : waiting)
        this->dispatchQueue(id);
}

void DispatchSystem::dispatchUnassigned()
{
    if (this->world.isRelaying()) {
        this->dispatchQueued(this->world.relayService);
        return;
    }
    const std::vector<SessionId> waiting = this->world.services.at(this->world.relayService).queue.takeAll();
    for (const SessionId id : waiting) {
        this->world.sessions.at(id).work->queue = ServiceId{};
        this->submit(id);
    }
}

void DispatchSystem::dispatchQueue(ServiceId serviceId)
{
    std::unordered_map<const Organisation *, UnservedKinds> unserved; ///< by organisation
    for (const SessionId id : this->world.services.at(serviceId).queue.inOrder()) {
        const SessionRow &session = this->world.sessions.at(id);
        UnservedKinds *kinds = this->world.usesOrganisations() ? &unserved[session.organisation.get()] : nullptr;
        if (kinds != nullptr && this->isUnserved(*kinds, session))
            continue;
        if (!this->trySend(id)) {
            if (kinds != nullptr)
                this->addUnserved(*kinds, session);
            continue;
        }
        ServiceRow &service = this->world.services.at(serviceId);
        service.queue.take(id);
        this->world.sessions.at(id).work->queue = ServiceId{};
        if (service.dequeues > 0)
            service.dequeueInterval += (this->world.now - service.dequeuedAt - service.dequeueInterval)
                                       / std::min<std::int64_t>(service.dequeues, dequeueSamples);
        service.dequeuedAt = this->world.now;
        service.dequeues += 1;
    }
    ServiceRow &service = this->world.services.at(serviceId);
    if (service.queue.empty())
        service.dequeues = 0;
}

bool DispatchSystem::isUnserved(const UnservedKinds &kinds, const SessionRow &session) const
{
    const ServiceId service = this->serviceOf(session);
    if (!service.isValid())
        return false;
    if (this->isRelayed(session, service))
        return kinds.relayed;
    if (session.work->needsPrimary)
        return kinds.primary;
    const auto required = this->chooser.requiredPosition(session, service);
    return required ? kinds.lowestPosition && *required >= *kinds.lowestPosition : kinds.withoutPosition;
}

void DispatchSystem::addUnserved(UnservedKinds &kinds, const SessionRow &session) const
{
    const ServiceId service = this->serviceOf(session);
    if (!service.isValid())
        return;
    // Work that some servers have refused says nothing about these servers.
    const bool isRefused = !session.work->excluded.empty();
    if (this->isRelayed(session, service)) {
        kinds.relayed = kinds.relayed || !isRefused;
    } else if (service != this->world.relayService && session.work->needsPrimary) {
        kinds.primary = true;
    } else if (service != this->world.relayService && !isRefused) {
        const auto required = this->chooser.requiredPosition(session, service);
        if (required)
            kinds.lowestPosition = std::min(kinds.lowestPosition.value_or(*required), *required);
        else
            kinds.withoutPosition = true;
    }
}

bool DispatchSystem::requestPosition(ServiceId serviceId)
{
    ServiceRow &service = this->world.services.at(serviceId);
    if (service.positionRequestedAt.count() != 0)
        return true;
    if (!this->chooser.primaryUsable(serviceId))
        return false;
    const LinkId linkId = this->links.findFree(service.primary, SessionId{});
    if (!linkId.isValid()) {
        this->links.ensureOpening(service.primary);
        return false;
    }
    // ResetSession needs no slot, and its response carries the log position.
    LinkRow &link = this->world.links.at(linkId);
    link.leadershipGeneration = service.leadershipGeneration;
    link.values.clear();
    link.prepared.clear();
    this->links.send(linkId, ExchangeKind::Position, ServerCommand{.kind = CommandKind::ResetSession});
    this->links.setDeadline(linkId, this->world.now + commandTimeout);
    service.positionRequestedAt = this->world.now;
    return true;
}

void DispatchSystem::probePrimary(ServiceId serviceId)
{
    const ServiceRow &service = this->world.services.at(serviceId);
    if (!this->requestPosition(serviceId) && this->world.servers.contains(service.primary))
        this->links.ensureOpening(service.primary, LinkPurpose::Control);
}

void DispatchSystem::checkWait(SessionId id)
{
    SessionRow *session = this->world.sessions.find(id);
    if (session == nullptr || !session->work)
        return;
    PendingWork &work = *session->work;
    if (!work.isQueued() || this->world.now < work.deadline)
        return;

    // Work for an unavailable primary waits longer, since the primary may be replaced in time.
    const ServiceId serviceId = this->serviceOf(*session);
    const TimePoint extendedDeadline = work.arrivedAt + this->world.options.primaryWait;
    if (work.needsPrimary && serviceId.isValid() && !this->world.isRelaying() && this->world.now < extendedDeadline) {
        const ServiceRow &service = this->world.services.at(serviceId);
        const bool unavailable =
            !this->chooser.primaryUsable(serviceId) || this->world.servers.at(service.primary).links.empty();
        if (unavailable) {
            work.deadline = extendedDeadline;
            this->world.timers.add(extendedDeadline, TimerKind::WorkDeadline, id.packed());
            return;
        }
    }
    this->removeFromQueue(id);
    const OutcomeError error =
        work.lastError.value_or(OutcomeError{.code = OutcomeCode::Busy, .text = "no connection became free in time"});
    this->finishWithError(id, OutcomeCode::Busy, error.text, SessionState::Failed);
}

void DispatchSystem::denyQueued(SessionId id, std::string reason)
{
    this->removeFromQueue(id);
    this->finishWithError(id, OutcomeCode::Denied, std::move(reason), SessionState::Failed);
}

void DispatchSystem::refuseQueued()
{
    std::vector<SessionId> waiting;
    this->world.services.forEach([&](ServiceId, ServiceRow &service) {
        const std::vector<SessionId> ofService = service.queue.takeAll();
        waiting.insert(waiting.end(), ofService.begin(), ofService.end());
    });
    for (const SessionId id : waiting) {
        this->world.sessions.at(id).work->queue = ServiceId{};
        this->finishWithError(id, OutcomeCode::Busy, "the instance is stopping", SessionState::Failed);
    }
}

void DispatchSystem::rollBack(SessionId id)
{
    SessionRow &session = this->world.sessions.at(id);
    if (!session.transaction || !session.transaction->link.isValid())
        return;
    const LinkId link = session.transaction->link;
    session.transaction->link = LinkId{};
    this->sendRollback(link);
}

void DispatchSystem::abandon(SessionId id)
{
    SessionRow &session = this->world.sessions.at(id);
    this->removeFromQueue(id);
    const bool answerOutstanding = session.work && !session.work->withheld;
    session.work.reset();
    // If a response is outstanding, ResultSystem rolls back when it arrives after the session has been removed.
    if (session.transaction && session.transaction->link.isValid() && !answerOutstanding)
        this->rollBack(id);
}

void DispatchSystem::finishWithError(SessionId id, OutcomeCode code, std::string text, SessionState state)
{
    const SessionRow &session = this->world.sessions.at(id);
    // Outside a transaction a session always returns to Idle.
    const bool ends = !session.transaction || endsTransaction(session.work->statement.kind);
    this->finish(id, CallerReply{.rows = {},
                                 .digest = {},
                                 .error = OutcomeError{.code = code, .text = std::move(text)},
                                 .state = ends ? SessionState::Idle : state,
                                 .position = std::nullopt});
}

} // namespace Jujubekeel
