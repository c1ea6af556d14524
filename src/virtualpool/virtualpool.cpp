#include "virtualpool/virtualpool.h"

#include <algorithm>
#include <utility>

namespace Jujubekeel {

namespace {

constexpr Duration minTickDelay = std::chrono::milliseconds(1);

} // namespace

VirtualPool::VirtualPool(VirtualPoolOptions poolOptions)
    : options(std::move(poolOptions)), events(std::chrono::seconds(1)), configuration(this->options)
{
    const auto input = [this](std::size_t instance, std::uint64_t boot, std::function<void(PoolCore &)> work) {
        this->input(instance, boot, std::move(work));
    };
    const auto boot = [this](std::size_t instance) { return this->nodes.at(instance)->boot; };
    this->servers = std::make_unique<ServerConnections>(
        this->options, this->events,
        ServerConnections::Callbacks{.input = input,
                                     .boot = boot,
                                     .delay =
                                         [this](std::size_t instance, const std::string &domain) {
                                             return this->domainDelay(this->instanceDomain(instance), domain);
                                         },
                                     .countMessage =
                                         [this](std::size_t instance, const std::string &domain) {
                                             this->countMessage(this->instanceDomain(instance), domain);
                                         },
                                     .sent =
                                         [this](std::size_t instance, LinkId link, const ServerCommand &command) {
                                             if (this->onCommand)
                                                 this->onCommand(instance, link, command);
                                         }});
    this->requests = std::make_unique<StoreRequests>(
        this->options, this->events,
        StoreRequests::Callbacks{
            .input = input,
            .boot = boot,
            .entries = [this] { return this->servers->entries(); },
            .routes = [this] { return this->configuration.makeRoutes(); },
            .report = [this](std::size_t instance, const std::string &object,
                             CallStage stage) { return this->reportCall(instance, object, stage); }});
    this->relayConnections = std::make_unique<RelayConnections>(
        this->events, RelayConnections::Callbacks{
                          .input = input,
                          .boot = boot,
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
    this->requests->instanceStarted(instance);
    node.tickAt = TimePoint{0};
    const std::uint64_t boot = node.boot;
    this->input(instance, boot, [this, boot](PoolCore &core) { core.start(this->events.now(), boot); });
}

void VirtualPool::killInstance(std::size_t instance)
{
    Node &node = *this->nodes.at(instance);
    node.core.reset();
    node.boot += 1;
    node.frozenUntil = TimePoint{0};
    this->servers->instanceEnded(instance);
    this->relayConnections->instanceEnded(instance);
    std::erase_if(this->callerOf, [&](const auto &entry) { return entry.first.first == instance; });
    for (VirtualCaller &caller : this->callers) {
        if (caller.instance == instance)
            caller.closed = true;
    }
}

void VirtualPool::freezeInstance(std::size_t instance, Duration duration)
{
    TimePoint &frozenUntil = this->nodes.at(instance)->frozenUntil;
    frozenUntil = std::max(frozenUntil, this->events.now() + duration);
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
    this->requests->apply(instance, node.core->watchPlan());
    this->scheduleTick(instance);
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
        if (RelayConnections::isRelay(open->address))
            this->relayConnections->open(instance, open->link, open->address);
        else
            this->servers->open(instance, *open);
    } else if (auto *command = std::get_if<SendCommand>(&action)) {
        if (this->relayConnections->send(instance, command->link, command->command))
            return;
        this->servers->send(instance, command->link, command->command);
    } else if (auto *close = std::get_if<CloseLink>(&action)) {
        if (this->relayConnections->close(instance, close->link))
            return;
        this->servers->close(instance, close->link);
    } else if (auto *write = std::get_if<WriteFleetObject>(&action)) {
        this->requests->write(instance, *write);
    } else if (auto *removal = std::get_if<DeleteFleetObject>(&action)) {
        this->requests->remove(instance, *removal);
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
        if (this->servers->promote(call.server))
            outcome.result = PromotionResult::Ok;
        this->reportCall(instance, promotionCall, CallStage::Performed);
        if (this->requests->areAnswersLost())
            outcome.result = PromotionResult::Unavailable;
        this->at(this->requests->areAnswersLost() ? this->options.storeTimeout : this->options.storeDelay,
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
    this->store().restore();
    this->requests->setAvailable(true);
    this->announceServers();
}

void VirtualPool::announceServers()
{
    for (std::size_t instance = 0; instance < this->nodes.size(); ++instance) {
        if (this->requests->isReachable(instance))
            this->requests->listEntries(instance);
    }
}

void VirtualPool::stopServer(std::size_t server)
{
    const auto [group, index] = this->servers->locate(server);
    group->setRunning(index, false);
}

void VirtualPool::startServer(std::size_t server)
{
    const auto [group, index] = this->servers->locate(server);
    group->setRunning(index, true);
    this->announceServers();
}

void VirtualPool::setDraining(std::size_t server)
{
    const auto [group, index] = this->servers->locate(server);
    group->setDraining(index, true);
    this->announceServers();
}

void VirtualPool::setListed(std::size_t server, bool listed)
{
    this->servers->setListed(server, listed);
    this->announceServers();
}

void VirtualPool::isolateInstanceFromServer(std::size_t instance, std::size_t server, bool isolated)
{
    this->servers->isolate(instance, server, isolated);
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

void VirtualPool::publishRoutes(std::uint64_t version, const std::set<std::string> &newDatabases)
{
    this->configuration.version = version;
    this->configuration.databases = newDatabases;
    for (std::size_t instance = 0; instance < this->nodes.size(); ++instance) {
        if (this->requests->isReachable(instance))
            this->requests->listRoutes(instance);
    }
}

void VirtualPool::publishOrganisations(std::uint64_t version, std::shared_ptr<const OrganisationTable> newOrganisations,
                                       const std::set<std::string> &newPublicDatabases)
{
    this->configuration.organisations = std::move(newOrganisations);
    this->configuration.publicDatabases = newPublicDatabases;
    this->publishRoutes(version, std::set<std::string>(this->configuration.databases));
}

void VirtualPool::publishOrganisations(std::uint64_t version, std::vector<Organisation> newOrganisations)
{
    this->configuration.namedOrganisations = std::move(newOrganisations);
    this->publishRoutes(version, std::set<std::string>(this->configuration.databases));
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

void VirtualPool::reportLoads(std::size_t from, std::size_t to)
{
    const Node &source = *this->nodes.at(from);
    if (!source.core || source.isolatedInstances.contains(to))
        return;
    LoadReports::InFlight inFlight;
    source.core->state().servers.forEach([&](ServerId, const ServerRow &server) {
        if (!server.isMember)
            inFlight.emplace(server.entry.id, server.running);
    });
    this->countMessage(this->instanceDomain(from), this->instanceDomain(to));
    this->at(this->domainDelay(this->instanceDomain(from), this->instanceDomain(to)),
             [this, to, boot = this->nodes.at(to)->boot, member = "i" + std::to_string(from), inFlight] {
                 this->input(to, boot, [this, member, inFlight](PoolCore &core) {
                     core.loadsReported(this->events.now(), member, inFlight);
                 });
             });
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
