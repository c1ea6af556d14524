#include "pool/feedsubscriber.h"

#include "leadership/memberview.h"
#include "leadership/registrationsystem.h"
#include "pool/dispatchsystem.h"
#include "pool/feedrequest.h"
#include "pool/feedupdate.h"
#include "pool/poolworld.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace Jujubekeel {

FeedSubscriber::FeedSubscriber(PoolWorld &poolWorld, LinkSystem &linkSystem, DispatchSystem &dispatchSystem,
                               const RegistrationSystem &registrationSystem, const MemberView &knownMembers,
                               Callbacks feedCallbacks)
    : world(poolWorld), links(linkSystem), dispatch(dispatchSystem), registration(registrationSystem),
      members(knownMembers), callbacks(std::move(feedCallbacks))
{
}

bool FeedSubscriber::wantsReports() const
{
    return this->world.usesOrganisations() || this->replacesFleetView();
}

bool FeedSubscriber::replacesFleetView() const
{
    return this->world.isRelaying() && !this->registration.isRegistered();
}

void FeedSubscriber::advance()
{
    if (this->applying)
        return;
    const LinkRow *open = this->world.links.find(this->link);
    if (!this->wantsReports()) {
        if (open != nullptr)
            this->links.close(this->link, LinkEnd::Closed);
        this->link = LinkId{};
        this->relayingSince = TimePoint{0};
        this->verifiedAt = TimePoint{0};
        return;
    }
    if (this->relayingSince.count() == 0) {
        this->relayingSince = this->world.now;
        this->world.timers.add(this->world.now + this->fallbackAfter(), TimerKind::Feed);
    }
    if (open != nullptr && !this->world.servers.at(open->server).entry.draining)
        return;
    if (open != nullptr) {
        // The member is stopping; the next answer would not come.
        if (!this->chooseSource().isValid())
            return;
        this->links.close(this->link, LinkEnd::Closed);
    } else if (this->link.isValid()) {
        this->leaveSource("the connection was lost");
    }
    this->link = LinkId{};

    const ServerId member = this->chooseSource();
    if (!member.isValid())
        return;
    const LinkId freeLink = this->links.findFree(member, SessionId{});
    if (freeLink.isValid())
        this->sendRequest(freeLink);
    else
        this->links.ensureOpening(member);
}

ServerId FeedSubscriber::chooseSource() const
{
    const PoolOptions &options = this->world.options;
    // Work in the own domain and region costs least; the hash spreads the instances over their members.
    std::optional<std::tuple<bool, int, std::size_t, ServerId>> best;
    for (const auto &[instance, id] : this->world.memberById) {
        const ServerRow &row = this->world.servers.at(id);
        const auto paused = this->pausedUntil.find(instance);
        const bool isPaused = paused != this->pausedUntil.end() && this->world.now < paused->second;
        const bool unreachable = row.unreachableSince.count() != 0 && this->world.now < row.retryAt;
        if (row.entry.draining || isPaused || unreachable)
            continue;
        const auto region = options.regionOf.find(row.entry.failureDomain);
        const bool sameRegion = region != options.regionOf.end() && region->second == options.region;
        const int distance = row.entry.failureDomain == options.failureDomain ? 0 : sameRegion ? 1 : 2;
        const std::tuple candidate(row.silence(this->world.now) > options.relaySilence, distance,
                                   std::hash<std::string>{}(options.instance + instance), id);
        if (!best || candidate < *best)
            best = candidate;
    }
    return best ? std::get<ServerId>(*best) : ServerId{};
}

void FeedSubscriber::sendRequest(LinkId freeLink)
{
    this->link = freeLink;
    this->source = this->world.servers.at(this->world.links.at(freeLink).server).entry.id;
    const FleetView &view = this->replacesFleetView() ? this->registration.fleet() : this->members.fleet();
    const bool wantsDifferences = this->world.options.feedDifferences && !this->wantsWholeTables;
    const FeedRequest request{.routeVersion = this->world.routes ? this->world.routes->version() : 0,
                              .organisationVersion =
                                  this->world.organisations ? this->world.organisations->version() : 0,
                              .announcedVersion = this->announcedVersion,
                              .routeDigest = wantsDifferences ? this->world.routesDigest : 0,
                              .organisationDigest = wantsDifferences ? this->world.organisationsDigest : 0,
                              .acceptsCompressed = wantsDifferences,
                              .wantsMembers = true,
                              .memberRevision = view.memberVersion().revision,
                              .memberEra = view.memberVersion().era,
                              .memberDigest = view.memberDigest()};
    this->links.send(freeLink, ExchangeKind::Subscribe,
                     ServerCommand{.kind = CommandKind::Subscribe, .argument = request.toText()});
    const PoolOptions &options = this->world.options;
    this->links.setDeadline(freeLink, this->world.now + options.feedHold + options.feedAnswerTimeout);
}

void FeedSubscriber::received(LinkId answered, const CompletedExchange &completed)
{
    this->link = LinkId{};
    const Exchange &exchange = completed.exchange;
    const auto update = exchange.rows.size() == 1 ? FeedUpdate::fromText(exchange.rows.front()) : std::nullopt;
    // The link is free before the callbacks, which may remove the member.
    this->dispatch.releaseLink(answered);
    if (exchange.error || !update) {
        this->wantsWholeTables = this->wantsWholeTables || !exchange.error;
        this->leaveSource(exchange.error ? exchange.error->text : "invalid answer");
        this->advance();
        return;
    }

    // Apply the report. What is older than the own state is ignored by those who own that state.
    const TimePoint verified = exchange.sentAt + update->verifiedAfter;
    // A request that is sent before the tables are in force would be answered with the same tables again.
    this->applying = true;
    if (update->members) {
        const FleetUpdate report{.complete = true,
                                 .reported = true,
                                 .objects = *update->members,
                                 .revision = update->memberRevision,
                                 .era = update->memberEra};
        this->callbacks.members(report);
        if (this->replacesFleetView())
            this->callbacks.fleet(report);
    }
    this->callbacks.confirmed(verified);
    this->applyTables(*update);
    this->applying = false;
    if (this->world.now - verified > this->world.options.feedMaxAge) {
        this->leaveSource("its view of the store is out of date");
    } else {
        this->reported = true;
        this->verifiedAt = std::max(this->verifiedAt, verified);
        this->world.timers.add(this->verifiedAt + this->fallbackAfter(), TimerKind::Feed);
    }
    this->advance();
}

std::optional<FeedSubscriber::ReportedTables> FeedSubscriber::tablesOf(const FeedUpdate &update) const
{
    const auto versionOf = [](const auto &table) { return table ? table->version() : 0; };
    ReportedTables tables{.routes = update.routes, .organisations = update.organisations};
    const OrganisationDifference *organisations = update.organisationDifference.get();
    if (organisations != nullptr && organisations->version > versionOf(this->world.organisations)) {
        if (this->world.organisations)
            tables.organisations = organisations->appliedTo(*this->world.organisations);
        if (!tables.organisations)
            return std::nullopt;
    }
    const RouteDifference *routes = update.routeDifference.get();
    if (routes == nullptr || routes->version <= versionOf(this->world.routes))
        return tables;
    const auto &newest = versionOf(tables.organisations) > versionOf(this->world.organisations)
                             ? tables.organisations
                             : this->world.organisations;
    // Routes without the organisations of their version would keep withdrawn keys valid.
    if (!this->world.routes || versionOf(newest) < update.organisationVersion)
        return std::nullopt;
    const auto applied = routes->appliedTo(*this->world.routes);
    if (!applied)
        return std::nullopt;
    applied->setOrganisations(newest);
    tables.routes = applied;
    return tables;
}

void FeedSubscriber::applyTables(const FeedUpdate &update)
{
    const auto tables = this->tablesOf(update);
    if (!tables) {
        this->world.counters.add("jujubekeel_pool_feed_differences_refused_total");
        this->world.log(LogLevel::Info, "feed-difference-refused",
                        {{"member", this->source},
                         {"version", std::to_string(update.routeVersion)},
                         {"inForce", std::to_string(this->world.routes ? this->world.routes->version() : 0)}});
        if (this->wantsWholeTables)
            this->leaveSource("differences in place of whole tables");
        this->wantsWholeTables = true;
        return;
    }
    const bool hasRoutes = update.routes || update.routeDifference;
    const bool hasOrganisations = update.organisations || update.organisationDifference;
    if (hasRoutes || hasOrganisations)
        this->wantsWholeTables = false;
    this->reportedVersion = std::max(this->reportedVersion, update.routeVersion);
    if (!hasRoutes)
        this->announcedVersion = std::max(this->announcedVersion, update.routeVersion);
    if (!hasRoutes && !hasOrganisations)
        this->announcedVersion = std::max(this->announcedVersion, update.organisationVersion);
    if (tables->routes)
        this->callbacks.routes(tables->routes);
    if (tables->organisations)
        this->callbacks.organisations(tables->organisations);
}

void FeedSubscriber::leaveSource(const std::string &reason)
{
    this->pausedUntil[this->source] = this->world.now + this->world.options.feedSourcePause;
    this->world.timers.add(this->pausedUntil[this->source], TimerKind::Feed);
    this->world.counters.add("jujubekeel_pool_feed_sources_left_total");
    this->world.log(LogLevel::Info, "feed-source-left", {{"member", this->source}, {"reason", reason}});
}

Duration FeedSubscriber::fallbackAfter() const
{
    const PoolOptions &options = this->world.options;
    const auto spread = static_cast<std::size_t>(options.feedFallbackSpread.count());
    const std::size_t offset = spread == 0 ? 0 : std::hash<std::string>{}(options.instance) % spread;
    return options.feedFallback + Duration(static_cast<std::int64_t>(offset));
}

bool FeedSubscriber::isCurrent() const
{
    return this->relayingSince.count() != 0
           && this->world.now - std::max(this->verifiedAt, this->relayingSince) < this->fallbackAfter();
}

bool FeedSubscriber::isRouteTableMissing() const
{
    return this->reportedVersion > (this->world.routes ? this->world.routes->version() : 0);
}

} // namespace Jujubekeel
