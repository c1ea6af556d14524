#include "pool/poolcore.h"

#include "catalog/tabledigest.h"

#include <utility>

namespace Jujubekeel {

namespace {

/// Between two checks of the sessions during a planned stop.
constexpr Duration stopCheckInterval = std::chrono::milliseconds(50);

} // namespace

PoolCore::PoolCore(PoolOptions options, LeadershipOptions leadershipOptions)
    : links(this->world),
      dispatch(this->world, this->links,
               [this](SessionId session, CallerReply reply) { this->sessions.finished(session, std::move(reply)); }),
      results(this->world, this->links, this->dispatch), feedPublisher(this->world, this->registration),
      rateLimits(
          this->world, this->links,
          [this](SessionId session, const RateDecision &decision) { this->sessions.rateDecided(session, decision); }),
      replies(this->world, this->dispatch, this->rateLimits),
      organisationSystem(this->world, this->dispatch, this->replies),
      admission(this->world, this->dispatch, this->rateLimits, this->organisationSystem, this->replies),
      sessions(this->world, this->dispatch, this->feedPublisher, this->rateLimits, this->replies,
               this->organisationSystem, this->admission),
      directory(this->world, this->links, this->dispatch, this->results), registration(this->world, leadershipOptions),
      leadership(this->world, this->dispatch, this->results, this->registration, leadershipOptions),
      group(this->world, this->registration, this->leadership, leadershipOptions),
      replacement(this->world, this->links, this->leadership, this->registration, this->group, leadershipOptions),
      recovery(this->world, this->registration, leadershipOptions), relay(this->world, this->links, this->results),
      feedSubscriber(
          this->world, this->links, this->dispatch, this->registration, this->memberView,
          {.routes = [this](std::shared_ptr<const RouteTable> routes) { this->applyRoutes(std::move(routes)); },
           .organisations =
               [this](const std::shared_ptr<const OrganisationTable> &organisations) {
                   this->applyOrganisations(organisations);
                   this->organisationSystem.organisationsChanged();
                   this->feedPublisher.publish();
               },
           .fleet = [this](const FleetUpdate &update) { this->membersReported(update); },
           .members = [this](const FleetUpdate &update) { this->memberView.reported(update, this->world.now); },
           .confirmed =
               [this](TimePoint verifiedAt) {
                   this->memberView.confirmed(verifiedAt);
                   this->rateLimits.membersChanged(this->memberView);
               }})
{
    this->world.options = std::move(options);
}

void PoolCore::start(TimePoint now, std::uint64_t incarnation)
{
    this->world.now = now;
    this->world.startedAt = now;
    this->world.timers.add(now + this->world.options.feedFallback, TimerKind::Feed);
    this->relay.start();
    this->rateLimits.start(incarnation);
    this->registration.start(incarnation);
    this->leadership.start();
}

SessionId PoolCore::callerConnected(TimePoint now)
{
    this->world.now = now;
    this->world.counters.add("jujubekeel_pool_sessions_total");
    return this->world.sessions.insert(SessionRow{});
}

void PoolCore::callerOpenedSession(TimePoint now, SessionId session, const std::string &database,
                                   const std::optional<KeyDigest> &key)
{
    this->world.now = now;
    if (this->world.sessions.contains(session))
        this->sessions.open(session, database, key);
}

void PoolCore::relayOpenedSession(TimePoint now, SessionId session, const std::string &expected)
{
    this->world.now = now;
    if (this->world.sessions.contains(session))
        this->sessions.openRelayed(session, expected);
}

void PoolCore::statementReceived(TimePoint now, SessionId session, Statement statement)
{
    this->world.now = now;
    if (this->world.sessions.contains(session))
        this->sessions.run(session, std::move(statement));
}

void PoolCore::callerUnread(TimePoint now, SessionId session, bool unread)
{
    this->world.now = now;
    if (this->world.sessions.contains(session))
        this->sessions.setRepliesUnread(session, unread);
}

void PoolCore::callerDisconnected(TimePoint now, SessionId session)
{
    this->world.now = now;
    this->replies.end(session);
}

void PoolCore::linkConnected(TimePoint now, LinkId link)
{
    this->world.now = now;
    if (LinkRow *row = this->world.links.find(link))
        row->connected = true;
}

void PoolCore::linkMessageReceived(TimePoint now, LinkId link, ServerMessage message)
{
    this->world.now = now;
    if (!this->world.links.contains(link))
        return;
    bool broken = false;
    auto completed = this->links.receive(link, std::move(message), broken);
    if (broken) {
        this->results.linkLost(link, LinkEnd::Broken);
        return;
    }
    if (!completed)
        return;
    if (completed->exchange.kind == ExchangeKind::Status)
        this->replacement.statusReceived(this->world.links.at(link).server, completed->exchange.status);
    if (completed->exchange.kind == ExchangeKind::Subscribe) {
        this->feedSubscriber.received(link, *completed);
        // A member that no longer answers may leave a vacancy, which no report shows.
        this->updateRole();
        return;
    }
    if (completed->exchange.kind == ExchangeKind::Allowance) {
        this->rateLimits.answerReceived(link, *completed);
        return;
    }
    if (completed->exchange.kind != ExchangeKind::Open) {
        this->results.exchangeCompleted(link, std::move(*completed));
        return;
    }
    if (completed->exchange.error) {
        this->results.linkLost(link, LinkEnd::Rejected);
        this->rateLimits.linkEnded();
        return;
    }
    this->links.greeted(link);
    if (this->world.links.at(link).forRequests)
        return;
    this->dispatch.releaseLink(link);
    this->feedSubscriber.advance();
}

void PoolCore::linkDisconnected(TimePoint now, LinkId link, LinkEnd end)
{
    this->world.now = now;
    if (this->world.links.contains(link))
        this->results.linkLost(link, end);
    this->rateLimits.linkEnded();
    this->feedSubscriber.advance();
}

void PoolCore::routesReceived(TimePoint now, std::shared_ptr<const RouteTable> routes)
{
    this->world.now = now;
    this->applyRoutes(std::move(routes));
}

void PoolCore::applyRoutes(std::shared_ptr<const RouteTable> routes)
{
    const std::uint64_t current = this->world.routes ? this->world.routes->version() : 0;
    if (routes->version() <= current)
        return;
    if (this->world.routes) {
        // Links on which a route was announced are not told it again unless it has changed.
        auto shared = std::make_shared<RouteTable>(*routes);
        shared->shareRoutesOf(*this->world.routes);
        routes = std::move(shared);
    }
    this->world.routes = std::move(routes);
    this->world.routesDigest = digestOf(*this->world.routes);
    this->world.log(LogLevel::Info, "configuration-in-force",
                    {{"version", std::to_string(this->world.routes->version())},
                     {"earlier", std::to_string(current)},
                     {"routes", std::to_string(this->world.routes->size())}});
    auto organisations = this->world.routes->organisations();
    // Callers that needed a key must not be served without one because the list was lost.
    if (!organisations && this->world.usesOrganisations())
        organisations = std::make_shared<const OrganisationTable>(this->world.routes->version());
    this->applyOrganisations(organisations);
    this->organisationSystem.organisationsChanged();
    this->directory.servicesChanged();
    this->group.update();
    this->sessions.routesReceived();
    if (current == 0 && this->world.usesOrganisations())
        this->world.timers.add(this->world.now + this->world.options.confirmationWait, TimerKind::Feed);
    this->updateRole();
    this->feedPublisher.publish();
}

void PoolCore::checkConfirmation()
{
    if (this->world.configurationConfirmed || !this->world.routes)
        return;
    if (this->routesSince.count() == 0)
        this->routesSince = this->world.now;
    const bool waited = this->world.now - this->routesSince >= this->world.options.confirmationWait;
    const bool isAlone = this->registration.fleet().revision() != 0 && this->world.memberById.empty();
    if (!waited && !isAlone && !this->feedSubscriber.hasReport())
        return;
    this->world.configurationConfirmed = true;
    this->sessions.routesReceived();
}

void PoolCore::applyOrganisations(const std::shared_ptr<const OrganisationTable> &organisations)
{
    const std::uint64_t current = this->world.organisations ? this->world.organisations->version() : 0;
    if (!organisations || organisations->version() <= current)
        return;
    this->world.organisations = organisations;
    this->world.organisationsDigest = digestOf(*organisations);
    this->world.log(LogLevel::Info, "organisations-in-force",
                    {{"version", std::to_string(organisations->version())},
                     {"earlier", std::to_string(current)},
                     {"organisations", std::to_string(organisations->size())},
                     {"keys", std::to_string(organisations->allKeys().size())},
                     {"ambiguousKeys", std::to_string(organisations->ambiguousKeys())}});
    this->rateLimits.organisationsChanged();
    this->rateLimits.membersChanged(this->memberView);
}

void PoolCore::entryChanged(TimePoint now, const ServerEntry &entry)
{
    this->world.now = now;
    this->directory.entryChanged(entry);
    this->serversChanged();
}

void PoolCore::entryRemoved(TimePoint now, std::string_view id)
{
    this->world.now = now;
    this->directory.entryRemoved(id);
    this->serversChanged();
}

void PoolCore::entriesListed(TimePoint now, const std::vector<ServerEntry> &entries)
{
    this->world.now = now;
    this->directory.entriesListed(entries);
    this->registration.serversListed();
    this->serversChanged();
    this->updateRole();
}

void PoolCore::serversChanged()
{
    this->leadership.serversChanged();
    this->group.update();
}

void PoolCore::fleetUpdated(TimePoint now, const FleetUpdate &update)
{
    this->world.now = now;
    const std::uint64_t era = this->registration.fleet().version().era;
    this->registration.fleetUpdated(update);
    this->memberView.read(update, now);
    if (this->registration.fleet().version().era != era)
        this->eraChanged();
    this->leadership.fleetUpdated();
    this->group.update();
    this->fleetChanged();
    this->links.closeSurplus();
    this->replacement.advance();
    this->feedPublisher.publish();
}

void PoolCore::loadsReported(TimePoint now, const std::string &member, LoadReports::InFlight inFlight)
{
    this->world.now = now;
    this->world.loadReports.received(member, std::move(inFlight), now);
}

void PoolCore::eraChanged()
{
    this->replacement.eraChanged();
    this->recovery.eraChanged();
    this->group.eraChanged();
}

void PoolCore::membersReported(const FleetUpdate &update)
{
    this->registration.membersReported(update);
    this->registration.publish();
    this->fleetChanged();
}

void PoolCore::fleetChanged()
{
    this->relay.update(this->registration.fleet());
    this->rateLimits.membersChanged(this->memberView);
    // Entries that are no longer followed may name servers that have left, so they have to be listed again before use.
    if (this->world.isRelaying() && !this->registration.awaitsVerification())
        this->world.serversListed = false;
    this->feedSubscriber.advance();
    this->checkConfirmation();
    this->dispatch.dispatchUnassigned();
}

void PoolCore::writeFinished(TimePoint now, const WriteOutcome &outcome)
{
    this->world.now = now;
    if (!this->registration.writeFinished(outcome) && !this->recovery.writeFinished(outcome)
        && !this->group.writeFinished(outcome))
        this->replacement.writeFinished(outcome);
    this->fleetChanged();
}

void PoolCore::promotionFinished(TimePoint now, const PromotionOutcome &outcome)
{
    this->world.now = now;
    this->replacement.promotionFinished(outcome);
}

void PoolCore::tick(TimePoint now)
{
    this->world.now = now;
    this->rateLimits.checkSuspension();
    while (const auto entry = this->world.timers.take(now))
        this->handleTimer(*entry);
}

void PoolCore::handleTimer(const TimerQueue::Entry &entry)
{
    switch (entry.kind) {
    case TimerKind::WorkDeadline:
        this->results.checkWithheld(SessionId::fromPacked(entry.subject));
        this->dispatch.checkWait(SessionId::fromPacked(entry.subject));
        return;
    case TimerKind::SessionOpening:
        this->sessions.checkOpening(SessionId::fromPacked(entry.subject));
        return;
    case TimerKind::WithdrawnKey:
        this->organisationSystem.checkWithdrawn(SessionId::fromPacked(entry.subject));
        return;
    case TimerKind::TransactionIdle:
        this->sessions.checkIdleTransaction(SessionId::fromPacked(entry.subject));
        return;
    case TimerKind::LinkDeadline: {
        const LinkId link = LinkId::fromPacked(entry.subject);
        const LinkRow *row = this->world.links.find(link);
        if (row != nullptr && row->deadline.count() != 0 && this->world.now >= row->deadline)
            this->results.linkLost(link, LinkEnd::Silent);
        this->rateLimits.linkEnded();
        this->feedSubscriber.advance();
        return;
    }
    case TimerKind::ServerRetry: {
        const ServerId server = ServerId::fromPacked(entry.subject);
        if (!this->world.servers.contains(server))
            return;
        const ServerRow &row = this->world.servers.at(server);
        if (row.links.empty() || row.lastAnswerAt < row.connectionLostAt)
            this->links.ensureOpening(server);
        this->dispatch.dispatchQueued(this->world.servers.at(server).service);
        this->feedSubscriber.advance();
        return;
    }
    case TimerKind::ServerMissing:
        this->directory.checkMissing(ServerId::fromPacked(entry.subject));
        this->serversChanged();
        return;
    case TimerKind::Leadership:
        this->leadership.check();
        this->replacement.check();
        this->recovery.check();
        this->group.check();
        return;
    case TimerKind::Vacancy:
        this->updateRole();
        return;
    case TimerKind::Replacement:
        this->replacement.advance();
        return;
    case TimerKind::ServiceCheck:
        this->dispatch.dispatchQueued(ServiceId::fromPacked(entry.subject));
        return;
    case TimerKind::Feed:
        this->feedPublisher.publish();
        this->feedSubscriber.advance();
        this->checkConfirmation();
        return;
    case TimerKind::RateLimit:
        this->rateLimits.checkTimeouts();
        return;
    case TimerKind::Stop:
        this->handleStop();
        return;
    }
}

void PoolCore::updateRole()
{
    this->registration.publish();
    this->fleetChanged();
}

void PoolCore::handleStop()
{
    const Duration sinceRequest = this->world.now - this->world.stopRequestedAt;
    this->sessions.closeIdle(sinceRequest >= this->world.options.stopTransactionsAfter);
    if (sinceRequest >= this->world.options.stopNewWorkAfter)
        this->dispatch.refuseQueued();
    if (sinceRequest >= this->world.options.stopLimit - stopCheckInterval)
        this->results.settleAll();
    if (this->world.sessions.size() == 0)
        this->registration.unregister();
    this->world.timers.add(this->world.now + stopCheckInterval, TimerKind::Stop);
}

void PoolCore::requestStop(TimePoint now)
{
    this->world.now = now;
    if (this->world.stopping)
        return;
    this->world.stopping = true;
    this->world.stopRequestedAt = now;
    this->world.log(LogLevel::Info, "stop-requested", {{"sessions", std::to_string(this->world.sessions.size())}});
    this->registration.announceLeave();
    this->world.timers.add(now + this->world.options.stopDrainDelay, TimerKind::Stop);
}

WatchPlan PoolCore::watchPlan() const
{
    const bool awaitsVerification = this->registration.awaitsVerification();
    const bool joins = this->registration.isRegistered() || awaitsVerification;
    if (joins || this->world.role == FleetRole::Member)
        return WatchPlan{.fleet = awaitsVerification                ? FleetWatchMode::Initial
                                  : this->replacement.isReplacing() ? FleetWatchMode::Replacing
                                                                    : FleetWatchMode::Continuous,
                         .servers = true};
    // The role is usually decided within a second, and a configuration that was just read need not be followed until
    // then.
    const bool decides = this->world.role == FleetRole::Undecided && this->world.routes != nullptr
                         && this->world.now - this->world.startedAt < this->world.options.feedFallback;
    const bool reported = decides || this->feedSubscriber.isCurrent();
    WatchPlan plan{.routes = !reported || this->feedSubscriber.isRouteTableMissing()};
    if (this->registration.isVacancyDue())
        plan.fleet = FleetWatchMode::Initial;
    else if ((reported && this->world.isRelaying()) || this->registration.awaitsVacancy())
        plan.fleet = FleetWatchMode::Suspended;
    return plan;
}

bool PoolCore::isStopped() const
{
    if (!this->world.stopping)
        return false;
    const Duration sinceRequest = this->world.now - this->world.stopRequestedAt;
    return sinceRequest >= this->world.options.stopLimit
           || (sinceRequest >= this->world.options.stopDrainDelay && this->world.sessions.size() == 0
               && this->registration.isUnregistered());
}

bool PoolCore::acceptsCallers() const
{
    return !this->world.stopping
           || this->world.now - this->world.stopRequestedAt < this->world.options.stopNewWorkAfter;
}

bool PoolCore::isReady() const
{
    return !this->world.stopping && this->world.routes != nullptr && this->world.servers.size() > 0;
}

PoolActions PoolCore::takeActions()
{
    PoolActions taken;
    taken.swap(this->world.actions);
    return taken;
}

} // namespace Jujubekeel
