#include "pool/serverchooser.h"

#include "membership/rendezvous.h"
#include "pool/pacesystem.h"
#include "pool/poolworld.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace Jujubekeel {

namespace {

/// Weight of the way from a member to the primary. Connections in the name of an organisation are often new, and connect
/// and greeting take two round trips on this way.
constexpr std::int64_t primaryPathFactor = 2;
/// With adaptive pacing the response time of a server without answers counts half after each of these times, so that a
/// slow server gets a statement now and then that shows whether it still is slow; the slower it is, the rarer.
constexpr Duration estimateHalfLife = std::chrono::seconds(1);
constexpr std::int64_t maxHalvings = 10;

} // namespace

bool ServerChooser::primaryUsable(ServiceId service) const
{
    const ServiceRow &row = this->world.services.at(service);
    return row.primary.isValid() && !row.changing && this->takesNewWork(row.primary)
           && this->world.isLeadershipVerified(row);
}

bool ServerChooser::needsOtherMember(ServiceId service, bool needsPrimary, TimePoint consistentAt) const
{
    if (!this->world.hasLapsed() || !service.isValid())
        return false;
    return needsPrimary || !this->world.services.at(service).positions.covering(consistentAt);
}

std::optional<LogPosition> ServerChooser::requiredPosition(const SessionRow &session, ServiceId service) const
{
    const ServiceRow &row = this->world.services.at(service);
    auto required = row.positions.covering(session.work->consistentAt);
    // A mark of an earlier term may have been rolled back. Any position of the current primary covers the commits that
    // remain.
    if (required && session.mark.term >= row.term)
        required = std::max(*required, session.mark);
    return required;
}

bool ServerChooser::takesNewWork(ServerId server) const
{
    const ServerRow &row = this->world.servers.at(server);
    return !row.entry.draining || this->world.now - row.drainingSince < this->world.options.drainGrace;
}

std::uint8_t ServerChooser::paceRank(const SessionRow &session, const ServerRow &server) const
{
    if (!this->world.options.adaptivePacing || !server.pace.isSuspended())
        return 1;
    // Without being preferred for one statement, a suspended server would get none while others have free links.
    return server.pace.isTrialDue(this->world.now) && PaceSystem::canTry(session) ? 0 : 2;
}

Duration ServerChooser::responseTime(const ServerRow &server) const
{
    if (!this->world.options.adaptivePacing || server.isMember || server.pace.inFlight() > 0)
        return server.responseTime;
    const auto halvings = (this->world.now - server.pace.lastFinishedAt()) / estimateHalfLife;
    return server.responseTime / (std::int64_t{1} << std::clamp<std::int64_t>(halvings, 0, maxHalvings));
}

std::uint32_t ServerChooser::inFlight(const ServerRow &server) const
{
    const PoolOptions &options = this->world.options;
    const bool countsOthers =
        options.placement == PlacementRule::OthersInFlight || options.placement == PlacementRule::OthersPerSlot;
    if (!countsOthers || server.isMember)
        return server.running;
    return server.running + this->world.loadReports.inFlight(server.entry.id, this->world.now, options.loadReportAge);
}

Duration ServerChooser::expectedWait(ServerId server, bool isPrimary) const
{
    const ServerRow &row = this->world.servers.at(server);
    const PoolOptions &options = this->world.options;
    Duration wait = this->responseTime(row) * (this->inFlight(row) + 1);
    if (options.placement == PlacementRule::OthersPerSlot && !row.isMember)
        wait = std::max(this->responseTime(row), wait / std::max<std::int64_t>(row.entry.slots, 1));
    if (isPrimary)
        wait *= options.primaryReadFactor;
    return wait + this->distance(options.failureDomain, row.entry.failureDomain);
}

Duration ServerChooser::unloadedWait(ServerId server, bool isPrimary) const
{
    const ServerRow &row = this->world.servers.at(server);
    return this->responseTime(row) * (isPrimary ? this->world.options.primaryReadFactor : 1)
           + this->distance(this->world.options.failureDomain, row.entry.failureDomain);
}

std::uint64_t ServerChooser::placementDraw(const SessionRow &session) const
{
    if (this->world.options.placement == PlacementRule::ShortestWait)
        return 0;
    return rendezvousScore(rendezvousKey(this->world.options.instance),
                           static_cast<std::uint64_t>(session.work->arrivedAt.count()) + session.work->attempts);
}

std::string_view ServerChooser::regionOf(const std::string &domain) const
{
    const PoolOptions &options = this->world.options;
    const auto found = options.regionOf.find(domain);
    if (found != options.regionOf.end())
        return found->second;
    return domain == options.failureDomain ? options.region : std::string_view();
}

Duration ServerChooser::distance(const std::string &from, const std::string &to) const
{
    const PoolOptions &options = this->world.options;
    if (from == to)
        return Duration{0};
    const std::string_view region = this->regionOf(to);
    return !region.empty() && this->regionOf(from) == region ? options.crossDomainCost : options.crossRegionCost;
}

const std::string *ServerChooser::primaryDomain(const SessionRow &session) const
{
    if (!session.work->needsPrimary || !session.organisation)
        return nullptr;
    const auto domain = this->world.primaryDomainOf.find(session.route->service);
    return domain == this->world.primaryDomainOf.end() ? nullptr : &domain->second;
}

bool ServerChooser::isInRegion(const MemberChoice &member, std::string_view region) const
{
    return this->regionOf(this->world.servers.at(member.id).entry.failureDomain) == region;
}

std::size_t ServerChooser::preferredCount(const Organisation &organisation, std::size_t members) const
{
    const double total = this->world.organisations ? this->world.organisations->totalRate() : 0;
    if (!organisation.limit || total <= 0)
        return 1;
    // One member for each fair part of the load of all organisations.
    const double parts = organisation.limit->operationsPerSecond / total * static_cast<double>(members);
    return static_cast<std::size_t>(
        std::clamp(std::ceil(parts), 1.0, static_cast<double>(this->world.options.maxPreferredMembers)));
}

void ServerChooser::preferMembers(std::vector<MemberChoice> &members, const Organisation &organisation,
                                  std::string_view region) const
{
    const bool isRegional = this->world.options.memberAffinity == MemberAffinity::Region
                            && std::any_of(members.begin(), members.end(), [&](const MemberChoice &member) {
                                   return this->isInRegion(member, region);
                               });
    // A member that all instances prefer may be in another region.
    const PoolOptions &options = this->world.options;
    const Duration cost = options.otherMemberCost
                          + (options.memberAffinity == MemberAffinity::Fleet ? options.crossRegionCost : Duration{0});
    const std::uint64_t key = rendezvousKey(organisation.name);
    std::vector<std::pair<std::uint64_t, MemberChoice *>> ranked;
    std::size_t eligible = 0;
    for (MemberChoice &member : members) {
        const ServerRow &server = this->world.servers.at(member.id);
        member.wait += cost;
        if (isRegional && !this->isInRegion(member, region))
            continue;
        eligible += 1;
        if (!member.avoided)
            ranked.emplace_back(rendezvousScore(key, rendezvousKey(server.entry.id)), &member);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    ranked.resize(std::min(ranked.size(), this->preferredCount(organisation, eligible)));
    for (const auto &[score, member] : ranked)
        member->wait -= cost;
}

std::vector<ServerId> ServerChooser::relayCandidates(const SessionRow &session) const
{
    const PoolOptions &options = this->world.options;
    const std::string *primary = this->primaryDomain(session);
    std::vector<MemberChoice> candidates;
    for (const auto &[instance, id] : this->world.memberById) {
        const ServerRow &row = this->world.servers.at(id);
        const auto &excluded = session.work->excluded;
        const bool unreachable = row.unreachableSince.count() != 0 && this->world.now < row.retryAt;
        if (row.entry.draining || unreachable || std::find(excluded.begin(), excluded.end(), id) != excluded.end())
            continue;
        // The hash distributes instances over members with the same expected wait.
        const bool refuses = row.refusedAt.count() != 0 && this->world.now - row.refusedAt < options.relayPause;
        const Duration toPrimary =
            primary == nullptr ? Duration{0} : primaryPathFactor * this->distance(row.entry.failureDomain, *primary);
        candidates.push_back(MemberChoice{.avoided = refuses || row.silence(this->world.now) > options.relaySilence,
                                          .wait = this->expectedWait(id, false) + toPrimary,
                                          .unloaded = this->unloadedWait(id, false) + toPrimary,
                                          .tieBreak = std::hash<std::string>{}(options.instance + instance),
                                          .id = id});
    }
    if (session.organisation && options.memberAffinity != MemberAffinity::None)
        this->preferMembers(candidates, *session.organisation,
                            this->regionOf(primary == nullptr ? options.failureDomain : *primary));
    std::vector<PlacementCandidate> placed;
    placed.reserve(candidates.size());
    for (const MemberChoice &member : candidates)
        placed.push_back({.rank = member.avoided ? 1U : 0U,
                          .wait = member.wait,
                          .unloaded = member.unloaded,
                          .tieBreak = member.tieBreak});
    std::vector<ServerId> selected;
    for (const std::size_t index : orderCandidates(options.placement, placed, this->placementDraw(session))) {
        if (selected.size() < options.relayTargets)
            selected.push_back(candidates[index].id);
    }
    return selected;
}

std::vector<ServerId> ServerChooser::readCandidates(const SessionRow &session, ServiceId service,
                                                    std::optional<LogPosition> required) const
{
    const ServiceRow &row = this->world.services.at(service);
    const std::vector<ServerId> &excluded = session.work->excluded;
    std::vector<ServerId> candidates;
    std::vector<PlacementCandidate> placed;
    for (const ServerId id : row.servers) {
        const bool isPrimary = id == row.primary;
        const ServerRow &server = this->world.servers.at(id);
        if (!this->takesNewWork(id) || std::find(excluded.begin(), excluded.end(), id) != excluded.end())
            continue;
        if (isPrimary ? row.changing : !required.has_value())
            continue;
        if (isPrimary && !required && !this->primaryUsable(service))
            continue;
        if (!isPrimary && server.entry.draining && row.servers.size() > 1)
            continue;
        if (!isPrimary && this->world.now < server.laggingUntil && server.applied < *required)
            continue;
        candidates.push_back(id);
        placed.push_back({.rank = this->paceRank(session, server),
                          .wait = this->expectedWait(id, isPrimary),
                          .unloaded = this->unloadedWait(id, isPrimary),
                          .tieBreak = (std::uint64_t{id.index} << 32U) | id.generation});
    }
    std::vector<ServerId> ordered;
    ordered.reserve(candidates.size());
    for (const std::size_t index : orderCandidates(this->world.options.placement, placed, this->placementDraw(session)))
        ordered.push_back(candidates[index]);
    return ordered;
}

} // namespace Jujubekeel
