#include "membership/membershipsystem.h"

#include "authority/groupmonitorsystem.h"
#include "core/sendtopeer.h"
#include "core/world.h"
#include "membership/rendezvous.h"

#include <algorithm>
#include <span>
#include <vector>

namespace Jujubekeel {

namespace {

/// True if this instance reads the platform's instance list. The best-ranked instances of each failure domain do.
bool isListReader(const World &world)
{
    const std::string &domain = world.layout.at(world.self).failureDomain;
    const std::vector<InstanceId> ranked = rankInstances(world, "instance-list/" + domain, domain);
    const std::size_t readers = std::min<std::size_t>(ranked.size(), world.options.rules.watchersPerDomain);
    return std::find(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(readers), world.self)
           != ranked.begin() + static_cast<std::ptrdiff_t>(readers);
}

/// The next instances of this instance's failure domain in the order of the layout, as a ring.
std::vector<InstanceId> ringNeighbours(const World &world)
{
    const std::string &domain = world.layout.at(world.self).failureDomain;
    const std::size_t count = world.instances.size();
    std::vector<InstanceId> neighbours;
    for (std::size_t step = 1; step < count && neighbours.size() < world.options.membership.ringFanout; ++step) {
        const InstanceId id{.index = static_cast<std::uint32_t>((world.self.index + step) % count), .generation = 0};
        if (world.layout.at(id).failureDomain == domain)
            neighbours.push_back(id);
    }
    return neighbours;
}

/// True if requests were recently exchanged with the peer (MembershipOptions::interestTime).
bool isInUse(const World &world, InstanceId peer)
{
    const TimePoint used = world.at(peer).lastUsed;
    return used > TimePoint{0} && world.now - used <= world.options.membership.interestTime;
}

/// Peers that receive heartbeats (the interest set): all in a small fleet; in a large one ring neighbours, peers in
/// use, and the other candidates of the servers owned here, which take over if this instance fails.
std::vector<InstanceId> heartbeatPeers(const World &world)
{
    const bool fullMesh = world.isFullMesh();
    std::vector<bool> chosen(world.instances.size(), fullMesh);
    for (std::uint32_t index = 0; !fullMesh && index < world.instances.size(); ++index) {
        chosen[index] = isInUse(world, {.index = index, .generation = 0});
    }
    if (!fullMesh) {
        for (const InstanceId id : ringNeighbours(world))
            chosen[id.index] = true;
        for (const BackendId backend : world.activeBackends) {
            for (const InstanceId id : world.candidates.forBackend(backend))
                chosen[id.index] = true;
        }
    }

    std::vector<InstanceId> peers;
    for (std::uint32_t index = 0; index < chosen.size(); ++index) {
        if (chosen[index] && index != world.self.index)
            peers.push_back({.index = index, .generation = 0});
    }
    return peers;
}

/// Reports for a peer. In a large fleet a peer receives the reports of the servers it may take over, and all reports if
/// it is in use.
std::vector<BackendReport> reportsFor(const World &world, InstanceId peer)
{
    const bool all = world.isFullMesh() || isInUse(world, peer);
    std::vector<BackendReport> reports;
    for (const BackendId id : world.activeBackends) {
        if (!executesWork(world.at(id).ownership.step))
            continue;
        const std::span<const InstanceId> candidates = world.candidates.forBackend(id);
        if (all || std::ranges::find(candidates, peer) != candidates.end())
            reports.push_back(GroupMonitorSystem::makeReport(world, id));
    }
    return reports;
}

void sendHeartbeat(World &world, InstanceId peer, Actions &actions)
{
    InstanceRow &row = world.at(peer);
    Heartbeat heartbeat{.incarnation = world.incarnation,
                        .sentAt = world.now,
                        .echo = row.lastSentAt,
                        .echoIncarnation = row.incarnation,
                        .rulesVersion = world.rules ? world.rules->version() : 0,
                        .leaving = world.stopping,
                        .owned = reportsFor(world, peer)};
    const MembershipOptions &options = world.options.membership;
    row.nextHeartbeat = world.now + (world.isFullMesh() ? options.heartbeatInterval : options.largeFleetInterval);
    sendToPeer(world, peer, std::move(heartbeat), actions);
    world.counters.add("jujubekeel_heartbeats_sent_total");
}

} // namespace

void MembershipSystem::handle(World &world, InstanceId from, const Heartbeat &heartbeat, Actions &actions)
{
    InstanceRow &row = world.at(from);

    // Heartbeats of an earlier process of the instance may arrive after those of its successor.
    if (row.heard && heartbeat.incarnation < row.incarnation)
        return;

    // Liveness.
    const bool restarted = row.heard && heartbeat.incarnation != row.incarnation;
    if (!row.live || restarted)
        row.liveSince = world.now;
    row.heard = true;
    row.lastHeard = world.now;
    row.incarnation = heartbeat.incarnation;
    row.lastSentAt = heartbeat.sentAt;
    row.rulesVersion = heartbeat.rulesVersion;
    row.leaving = heartbeat.leaving || row.listedLeaving;
    row.live = true;

    // Reports. The echo is a time on this instance's clock that is not later than the sending of the heartbeat. An echo
    // of an earlier incarnation refers to another clock and is ignored; 0 stands for "at any time before".
    const bool echoUsable = heartbeat.echoIncarnation == world.incarnation && heartbeat.echo <= world.now;
    const TimePoint sentAtLeast = echoUsable ? heartbeat.echo : TimePoint{0};
    GroupMonitorSystem monitor;
    for (const BackendReport &report : heartbeat.owned)
        monitor.observeReport(world, from, report, sentAtLeast);
    monitor.observeOwned(world, from, heartbeat.owned);

    // Answers the first heartbeat of a process at once, so that the peer soon has an echo to send.
    if (restarted || row.nextHeartbeat == TimePoint{0})
        sendHeartbeat(world, from, actions);
}

void MembershipSystem::handle(World &world, const PlatformAnswer &answer, Actions &)
{
    if (this->listCall == 0 || answer.call != this->listCall)
        return;
    this->listCall = 0;
    if (answer.code != PlatformStatusCode::Ok)
        return;

    for (InstanceRow &row : world.instances) {
        row.listed = false;
        row.listedLeaving = false;
    }
    for (const ListedInstance &listed : answer.instances) {
        const InstanceId id = world.layout.findInstance(listed.name);
        if (!id.isValid())
            continue;
        world.at(id).listed = true;
        world.at(id).listedLeaving = listed.leaving;
        if (listed.leaving && id != world.self)
            world.at(id).leaving = true;
    }
}

void MembershipSystem::tick(World &world, Actions &actions)
{
    // Liveness. In a small fleet every instance sends heartbeats to every other; in a large one an instance that has
    // never sent a heartbeat here counts as live while the platform lists it.
    const MembershipOptions &options = world.options.membership;
    const bool fullMesh = world.isFullMesh();
    for (std::uint32_t index = 0; index < world.instances.size(); ++index) {
        InstanceRow &row = world.instances[index];
        if (index == world.self.index) {
            row.live = true;
            row.leaving = world.stopping;
            row.incarnation = world.incarnation;
            row.rulesVersion = world.rules ? world.rules->version() : 0;
            continue;
        }
        const bool recent = row.heard && world.now - row.lastHeard <= options.peerTimeout;
        row.live = recent || (!fullMesh && !row.heard && row.listed);
    }

    // Heartbeats.
    world.candidates.refresh(world);
    if (world.now >= this->nextPeerSelection) {
        this->nextPeerSelection = world.now + options.heartbeatInterval;
        this->peers = heartbeatPeers(world);
    }
    std::vector<InstanceId> due;
    for (const InstanceId id : this->peers) {
        if (world.now >= world.at(id).nextHeartbeat)
            due.push_back(id);
    }
    for (const InstanceId id : due)
        sendHeartbeat(world, id, actions);

    // The platform's list of instances.
    if (this->listCall != 0 && world.now - this->listCallSent > world.options.rules.callTimeout)
        this->listCall = 0;
    if (this->listCall == 0 && world.now >= this->nextList) {
        this->nextList = world.now + options.listInterval;
        if (isListReader(world)) {
            this->listCall = world.allocateSerial();
            this->listCallSent = world.now;
            actions.emplace_back(
                CallPlatform{.call = {.call = this->listCall, .operation = PlatformOperation::ListInstances}});
            world.counters.add("jujubekeel_platform_calls_total{call=\"list\"}");
        }
    }
}

void MembershipSystem::announce(World &world, Actions &actions)
{
    for (const InstanceId id : heartbeatPeers(world))
        sendHeartbeat(world, id, actions);
}

} // namespace Jujubekeel
