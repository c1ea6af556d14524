#include "virtualpool/virtualpool.h"

#include "organisations/organisationtable.h"
#include "virtualpool/organisationshares.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Jujubekeel {

namespace {

constexpr Duration minTickDelay = std::chrono::milliseconds(1);
constexpr Duration storeRetryDelay = std::chrono::milliseconds(200);
/// Operations of an organisation above its rate that may follow a quiet time.
constexpr double organisationBurst = 20;

} // namespace

VirtualPool::VirtualPool(VirtualPoolOptions poolOptions)
    : options(std::move(poolOptions)), events(std::chrono::seconds(1)), random(this->options.seed),
      fleetStore(this->events)
{
    this->options.group.seed = this->options.seed;
    this->servers = std::make_unique<StatementGroup>(
        this->options.group, this->events,
        StatementGroup::Callbacks{
            .deliver = [this](std::uint64_t connection,
                              const ServerMessage &message) { this->deliver(connection, message); },
            .dropped = [this](std::uint64_t connection) { this->dropped(connection); }});
    this->relayConnections = std::make_unique<RelayConnections>(
        this->events,
        RelayConnections::Callbacks{
            .input = [this](std::size_t instance, std::uint64_t boot,
                            std::function<void(PoolCore &)> work) { this->input(instance, boot, std::move(work)); },
            .boot = [this](std::size_t instance) { return this->nodes.at(instance)->boot; },
            .core = [this](std::size_t from, std::size_t to) -> PoolCore * {
                const bool isolated = this->nodes.at(from)->isolatedInstances.contains(to);
                return isolated ? nullptr : this->nodes.at(to)->core.get();
            },
            .transmit = [this](std::size_t from, std::size_t to) -> Duration {
                this->countMessage(this->instanceDomain(from), this->instanceDomain(to));
                // Without regions all instances are equally far from each other.
                return this->options.regionOf.empty()
                           ? this->options.farDelay
                           : this->domainDelay(this->instanceDomain(from), this->instanceDomain(to));
            }});
    for (std::size_t instance = 0; instance < this->options.instances; ++instance) {
        this->nodes.push_back(std::make_unique<Node>());
        this->startInstance(instance);
    }
}

VirtualPool::~VirtualPool() = default;

void VirtualPool::startInstance(std::size_t instance)
{
    Node &node = *this->nodes.at(instance);
    if (node.core)
        return;
    PoolOptions pool = this->options.pool;
    pool.instance = "i" + std::to_string(instance);
    pool.failureDomain = this->instanceDomain(instance);
    if (!this->options.regionOf.empty()) {
        pool.region = this->regionOf(pool.failureDomain);
        pool.regionOf = this->options.regionOf;
    }
    pool.expectedInstances = this->options.instances;
    pool.firstStart = node.boot == 0;
    if (this->options.relays) {
        pool.relayAddress = RelayConnections::address(instance);
        for (const std::string &domain : this->options.group.domains)
            pool.regionOf.emplace(domain, domain);
        pool.expectedInstances = 1;
    }
    node.core = std::make_unique<PoolCore>(std::move(pool), this->options.leadership);
    node.boot += 1;
    node.knownVersion = StoreVersion{};
    node.plan = WatchPlan{.fleet = FleetWatchMode::Suspended, .routes = false, .servers = false};
    node.listsFleet = false;
    node.tickAt = TimePoint{0};
    const std::uint64_t boot = node.boot;
    this->input(instance, boot, [this, boot](PoolCore &core) { core.start(this->events.now(), boot); });
}

void VirtualPool::killInstance(std::size_t instance)
{
    Node &node = *this->nodes.at(instance);
    node.core.reset();
    node.boot += 1;
    std::vector<std::uint64_t> open;
    for (const auto &[connection, row] : this->serverConnections) {
        if (row.instance == instance)
            open.push_back(connection);
    }
    for (const std::uint64_t connection : open) {
        this->servers->disconnect(connection);
        this->serverConnections.erase(connection);
    }
    this->relayConnections->instanceEnded(instance);
    std::erase_if(this->connectionOf, [&](const auto &entry) { return entry.first.first == instance; });
    std::erase_if(this->callerOf, [&](const auto &entry) { return entry.first.first == instance; });
    for (VirtualCaller &caller : this->callers) {
        if (caller.instance == instance)
            caller.closed = true;
    }
}

void VirtualPool::freezeInstance(std::size_t instance, Duration duration)
{
    this->nodes.at(instance)->frozenUntil = this->events.now() + duration;
}

void VirtualPool::input(std::size_t instance, std::uint64_t boot, std::function<void(PoolCore &core)> work)
{
    Node &node = *this->nodes.at(instance);
    if (!node.core || node.boot != boot)
        return;
    if (this->events.now() < node.frozenUntil) {
        this->events.add(node.frozenUntil,
                         [this, instance, boot, later = std::move(work)] { this->input(instance, boot, later); });
        return;
    }
    work(*node.core);
    this->performActions(instance);
}

void VirtualPool::performActions(std::size_t instance)
{
    Node &node = *this->nodes.at(instance);
    while (node.core) {
        PoolActions actions = node.core->takeActions();
        if (actions.empty())
            break;
        for (PoolAction &action : actions)
            this->perform(instance, action);
    }
    if (!node.core)
        return;
    if (node.core->isStopped()) {
        this->killInstance(instance);
        return;
    }
    this->applyWatchPlan(instance);
    this->scheduleTick(instance);
}

void VirtualPool::applyWatchPlan(std::size_t instance)
{
    Node &node = *this->nodes.at(instance);
    const WatchPlan plan = node.core->watchPlan();
    const WatchPlan before = std::exchange(node.plan, plan);
    // As in the daemon, an urgent list request interrupts a watch that is waiting.
    const bool urgent = plan.fleet == FleetWatchMode::Initial && before.fleet != FleetWatchMode::Initial;
    if (plan.fleet != FleetWatchMode::Suspended && (urgent || !node.listsFleet)) {
        node.listsFleet = true;
        node.fleetWatch += 1;
        this->listFleet(instance, node.boot, node.fleetWatch);
    }
    if (plan.servers && !before.servers)
        this->listEntries(instance);
    if (plan.routes && !before.routes)
        this->listRoutes(instance);
}

void VirtualPool::list(std::size_t instance, bool WatchPlan::*followed,
                       const std::function<void(PoolCore &core)> &deliver)
{
    if (!(this->nodes[instance]->plan.*followed))
        return;
    const std::uint64_t boot = this->nodes[instance]->boot;
    this->fleetStore.calls += 1;
    if (!this->isStoreReachable(instance)) {
        this->at(storeRetryDelay, [this, instance, boot, followed, deliver] {
            if (this->nodes[instance]->boot == boot)
                this->list(instance, followed, deliver);
        });
        return;
    }
    this->at(this->options.storeDelay, [this, instance, boot, deliver] { this->input(instance, boot, deliver); });
}

void VirtualPool::listEntries(std::size_t instance)
{
    this->list(instance, &WatchPlan::servers,
               [this](PoolCore &core) { core.entriesListed(this->events.now(), this->entries()); });
}

void VirtualPool::listRoutes(std::size_t instance)
{
    this->list(instance, &WatchPlan::routes,
               [this](PoolCore &core) { core.routesReceived(this->events.now(), this->makeRoutes()); });
}

void VirtualPool::scheduleTick(std::size_t instance)
{
    Node &node = *this->nodes.at(instance);
    const auto due = node.core->nextDue();
    if (!due || (node.tickAt.count() != 0 && node.tickAt <= *due))
        return;
    const TimePoint at = std::max(*due, this->events.now() + minTickDelay);
    node.tickAt = at;
    this->events.add(at, [this, instance, at, boot = node.boot] {
        this->input(instance, boot, [this, instance, at](PoolCore &core) {
            if (this->nodes[instance]->tickAt == at)
                this->nodes[instance]->tickAt = TimePoint{0};
            core.tick(this->events.now());
        });
    });
}

Duration VirtualPool::delay(std::size_t instance, std::size_t server) const
{
    return this->domainDelay(this->instanceDomain(instance), this->servers->domain(server));
}

Duration VirtualPool::domainDelay(const std::string &left, const std::string &right) const
{
    if (left == right)
        return this->options.nearDelay;
    const bool isSameRegion = this->regionOf(left) == this->regionOf(right);
    return isSameRegion || this->options.regionDelay.count() == 0 ? this->options.farDelay : this->options.regionDelay;
}

const std::string &VirtualPool::instanceDomain(std::size_t instance) const
{
    const std::vector<std::string> &domains =
        this->options.instanceDomains.empty() ? this->options.group.domains : this->options.instanceDomains;
    return domains.at(instance % domains.size());
}

const std::string &VirtualPool::regionOf(const std::string &domain) const
{
    const auto found = this->options.regionOf.find(domain);
    return found == this->options.regionOf.end() ? domain : found->second;
}

void VirtualPool::countMessage(const std::string &left, const std::string &right)
{
    if (left == right)
        this->sent.withinDomain += 1;
    else if (this->regionOf(left) == this->regionOf(right))
        this->sent.betweenDomains += 1;
    else
        this->sent.betweenRegions += 1;
}

std::string VirtualPool::organisationKey(std::size_t organisation)
{
    return "key-" + std::to_string(organisation);
}

std::string VirtualPool::organisationName(std::size_t organisation)
{
    return "org" + std::to_string(organisation);
}

void VirtualPool::perform(std::size_t instance, PoolAction &action)
{
    const auto findCaller = [&](SessionId session) -> std::optional<CallerId> {
        const auto found = this->callerOf.find({instance, session.packed()});
        return found == this->callerOf.end() ? std::nullopt : std::optional(found->second);
    };
    if (auto *reply = std::get_if<ReplyToCaller>(&action)) {
        this->relayConnections->reply(instance, reply->session, reply->reply);
        const auto id = findCaller(reply->session);
        if (id && !this->callers[*id].closed) {
            this->callers[*id].replies.push_back(reply->reply);
            this->callers[*id].repliedAt.push_back(this->events.now());
            if (this->onReply)
                this->onReply(*id, reply->reply);
        }
    } else if (auto *greet = std::get_if<GreetCaller>(&action)) {
        this->relayConnections->greet(instance, greet->session);
        if (const auto id = findCaller(greet->session))
            this->callers[*id].greeted = true;
    } else if (auto *refusal = std::get_if<RefuseCaller>(&action)) {
        this->relayConnections->refuse(instance, refusal->session, refusal->error);
        if (const auto id = findCaller(refusal->session)) {
            this->callers[*id].refusal = refusal->error;
            this->callers[*id].closed = true;
        }
    } else if (auto *closing = std::get_if<CloseCaller>(&action)) {
        this->relayConnections->closeSession(instance, closing->session);
        if (const auto id = findCaller(closing->session))
            this->callers[*id].closed = true;
    } else if (auto *open = std::get_if<OpenLink>(&action)) {
        this->openLink(instance, *open);
    } else if (auto *command = std::get_if<SendCommand>(&action)) {
        if (this->relayConnections->send(instance, command->link, command->command))
            return;
        const auto found = this->connectionOf.find({instance, command->link.packed()});
        if (found == this->connectionOf.end())
            return;
        const ServerConnection &row = this->serverConnections.at(found->second);
        if (this->nodes[instance]->isolatedServers.contains(row.server))
            return;
        this->countMessage(this->instanceDomain(instance), this->servers->domain(row.server));
        if (this->onCommand)
            this->onCommand(instance, command->link, command->command);
        this->events.add(
            this->events.now() + this->delay(instance, row.server),
            [this, connection = found->second, sent = command->command] { this->servers->receive(connection, sent); });
    } else if (auto *close = std::get_if<CloseLink>(&action)) {
        if (this->relayConnections->close(instance, close->link))
            return;
        const auto found = this->connectionOf.find({instance, close->link.packed()});
        if (found == this->connectionOf.end())
            return;
        this->servers->disconnect(found->second);
        this->serverConnections.erase(found->second);
        this->connectionOf.erase(found);
    } else if (auto *write = std::get_if<WriteFleetObject>(&action)) {
        this->writeStore(
            instance, write->name, [this, change = *write] { return this->fleetStore.write(change); }, write->call);
    } else if (auto *removal = std::get_if<DeleteFleetObject>(&action)) {
        this->writeStore(
            instance, removal->name, [this, change = *removal] { return this->fleetStore.remove(change); },
            removal->call);
    } else if (auto *promotion = std::get_if<PromoteServer>(&action)) {
        this->promote(instance, *promotion);
    } else if (auto *line = std::get_if<WriteLog>(&action)) {
        std::string text =
            "i" + std::to_string(instance) + " " + line->event + " at=" + std::to_string(this->events.now().count());
        for (const auto &[name, value] : line->fields)
            text += " " + name + "=" + value;
        this->lines.push_back(std::move(text));
    }
}

bool VirtualPool::reportCall(std::size_t instance, const std::string &call, CallStage stage)
{
    if (this->onCall)
        this->onCall(instance, call, stage);
    return this->nodes[instance]->core != nullptr;
}

void VirtualPool::promote(std::size_t instance, const PromoteServer &call)
{
    if (!this->reportCall(instance, promotionCall, CallStage::Requested))
        return;
    const std::uint64_t boot = this->nodes[instance]->boot;
    this->at(this->options.storeDelay, [this, instance, boot, call] {
        this->promotionCount += 1;
        this->recordToken(call);
        this->at(this->options.group.promotion + this->options.storeDelay, [this] { this->announceServers(); });
        PromotionOutcome outcome{.call = call.call, .result = PromotionResult::NotRunning};
        for (std::size_t server = 0; server < this->servers->size(); ++server) {
            if (this->servers->id(server) == call.server && this->servers->promote(server))
                outcome.result = PromotionResult::Ok;
        }
        this->reportCall(instance, promotionCall, CallStage::Performed);
        if (this->storeAnswersLost)
            outcome.result = PromotionResult::Unavailable;
        this->at(this->storeAnswersLost ? this->options.storeTimeout : this->options.storeDelay,
                 [this, instance, boot, outcome] {
                     this->input(instance, boot, [this, outcome](PoolCore &core) {
                         core.promotionFinished(this->events.now(), outcome);
                     });
                 });
    });
}

void VirtualPool::recordToken(const PromoteServer &call)
{
    const bool sameHolder = call.holder == this->highestTokenHolder;
    if (call.fencingToken < this->highestToken || (call.fencingToken == this->highestToken && !sameHolder))
        this->fencingMisuse.push_back("promotion by " + call.holder + " with token " + std::to_string(call.fencingToken)
                                      + " after token " + std::to_string(this->highestToken) + " of "
                                      + this->highestTokenHolder);
    if (call.fencingToken < this->highestToken)
        return;
    this->highestToken = call.fencingToken;
    this->highestTokenHolder = call.holder;
}

void VirtualPool::returnStoreFromCopy()
{
    this->fleetStore.restore();
    this->storeAvailable = true;
    this->announceServers();
}

void VirtualPool::openLink(std::size_t instance, const OpenLink &action)
{
    if (RelayConnections::isRelay(action.address)) {
        this->relayConnections->open(instance, action.link, action.address);
        return;
    }
    std::size_t server = 0;
    while (server < this->servers->size() && this->servers->id(server) != action.address)
        ++server;
    const std::uint64_t boot = this->nodes[instance]->boot;
    const bool isolated = this->nodes[instance]->isolatedServers.contains(server);
    const std::uint64_t connection = this->nextConnection++;
    if (isolated || (server < this->servers->size() && this->servers->connect(server, connection))) {
        this->serverConnections.emplace(
            connection, ServerConnection{.instance = instance, .boot = boot, .link = action.link, .server = server});
        this->connectionOf[{instance, action.link.packed()}] = connection;
        if (!isolated)
            this->events.add(
                this->events.now() + 2 * this->delay(instance, server), [this, instance, boot, link = action.link] {
                    this->input(instance, boot,
                                [this, link](PoolCore &core) { core.linkConnected(this->events.now(), link); });
                });
        return;
    }
    this->events.add(this->events.now() + this->options.farDelay, [this, instance, boot, link = action.link] {
        this->input(instance, boot, [this, link](PoolCore &core) {
            core.linkDisconnected(this->events.now(), link, LinkEnd::Refused);
        });
    });
}

void VirtualPool::deliver(std::uint64_t connection, const ServerMessage &message)
{
    const auto found = this->serverConnections.find(connection);
    if (found == this->serverConnections.end()
        || this->nodes[found->second.instance]->isolatedServers.contains(found->second.server))
        return;
    const ServerConnection row = found->second;
    this->countMessage(this->instanceDomain(row.instance), this->servers->domain(row.server));
    this->events.add(this->events.now() + this->delay(row.instance, row.server), [this, row, message] {
        this->input(row.instance, row.boot, [this, row, message](PoolCore &core) {
            core.linkMessageReceived(this->events.now(), row.link, message);
        });
    });
}

void VirtualPool::dropped(std::uint64_t connection)
{
    const auto found = this->serverConnections.find(connection);
    if (found == this->serverConnections.end())
        return;
    const ServerConnection row = found->second;
    this->events.add(this->events.now() + this->delay(row.instance, row.server), [this, row] {
        this->input(row.instance, row.boot, [this, row](PoolCore &core) {
            core.linkDisconnected(this->events.now(), row.link, LinkEnd::Broken);
        });
    });
}

bool VirtualPool::isStoreReachable(std::size_t instance) const
{
    return this->storeAvailable && this->nodes[instance]->reachesStore;
}

bool VirtualPool::continuesFleetWatch(std::size_t instance, std::uint64_t boot, std::uint64_t chain)
{
    Node &node = *this->nodes[instance];
    if (node.boot != boot || node.fleetWatch != chain)
        return false;
    if (node.plan.fleet == FleetWatchMode::Suspended)
        node.listsFleet = false;
    return node.listsFleet;
}

void VirtualPool::listFleet(std::size_t instance, std::uint64_t boot, std::uint64_t chain)
{
    if (!this->continuesFleetWatch(instance, boot, chain))
        return;
    const TimePoint requestedAt = this->events.now();
    this->fleetStore.calls += 1;
    if (!this->isStoreReachable(instance)) {
        this->events.add(requestedAt + storeRetryDelay,
                         [this, instance, boot, chain] { this->listFleet(instance, boot, chain); });
        return;
    }
    this->events.add(requestedAt + 2 * this->options.storeDelay, [this, instance, boot, chain, requestedAt] {
        const FleetStore::Answer answer = this->fleetStore.list();
        this->input(instance, boot, [this, instance, boot, chain, requestedAt, answer](PoolCore &core) {
            if (this->nodes[instance]->fleetWatch != chain)
                return;
            this->nodes[instance]->knownVersion = {.era = answer.era, .revision = answer.revision};
            core.fleetUpdated(this->events.now(), FleetUpdate{.complete = true,
                                                              .objects = answer.objects,
                                                              .revision = answer.revision,
                                                              .era = answer.era,
                                                              .requestedAt = requestedAt});
            this->at(Duration{0}, [this, instance, boot, chain] { this->watchFleet(instance, boot, chain); });
        });
    });
}

Duration VirtualPool::pauseAfterUpdate(FleetWatchMode mode) const
{
    switch (mode) {
    case FleetWatchMode::Batched:
        return this->options.batchedWatchPause;
    case FleetWatchMode::Continuous:
        return this->options.memberWatchPause;
    default:
        return Duration{0};
    }
}

void VirtualPool::watchFleet(std::size_t instance, std::uint64_t boot, std::uint64_t chain)
{
    if (!this->continuesFleetWatch(instance, boot, chain))
        return;
    const TimePoint requestedAt = this->events.now();
    const bool first = this->nodes[instance]->plan.fleet == FleetWatchMode::Initial;
    const Duration wait = first ? this->options.initialWatchWait : this->options.watchWait;
    const auto listAgain = [this, instance, boot, chain] { this->listFleet(instance, boot, chain); };
    if (!this->isStoreReachable(instance)) {
        this->fleetStore.calls += 1;
        this->events.add(requestedAt + storeRetryDelay, listAgain);
        return;
    }
    const auto answered = [this, instance, boot, chain, requestedAt, wait,
                           listAgain](const FleetStore::Answer &answer) {
        // The answer is lost if the store has become unreachable meanwhile; the instance lists the objects again
        // after its timeout, as the daemon does.
        if (!this->isStoreReachable(instance)) {
            this->events.add(requestedAt + wait + this->options.watchTimeout, listAgain);
            return;
        }
        this->at(this->options.storeDelay, [this, instance, boot, chain, requestedAt, wait, listAgain, answer] {
            this->input(
                instance, boot, [this, instance, boot, chain, requestedAt, wait, listAgain, answer](PoolCore &core) {
                    if (this->nodes[instance]->fleetWatch != chain)
                        return;
                    // The revision that was watched from has another meaning in another era.
                    if (answer.historyCompacted || answer.era != this->nodes[instance]->knownVersion.era) {
                        listAgain();
                        return;
                    }
                    this->nodes[instance]->knownVersion = {.era = answer.era, .revision = answer.revision};
                    // A watch that ends without changes confirms the revision up to the end of its wait.
                    const bool isWaitOver = answer.objects.empty() && this->events.now() - requestedAt >= wait;
                    core.fleetUpdated(this->events.now(),
                                      FleetUpdate{.objects = answer.objects,
                                                  .revision = answer.revision,
                                                  .era = answer.era,
                                                  .requestedAt = isWaitOver ? requestedAt + wait : requestedAt});
                    const Duration pause =
                        answer.objects.empty() ? Duration{0} : this->pauseAfterUpdate(core.watchPlan().fleet);
                    this->at(pause, [this, instance, boot, chain] { this->watchFleet(instance, boot, chain); });
                });
        });
    };
    this->events.add(requestedAt + this->options.storeDelay, [this, instance, boot, chain, wait, answered] {
        if (this->continuesFleetWatch(instance, boot, chain))
            this->fleetStore.watch(this->nodes[instance]->knownVersion.revision, wait, answered);
    });
}

void VirtualPool::writeStore(std::size_t instance, const std::string &object, const std::function<WriteOutcome()> &work,
                             std::uint64_t call)
{
    if (!this->reportCall(instance, object, CallStage::Requested))
        return;
    const std::uint64_t boot = this->nodes[instance]->boot;
    const auto answer = [this, instance, boot](const WriteOutcome &outcome, Duration after) {
        this->events.add(this->events.now() + after, [this, instance, boot, outcome] {
            this->input(instance, boot,
                        [this, outcome](PoolCore &core) { core.writeFinished(this->events.now(), outcome); });
        });
    };
    if (!this->isStoreReachable(instance)) {
        answer(WriteOutcome{.call = call}, this->options.storeTimeout);
        return;
    }
    this->events.add(this->events.now() + this->options.storeDelay, [this, instance, object, work, answer, call] {
        const WriteOutcome outcome = work();
        this->reportCall(instance, object, CallStage::Performed);
        if (this->storeAnswersLost)
            answer(WriteOutcome{.call = call}, this->options.storeTimeout);
        else
            answer(outcome, this->options.storeDelay);
    });
}

std::vector<ServerEntry> VirtualPool::entries() const
{
    std::vector<ServerEntry> listed;
    for (std::size_t server = 0; server < this->servers->size(); ++server) {
        if (!this->servers->isRunning(server))
            continue;
        listed.push_back(ServerEntry{.id = this->servers->id(server),
                                     .service = this->options.group.service,
                                     .address = this->servers->id(server),
                                     .failureDomain = this->servers->domain(server),
                                     .slots = this->options.group.slots,
                                     .draining = this->servers->isDraining(server),
                                     .claimsPrimary = this->servers->isPrimary(server),
                                     .incarnation = this->servers->incarnation(server)});
    }
    return listed;
}

void VirtualPool::announceServers()
{
    for (std::size_t instance = 0; instance < this->nodes.size(); ++instance) {
        if (this->isStoreReachable(instance))
            this->listEntries(instance);
    }
}

void VirtualPool::stopServer(std::size_t server)
{
    this->servers->setRunning(server, false);
}

void VirtualPool::startServer(std::size_t server)
{
    this->servers->setRunning(server, true);
    this->announceServers();
}

void VirtualPool::setDraining(std::size_t server)
{
    this->servers->setDraining(server, true);
    this->announceServers();
}

void VirtualPool::isolateInstanceFromServer(std::size_t instance, std::size_t server, bool isolated)
{
    if (isolated)
        this->nodes.at(instance)->isolatedServers.insert(server);
    else
        this->nodes.at(instance)->isolatedServers.erase(server);
}

void VirtualPool::isolateInstances(std::size_t left, std::size_t right, bool isolated)
{
    if (isolated) {
        this->nodes.at(left)->isolatedInstances.insert(right);
        this->nodes.at(right)->isolatedInstances.insert(left);
    } else {
        this->nodes.at(left)->isolatedInstances.erase(right);
        this->nodes.at(right)->isolatedInstances.erase(left);
    }
}

std::shared_ptr<const RouteTable> VirtualPool::makeRoutes() const
{
    auto routes = std::make_shared<RouteTable>(this->routeVersion);
    const std::string &service = this->options.group.service;
    routes->addService(service, {.maxConnections = this->options.group.connectionLimit,
                                 .syncReplicas = this->options.group.syncReplicas});
    for (const std::string &database : this->databases) {
        Route route{.name = "route-" + database, .database = database, .service = service};
        route.consistency = database == boundedRoute ? ReadConsistency::BoundedStale
                            : database == ownRoute   ? ReadConsistency::ReadYourWrites
                                                     : ReadConsistency::Primary;
        route.maxStaleness = database == boundedRoute ? Duration(1500000) : Duration(2500000);
        route.statementTimeout = std::chrono::seconds(database == boundedRoute ? 2 : 1);
        route.latencyObjective = this->options.latencyObjective;
        route.priority = database == primaryRoute ? 1 : 2;
        route.isPublic = this->options.publicRoutes || this->publicDatabases.contains(database);
        routes->addRoute(std::move(route));
    }
    if (!this->organisations && this->options.organisations > 0) {
        auto generated = std::make_shared<OrganisationTable>(this->routeVersion);
        const std::vector<double> shares = organisationShares(this->options.organisations);
        for (std::size_t index = 0; index < shares.size(); ++index) {
            const std::array<KeyDigest, 1> keys{KeyDigest::ofKey(organisationKey(index))};
            generated->add({.name = organisationName(index),
                            .limit = RateLimit{.operationsPerSecond = this->options.organisationRate * shares[index],
                                               .burst = organisationBurst}},
                           keys);
        }
        routes->setOrganisations(std::move(generated));
    }
    for (std::size_t index = 0; index < this->fillerRoutes; ++index) {
        const std::string name = "filler-" + std::to_string(index);
        routes->addRoute(Route{.name = name, .database = name, .service = service});
    }
    if (this->organisations)
        routes->setOrganisations(this->organisations);
    if (!this->options.namedOrganisations.empty()) {
        auto named = std::make_shared<OrganisationTable>(this->routeVersion);
        for (const Organisation &organisation : this->options.namedOrganisations)
            named->add(organisation, std::vector{KeyDigest::ofKey(organisation.name)});
        routes->setOrganisations(std::move(named));
    }
    return routes;
}

void VirtualPool::publishRoutes(std::uint64_t version, const std::set<std::string> &newDatabases)
{
    this->routeVersion = version;
    this->databases = newDatabases;
    for (std::size_t instance = 0; instance < this->nodes.size(); ++instance) {
        if (this->isStoreReachable(instance))
            this->listRoutes(instance);
    }
}

void VirtualPool::publishOrganisations(std::uint64_t version, std::shared_ptr<const OrganisationTable> newOrganisations,
                                       const std::set<std::string> &newPublicDatabases)
{
    this->organisations = std::move(newOrganisations);
    this->publicDatabases = newPublicDatabases;
    this->publishRoutes(version, std::set<std::string>(this->databases));
}

void VirtualPool::publishOrganisations(std::uint64_t version, std::vector<Organisation> newOrganisations)
{
    this->options.namedOrganisations = std::move(newOrganisations);
    this->publishRoutes(version, std::set<std::string>(this->databases));
}

std::optional<VirtualPool::CallerId> VirtualPool::openCaller(std::size_t instance, const std::string &database,
                                                             const std::optional<std::string> &key)
{
    Node &node = *this->nodes.at(instance);
    if (!node.core || !node.core->acceptsCallers())
        return std::nullopt;
    const SessionId session = node.core->callerConnected(this->events.now());
    const CallerId id = this->callers.size();
    this->callers.push_back(VirtualCaller{.instance = instance, .session = session});
    this->callerOf[{instance, session.packed()}] = id;
    const auto digest = key ? std::optional(KeyDigest::ofKey(*key)) : std::nullopt;
    this->input(instance, node.boot, [this, session, database, digest](PoolCore &core) {
        core.callerOpenedSession(this->events.now(), session, database, digest);
    });
    return id;
}

void VirtualPool::send(CallerId id, Statement statement)
{
    const VirtualCaller &caller = this->callers.at(id);
    if (caller.closed)
        return;
    this->input(caller.instance, this->nodes.at(caller.instance)->boot,
                [this, session = caller.session, sent = std::move(statement)](PoolCore &core) {
                    core.statementReceived(this->events.now(), session, sent);
                });
}

void VirtualPool::closeCaller(CallerId id)
{
    VirtualCaller &caller = this->callers.at(id);
    if (caller.closed)
        return;
    caller.closed = true;
    this->input(
        caller.instance, this->nodes.at(caller.instance)->boot,
        [this, session = caller.session](PoolCore &core) { core.callerDisconnected(this->events.now(), session); });
}

void VirtualPool::requestStop(std::size_t instance)
{
    this->input(instance, this->nodes.at(instance)->boot,
                [this](PoolCore &core) { core.requestStop(this->events.now()); });
}

void VirtualPool::note(const std::string &text)
{
    this->lines.push_back("pool " + text + " at=" + std::to_string(this->events.now().count()));
}

std::size_t VirtualPool::countLogs(std::string_view event) const
{
    return static_cast<std::size_t>(std::count_if(this->lines.begin(), this->lines.end(), [&](const std::string &line) {
        const std::size_t start = line.find(' ') + 1;
        return std::string_view(line).substr(start, line.find(' ', start) - start) == event;
    }));
}

} // namespace Jujubekeel
