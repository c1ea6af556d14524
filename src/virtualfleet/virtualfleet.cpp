#include "virtualfleet/virtualfleet.h"

#include "core/statehasher.h"

#include <algorithm>
#include <cassert>
#include <sstream>
#include <type_traits>

namespace Jujubekeel {

namespace {

// TimePoint 0 stands for "never" in the rows of the core, so the virtual time starts later.
constexpr TimePoint fleetStart = std::chrono::seconds(100);
constexpr Duration platformLatency = std::chrono::milliseconds(3);
// Lists and rules of the start are in force when the fleet starts, so they reach the platform before that.
constexpr TimePoint platformStart = std::chrono::seconds(1);
constexpr std::uint64_t operatorClient = std::uint64_t{1} << 48U; // operators follow the clients of proxies
constexpr Duration operatorTimeout = std::chrono::seconds(1);

std::uint64_t platformClient(std::uint32_t proxy, std::uint64_t incarnation)
{
    return (std::uint64_t{proxy} << 32U) | incarnation;
}

PlatformAnswer unavailable(std::uint64_t call)
{
    PlatformAnswer answer;
    answer.call = call;
    answer.code = PlatformStatusCode::Unavailable;
    return answer;
}

bool startsWork(BackendOperation operation)
{
    return operation == BackendOperation::Execute || operation == BackendOperation::Begin;
}

/// Names of the servers that a rule text marks as leaving.
std::vector<std::string> leavingServers(const std::string &text)
{
    std::vector<std::string> names;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string verb;
        std::string kind;
        std::string name;
        if (words >> verb >> kind >> name && verb == "leaving" && kind == "backend")
            names.push_back(name);
    }
    return names;
}

std::pair<std::uint32_t, std::uint32_t> linkOf(std::uint32_t left, std::uint32_t right)
{
    return {std::min(left, right), std::max(left, right)};
}

std::uint64_t textBytes(const CallerRequest &request)
{
    return request.id.size() + request.database.size() + request.caller.size() + request.session.size()
           + request.token.size() + request.operation.size() + request.statement.size() + request.requestKey.size()
           + request.transaction.size() + request.trace.traceId.size() + request.trace.parentSpan.size();
}

} // namespace

VirtualFleet::VirtualFleet(VirtualFleetOptions fleetOptions)
    : options(std::move(fleetOptions)), random(options.seed), queue(fleetStart)
{
    if (this->options.proxy.session.tokenKeys.empty())
        this->options.proxy.session.tokenKeys = {"virtual-fleet-key"};
    const FleetLayout &fleetLayout = this->options.layout;

    // Platform with the instance list and the first rules.
    this->platformFake = std::make_unique<FakePlatform>(
        FakePlatformOptions{.latency = platformLatency, .listLag = this->options.listLag});
    for (const InstanceSettings &instance : fleetLayout.instances)
        this->platformFake->setInstance(platformStart, instance.name, false);
    if (!this->options.rules.empty()) {
        RuleOperator first("rules/" + fleetLayout.user, "first", 1, this->options.rules);
        while (!first.isDone()) {
            this->platformFake->call(platformStart, operatorClient, first.nextCall(this->nextOperatorCall++));
            this->platformFake->advance(platformStart + platformLatency);
            for (const FakePlatformOutput &output : this->platformFake->takeOutputs())
                first.handle(output.answer);
        }
        this->ruleChanges.push_back(HistoryRuleChange{.version = first.acceptedVersion(),
                                                      .acceptedAt = fleetStart,
                                                      .leaving = leavingServers(this->options.rules)});
    }
    this->platformFake->advance(fleetStart);

    // Backend servers. The first primaries are spread over the failure domains.
    this->backends.resize(fleetLayout.backends.size());
    for (std::uint32_t database = 0; database < fleetLayout.databases.size(); ++database) {
        const std::vector<BackendId> &group = fleetLayout.databases[database].backends;
        std::vector<std::string> names;
        names.reserve(group.size());
        for (const BackendId member : group)
            names.push_back(fleetLayout.at(member).name);
        for (const BackendId member : group) {
            const BackendSettings &settings = fleetLayout.at(member);
            this->backends[member.index].server = std::make_unique<FakeBackend>(
                FakeBackendOptions{.name = settings.name,
                                   .group = names,
                                   .firstPrimary = names[database % names.size()],
                                   .slots = settings.slots,
                                   .connectionLimit = settings.connectionLimit,
                                   .serviceTime = this->options.serviceTime,
                                   .lockTimeout = this->options.proxy.ownership.lockTimeout});
        }
    }
    this->proxies.resize(fleetLayout.instances.size());
    for (std::uint32_t proxy = 0; proxy < this->proxies.size(); ++proxy)
        this->startProxy(proxy);
    for (std::uint32_t backend = 0; backend < this->backends.size(); ++backend)
        this->flushBackend(backend);
    this->flushPlatform();
}

void VirtualFleet::runUntil(TimePoint end)
{
    this->queue.runUntil(end);
}

std::uint32_t VirtualFleet::backendNode(std::uint32_t backend) const
{
    return static_cast<std::uint32_t>(this->proxies.size()) + backend;
}

std::uint32_t VirtualFleet::platformNode() const
{
    return this->backendNode(static_cast<std::uint32_t>(this->backends.size()));
}

std::uint32_t VirtualFleet::callerNode() const
{
    return this->platformNode() + 1;
}

// Links.

void VirtualFleet::cutLink(std::uint32_t left, std::uint32_t right)
{
    this->cuts[linkOf(left, right)] += 1;
}

void VirtualFleet::healLink(std::uint32_t left, std::uint32_t right)
{
    const auto found = this->cuts.find(linkOf(left, right));
    if (found == this->cuts.end())
        return;
    found->second -= 1;
    if (found->second == 0)
        this->cuts.erase(found);
}

bool VirtualFleet::isCut(std::uint32_t left, std::uint32_t right) const
{
    return !this->cuts.empty() && this->cuts.contains(linkOf(left, right));
}

Duration VirtualFleet::delay()
{
    const auto range = static_cast<std::uint64_t>(this->options.jitter.count()) + 1;
    return this->options.latency + Duration(static_cast<Duration::rep>(this->random.below(range)));
}

TimePoint VirtualFleet::orderedArrival(TimePoint &last)
{
    last = std::max(last, this->now() + this->delay());
    return last;
}

// Proxies.

void VirtualFleet::startProxy(std::uint32_t proxy)
{
    ProxyNode &node = this->proxies[proxy];
    assert(!node.core);
    node.incarnation += 1;
    node.paused = false;
    node.core = std::make_unique<ProxyCore>(ProxyCoreOptions{.layout = this->options.layout,
                                                             .proxy = this->options.proxy,
                                                             .self = InstanceId{.index = proxy, .generation = 0},
                                                             .incarnation = node.incarnation});
    this->scheduleTick(proxy, node.incarnation);
}

void VirtualFleet::scheduleTick(std::uint32_t proxy, std::uint64_t incarnation)
{
    const Duration interval = this->options.proxy.tickInterval;
    const Duration offset = Duration(static_cast<Duration::rep>(this->random.below(100)));
    this->queue.add(this->now() + interval + offset, [this, proxy, incarnation] {
        const ProxyNode &node = this->proxies[proxy];
        if (!node.core || node.incarnation != incarnation)
            return;
        if (!node.paused)
            this->step(proxy, Tick{});
        if (this->proxies[proxy].core)
            this->scheduleTick(proxy, incarnation);
    });
}

void VirtualFleet::endProxy(std::uint32_t proxy)
{
    ProxyNode &node = this->proxies[proxy];
    if (!node.core)
        return;
    node.core.reset();
    node.paused = false;
    node.held.clear();

    // The operating system closes the connections of the process.
    const auto sessions = std::move(node.sessions);
    node.sessions.clear();
    for (const auto &[connection, session] : sessions)
        this->closeFromProxy(session);
    const auto tickets = std::move(node.tickets);
    node.tickets.clear();
    for (const std::uint64_t ticket : tickets) {
        if (!this->isCut(this->callerNode(), proxy))
            this->notifyCaller(ticket, CallerOutcome::ConnectionLost, CallerAnswer{});
    }
}

void VirtualFleet::resumeProxy(std::uint32_t proxy)
{
    ProxyNode &node = this->proxies[proxy];
    if (!node.core || !node.paused)
        return;
    node.paused = false;
    const std::vector<Input> held = std::move(node.held);
    node.held.clear();
    for (const Input &input : held)
        this->step(proxy, input);
}

void VirtualFleet::deliver(std::uint32_t proxy, std::uint64_t incarnation, Input input)
{
    ProxyNode &node = this->proxies[proxy];
    if (!node.core || node.incarnation != incarnation)
        return;
    if (node.paused)
        node.held.push_back(std::move(input));
    else
        this->step(proxy, input);
}

void VirtualFleet::step(std::uint32_t proxy, const Input &input)
{
    if (!this->proxies[proxy].core)
        return;
    Actions actions;
    this->proxies[proxy].core->step(this->now(), input, actions);
    for (Action &action : actions)
        this->perform(proxy, action);
}

void VirtualFleet::perform(std::uint32_t proxy, Action &action)
{
    // A fault injected by a handler may have ended the proxy between two of its actions.
    if (!this->proxies[proxy].core)
        return;
    std::visit(
        [&](auto &content) {
            using Content = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<Content, AnswerCaller>) {
                this->answerCaller(proxy, std::move(content.answer));
            } else if constexpr (std::is_same_v<Content, OpenConnection>) {
                this->openConnection(proxy, content);
            } else if constexpr (std::is_same_v<Content, SendToBackend>) {
                this->sendToBackend(proxy, std::move(content));
            } else if constexpr (std::is_same_v<Content, CloseConnection>) {
                auto &sessions = this->proxies[proxy].sessions;
                const auto found = sessions.find(content.connection);
                if (found != sessions.end()) {
                    const std::uint64_t session = found->second;
                    sessions.erase(found);
                    this->closeFromProxy(session);
                }
            } else if constexpr (std::is_same_v<Content, SendToPeer>) {
                this->sendPeer(proxy, content.to.index, std::move(content.message));
            } else if constexpr (std::is_same_v<Content, CallPlatform>) {
                this->callPlatform(proxy, content.call);
            } else if constexpr (std::is_same_v<Content, WriteLog>) {
                if (this->logHandler)
                    this->logHandler(proxy, content);
            } else if constexpr (std::is_same_v<Content, StopProcess>) {
                for (HistoryStop &stop : this->stops) {
                    if (stop.proxy == proxy && stop.stoppedAt == TimePoint{0})
                        stop.stoppedAt = this->now();
                }
                this->endProxy(proxy);
                this->updateOutages();
            }
        },
        action);
}

void VirtualFleet::sendPeer(std::uint32_t from, std::uint32_t to, PeerMessage message)
{
    this->trafficCounts.peerMessages += 1;
    this->trafficCounts.peerBytes += estimateBytes(message);
    if (this->isCut(from, to) || !this->proxies[to].core)
        return;
    const std::uint64_t receiver = this->proxies[to].incarnation;
    this->queue.add(this->orderedArrival(this->lastArrivals[{from, to}]), [this, from, to, receiver,
                                                                           content = std::move(message)] {
        if (!this->isCut(from, to)) {
            this->deliver(to, receiver,
                          PeerMessageArrived{.from = InstanceId{.index = from, .generation = 0}, .message = content});
        }
    });
}

// Callers.

void VirtualFleet::send(std::uint32_t proxy, const CallerRequest &request)
{
    this->queue.add(this->now() + this->options.callerLatency, [this, proxy, request] {
        if (this->isCut(this->callerNode(), proxy))
            return;
        ProxyNode &node = this->proxies[proxy];
        if (!node.core) {
            this->notifyCaller(request.ticket, CallerOutcome::ConnectRefused, CallerAnswer{});
            return;
        }
        node.tickets.insert(request.ticket);
        this->deliver(proxy, node.incarnation, CallerRequestArrived{.request = request});
        if (this->wireHandler) {
            const DatabaseId database = this->options.layout.findDatabase(request.database);
            this->wireHandler(WireEvent{.point = WirePoint::CallerArrived,
                                        .operation = BackendOperation::Execute,
                                        .proxy = proxy,
                                        .backend = database.isValid() ? this->primaryOf(database.index) : 0,
                                        .write = request.kind == RequestKind::Write});
        }
    });
}

void VirtualFleet::abandon(std::uint64_t ticket)
{
    for (std::uint32_t proxy = 0; proxy < this->proxies.size(); ++proxy) {
        if (this->proxies[proxy].tickets.contains(ticket) && !this->isCut(this->callerNode(), proxy)) {
            this->queue.add(this->now() + this->options.callerLatency,
                            [this, proxy, ticket, incarnation = this->proxies[proxy].incarnation] {
                                this->deliver(proxy, incarnation, CallerGone{.ticket = ticket});
                            });
        }
    }
}

void VirtualFleet::answerCaller(std::uint32_t proxy, CallerAnswer answer)
{
    this->proxies[proxy].tickets.erase(answer.ticket);
    if (this->isCut(this->callerNode(), proxy))
        return;
    const std::uint64_t ticket = answer.ticket;
    this->notifyCaller(ticket, CallerOutcome::Answered, std::move(answer));
}

void VirtualFleet::notifyCaller(std::uint64_t ticket, CallerOutcome outcome, CallerAnswer answer)
{
    this->queue.add(this->now() + this->options.callerLatency,
                    [this, event = CallerEvent{.ticket = ticket, .outcome = outcome, .answer = std::move(answer)}] {
                        if (this->callerHandler)
                            this->callerHandler(event);
                    });
}

// Connections to backend servers.

void VirtualFleet::openConnection(std::uint32_t proxy, const OpenConnection &action)
{
    const std::uint64_t session = this->nextSession++;
    const std::uint32_t backend = action.backend.index;
    this->connections[session] = Connection{.proxy = proxy,
                                            .incarnation = this->proxies[proxy].incarnation,
                                            .core = action.connection,
                                            .backend = backend,
                                            .control = action.control};
    this->proxies[proxy].sessions[action.connection] = session;

    // The server sees the session one latency before the proxy does.
    const auto report = [this, session](TimePoint at, bool ok, const char *text) {
        this->queue.add(at, [this, session, ok, text] {
            const auto found = this->connections.find(session);
            if (found == this->connections.end() || !found->second.openAtProxy)
                return;
            const Connection connection = found->second;
            if (!ok) {
                this->proxies[connection.proxy].sessions.erase(connection.core);
                this->connections.erase(found);
            }
            this->deliver(connection.proxy, connection.incarnation,
                          ConnectionOpened{.connection = connection.core, .ok = ok, .text = text});
        });
    };
    this->queue.add(this->now() + this->options.connectTime - this->options.latency,
                    [this, session, backend, proxy, report] {
                        const auto found = this->connections.find(session);
                        if (found == this->connections.end())
                            return;
                        if (this->isCut(proxy, this->backendNode(backend))) {
                            report(this->now() + this->options.connectTimeout, false, "no answer in time");
                            return;
                        }
                        BackendNode &node = this->backends[backend];
                        const BackendLogin login{.instance = this->options.layout.instances[proxy].name,
                                                 .control = found->second.control};
                        const bool ok = node.up && node.server->open(this->now(), session, login);
                        found->second.openAtBackend = ok;
                        report(this->now() + this->options.latency, ok, ok ? "" : "refused");
                        this->flushBackend(backend);
                    });
}

void VirtualFleet::sendToBackend(std::uint32_t proxy, SendToBackend action)
{
    const auto session = this->proxies[proxy].sessions.find(action.connection);
    if (session == this->proxies[proxy].sessions.end())
        return;
    const std::uint64_t number = session->second;
    Connection &connection = this->connections.at(number);
    connection.operation = action.request.operation;
    connection.write = action.request.write;
    const std::uint32_t backend = connection.backend;
    const WireEvent sent{.point = WirePoint::RequestSent,
                         .operation = connection.operation,
                         .proxy = proxy,
                         .backend = backend,
                         .write = connection.write};
    if (this->isCut(proxy, this->backendNode(backend)))
        connection.silent = true;
    if (!connection.silent) {
        this->queue.add(this->orderedArrival(connection.lastToBackend),
                        [this, number, backend, proxy, request = std::move(action.request)] {
                            const auto found = this->connections.find(number);
                            if (found == this->connections.end() || found->second.silent)
                                return;
                            if (this->isCut(proxy, this->backendNode(backend))) {
                                found->second.silent = true;
                                return;
                            }
                            BackendNode &node = this->backends[backend];
                            if (!node.up || !found->second.openAtBackend) {
                                this->connectionLost(number); // the server's system refuses data on a closed connection
                                return;
                            }
                            if (!found->second.control && startsWork(request.operation))
                                node.workStarts.push_back(this->now());
                            node.server->request(this->now(), number, request);
                            if (this->wireHandler) {
                                this->wireHandler(WireEvent{.point = WirePoint::RequestArrived,
                                                            .operation = request.operation,
                                                            .proxy = proxy,
                                                            .backend = backend,
                                                            .write = request.write});
                            }
                            this->flushBackend(backend);
                        });
    }
    if (this->wireHandler)
        this->wireHandler(sent);
}

void VirtualFleet::closeFromProxy(std::uint64_t session)
{
    const auto found = this->connections.find(session);
    if (found == this->connections.end())
        return;
    Connection &connection = found->second;
    connection.openAtProxy = false;
    // A close that cannot reach the server is noticed there only after its own timeout.
    const bool lost = connection.silent || this->isCut(connection.proxy, this->backendNode(connection.backend));
    const TimePoint arrival =
        lost ? this->now() + this->options.deadSessionTimeout
             : std::max(this->orderedArrival(connection.lastToBackend), this->now() + this->options.latency);
    this->queue.add(arrival, [this, session] { this->reapSession(session); });
}

void VirtualFleet::reapSession(std::uint64_t session)
{
    const auto found = this->connections.find(session);
    if (found == this->connections.end())
        return;
    const std::uint32_t backend = found->second.backend;
    const bool open = found->second.openAtBackend;
    this->connections.erase(found);
    if (open && this->backends[backend].up) {
        this->backends[backend].server->close(this->now(), session);
        this->flushBackend(backend);
    }
}

void VirtualFleet::connectionLost(std::uint64_t session)
{
    const auto found = this->connections.find(session);
    if (found == this->connections.end())
        return;
    found->second.openAtBackend = false;
    if (!found->second.openAtProxy) {
        this->connections.erase(found);
        return;
    }
    if (found->second.silent || this->isCut(found->second.proxy, this->backendNode(found->second.backend)))
        return;
    this->queue.add(this->orderedArrival(found->second.lastToProxy), [this, session] {
        const auto lost = this->connections.find(session);
        if (lost == this->connections.end() || lost->second.silent || !lost->second.openAtProxy)
            return;
        const Connection connection = lost->second;
        if (this->isCut(connection.proxy, this->backendNode(connection.backend)))
            return;
        this->connections.erase(lost);
        ProxyNode &node = this->proxies[connection.proxy];
        if (node.core && node.incarnation == connection.incarnation)
            node.sessions.erase(connection.core);
        this->deliver(connection.proxy, connection.incarnation, ConnectionLost{.connection = connection.core});
    });
}

void VirtualFleet::flushBackend(std::uint32_t backend)
{
    BackendNode &node = this->backends[backend];
    if (!node.up)
        return;
    for (FakeBackendOutput &output : node.server->takeOutputs()) {
        if (auto *answer = std::get_if<FakeBackendAnswer>(&output)) {
            const std::uint64_t session = answer->session;
            const auto found = this->connections.find(session);
            if (found == this->connections.end() || found->second.silent)
                continue;
            Connection &connection = found->second;
            if (this->isCut(connection.proxy, this->backendNode(backend))) {
                connection.silent = true;
                continue;
            }
            const WireEvent event{.point = WirePoint::AnswerSent,
                                  .operation = connection.operation,
                                  .proxy = connection.proxy,
                                  .backend = backend,
                                  .write = connection.write};
            this->queue.add(
                this->orderedArrival(connection.lastToProxy), [this, session, content = std::move(answer->answer)] {
                    const auto target = this->connections.find(session);
                    if (target == this->connections.end() || target->second.silent || !target->second.openAtProxy)
                        return;
                    const Connection &to = target->second;
                    if (this->isCut(to.proxy, this->backendNode(to.backend))) {
                        target->second.silent = true;
                        return;
                    }
                    this->deliver(to.proxy, to.incarnation, BackendAnswered{.connection = to.core, .answer = content});
                });
            if (this->wireHandler)
                this->queue.add(this->now(), [this, event] { this->wireHandler(event); });
        } else if (const auto *closed = std::get_if<FakeBackendClosed>(&output)) {
            this->connectionLost(closed->session);
        } else {
            auto &replication = std::get<FakeBackendReplication>(output);
            const std::uint32_t to = this->options.layout.findBackend(replication.to).index;
            this->sendReplication(backend, to, std::move(replication.message));
        }
    }

    // Wake the server when it has something to do. A wake-up that is earlier than needed does no harm.
    const TimePoint next = std::max(node.server->nextEvent(), this->now() + Duration(1));
    if (node.wakeAt <= this->now() || next < node.wakeAt) {
        node.wakeAt = next;
        this->queue.add(next, [this, backend, next, starts = node.starts] {
            BackendNode &target = this->backends[backend];
            if (!target.up || target.starts != starts || target.wakeAt != next)
                return;
            target.server->advance(this->now());
            this->flushBackend(backend);
        });
    }
}

void VirtualFleet::sendReplication(std::uint32_t from, std::uint32_t to, ReplicationMessage message)
{
    const std::uint32_t fromNode = this->backendNode(from);
    const std::uint32_t toNode = this->backendNode(to);
    if (this->isCut(fromNode, toNode) || !this->backends[to].up)
        return;
    this->queue.add(
        this->orderedArrival(this->lastArrivals[{fromNode, toNode}]),
        [this, from, to, fromNode, toNode, starts = this->backends[to].starts, content = std::move(message)] {
            BackendNode &target = this->backends[to];
            if (this->isCut(fromNode, toNode) || !target.up || target.starts != starts)
                return;
            target.server->replicate(this->now(), this->options.layout.backends[from].name, content);
            this->flushBackend(to);
        });
}

void VirtualFleet::killBackend(std::uint32_t backend)
{
    BackendNode &node = this->backends[backend];
    if (!node.up)
        return;
    // What was sent before stays sent; sessions end and their open work is undone.
    this->flushBackend(backend);
    for (auto &[session, connection] : this->connections) {
        if (connection.backend == backend && connection.openAtBackend)
            node.server->close(this->now(), session);
    }
    (void)node.server->takeOutputs();
    node.up = false;
    std::vector<std::uint64_t> lost;
    for (const auto &[session, connection] : this->connections) {
        if (connection.backend == backend && connection.openAtBackend)
            lost.push_back(session);
    }
    for (const std::uint64_t session : lost)
        this->connectionLost(session);
}

void VirtualFleet::restartBackend(std::uint32_t backend)
{
    BackendNode &node = this->backends[backend];
    if (node.up)
        return;
    node.up = true;
    node.starts += 1;
    node.wakeAt = TimePoint{0};
    node.server->advance(this->now());
    this->flushBackend(backend);
}

void VirtualFleet::silenceConnection(std::uint32_t database)
{
    // The first busy-looking work connection is the oldest open one.
    const std::uint32_t primary = this->primaryOf(database);
    for (auto &[session, connection] : this->connections) {
        if (connection.backend == primary && !connection.control && connection.openAtBackend && connection.openAtProxy
            && !connection.silent) {
            connection.silent = true;
            return;
        }
    }
}

// Platform and operators.

void VirtualFleet::callPlatform(std::uint32_t proxy, const PlatformCall &call)
{
    this->trafficCounts.platformCalls += 1;
    const std::uint64_t incarnation = this->proxies[proxy].incarnation;
    const std::uint64_t client = platformClient(proxy, incarnation);
    this->platformWaits[{client, call.call}] = PlatformWait{.proxy = proxy, .incarnation = incarnation};

    // The shell gives up on a call after its own limit.
    this->queue.add(this->now() + call.wait + this->options.platformTimeout,
                    [this, client, proxy, incarnation, number = call.call] {
                        if (this->platformWaits.erase({client, number}) == 0)
                            return;
                        this->trafficCounts.platformFailures += 1;
                        this->deliver(proxy, incarnation, PlatformAnswered{.answer = unavailable(number)});
                    });
    if (this->isCut(proxy, this->platformNode()))
        return;
    this->queue.add(this->now() + this->delay(), [this, client, call] {
        this->platformFake->call(this->now(), client, call);
        this->flushPlatform();
    });
}

void VirtualFleet::flushPlatform()
{
    for (FakePlatformOutput &output : this->platformFake->takeOutputs()) {
        if (output.client >= operatorClient) {
            const std::size_t number = output.client - operatorClient;
            if (number < this->operators.size() && !this->operators[number].isDone()) {
                this->operators[number].handle(output.answer);
                this->operatorAnswered(number);
            }
            continue;
        }
        const std::uint64_t client = output.client;
        const auto wait = this->platformWaits.find({client, output.answer.call});
        if (wait == this->platformWaits.end() || this->isCut(wait->second.proxy, this->platformNode()))
            continue;
        this->queue.add(this->now() + this->delay(), [this, client, answer = std::move(output.answer)] {
            const auto found = this->platformWaits.find({client, answer.call});
            if (found == this->platformWaits.end() || this->isCut(found->second.proxy, this->platformNode()))
                return;
            const PlatformWait target = found->second;
            this->platformWaits.erase(found);
            this->deliver(target.proxy, target.incarnation, PlatformAnswered{.answer = answer});
        });
    }
    const TimePoint next = std::max(this->platformFake->nextEvent(), this->now() + Duration(1));
    if (this->platformWakeAt <= this->now() || next < this->platformWakeAt) {
        this->platformWakeAt = next;
        this->queue.add(next, [this, next] {
            if (this->platformWakeAt != next)
                return;
            this->platformFake->advance(this->now());
            this->flushPlatform();
        });
    }
}

void VirtualFleet::startOperator(const std::string &author, const std::string &text)
{
    this->operators.emplace_back("rules/" + this->options.layout.user, author, this->operators.size() + 2, text);
    this->runOperator(this->operators.size() - 1);
}

void VirtualFleet::runOperator(std::size_t number)
{
    const PlatformCall call = this->operators[number].nextCall(this->nextOperatorCall++);
    this->queue.add(this->now() + this->delay(), [this, number, call] {
        this->platformFake->call(this->now(), operatorClient + number, call);
        this->flushPlatform();
    });
    this->queue.add(this->now() + operatorTimeout, [this, number, call = call.call] {
        RuleOperator &ruleOperator = this->operators[number];
        if (ruleOperator.isDone() || ruleOperator.lastCall() != call)
            return;
        ruleOperator.handle(unavailable(call));
        this->runOperator(number);
    });
}

void VirtualFleet::operatorAnswered(std::size_t number)
{
    const RuleOperator &ruleOperator = this->operators[number];
    if (!ruleOperator.isDone()) {
        this->runOperator(number);
    } else if (ruleOperator.state() == RuleOperatorState::Accepted) {
        this->ruleChanges.push_back(HistoryRuleChange{.version = ruleOperator.acceptedVersion(),
                                                      .acceptedAt = this->now(),
                                                      .leaving = leavingServers(ruleOperator.text())});
    }
}

// Faults.

void VirtualFleet::apply(const Fault &fault)
{
    const bool isPlannedStop = std::holds_alternative<StopProxy>(fault);
    if (!isPlannedStop) {
        this->faultCount += 1;
        for (HistoryStop &stop : this->stops)
            stop.otherFaults = stop.otherFaults || stop.stoppedAt == TimePoint{0};
    }
    std::visit(
        [this](const auto &content) {
            using Content = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<Content, KillProxy>) {
                // A planned stop that a kill cuts short is no planned stop any more.
                std::erase_if(this->stops, [&](const HistoryStop &stop) {
                    return stop.proxy == content.proxy && stop.stoppedAt == TimePoint{0};
                });
                this->endProxy(content.proxy);
            } else if constexpr (std::is_same_v<Content, RestartProxy>) {
                if (!this->proxies[content.proxy].core)
                    this->startProxy(content.proxy);
            } else if constexpr (std::is_same_v<Content, PauseProxy>) {
                this->proxies[content.proxy].paused = this->proxies[content.proxy].core != nullptr;
            } else if constexpr (std::is_same_v<Content, ResumeProxy>) {
                this->resumeProxy(content.proxy);
            } else if constexpr (std::is_same_v<Content, StopProxy>) {
                if (this->proxies[content.proxy].core) {
                    this->stops.push_back(HistoryStop{
                        .proxy = content.proxy, .requestedAt = this->now(), .otherFaults = this->faultCount > 0});
                    this->deliver(content.proxy, this->proxies[content.proxy].incarnation, StopRequested{});
                }
            } else if constexpr (std::is_same_v<Content, LeaveInstance>) {
                this->platformFake->setInstance(this->now(), this->options.layout.instances[content.proxy].name,
                                                content.leaving);
                this->flushPlatform();
            } else if constexpr (std::is_same_v<Content, KillBackend>) {
                this->killBackend(content.backend);
            } else if constexpr (std::is_same_v<Content, RestartBackend>) {
                this->restartBackend(content.backend);
            } else if constexpr (std::is_same_v<Content, KillPrimary>) {
                this->killBackend(this->primaryOf(content.database));
            } else if constexpr (std::is_same_v<Content, CutPrimaryFromGroup>) {
                const std::uint32_t primary = this->primaryOf(content.database);
                for (const BackendId member : this->options.layout.databases[content.database].backends) {
                    if (member.index != primary)
                        this->cutLink(this->backendNode(primary), this->backendNode(member.index));
                }
            } else if constexpr (std::is_same_v<Content, CutDomain>) {
                // Every link between a node inside and a node outside; callers keep reaching the proxies.
                std::vector<std::uint32_t> inside;
                std::vector<std::uint32_t> outside{this->platformNode()};
                for (std::uint32_t proxy = 0; proxy < this->proxies.size(); ++proxy) {
                    const InstanceSettings &settings = this->options.layout.instances[proxy];
                    (settings.failureDomain == content.failureDomain ? inside : outside)
                        .push_back(this->proxyNode(proxy));
                }
                for (std::uint32_t backend = 0; backend < this->backends.size(); ++backend) {
                    const BackendSettings &settings = this->options.layout.backends[backend];
                    (settings.failureDomain == content.failureDomain ? inside : outside)
                        .push_back(this->backendNode(backend));
                }
                for (const std::uint32_t left : inside) {
                    for (const std::uint32_t right : outside)
                        this->cutLink(left, right);
                }
            } else if constexpr (std::is_same_v<Content, HealLinks>) {
                this->cuts.clear();
            } else if constexpr (std::is_same_v<Content, SetPlatformDown>) {
                this->platformFake->setDown(content.down);
                this->platformImpaired = content.down;
            } else if constexpr (std::is_same_v<Content, SetPlatformLatency>) {
                this->platformFake->setLatency(content.latency);
                this->platformImpaired = content.latency > platformLatency;
            } else if constexpr (std::is_same_v<Content, LosePlatformAnswers>) {
                this->platformFake->loseAnswers(content.count);
            } else if constexpr (std::is_same_v<Content, SetReplicaLag>) {
                for (const BackendId member : this->options.layout.databases[content.database].backends)
                    this->backends[member.index].server->setApplyLag(content.lag);
            } else if constexpr (std::is_same_v<Content, SilenceConnection>) {
                this->silenceConnection(content.database);
            } else if constexpr (std::is_same_v<Content, ChangeRules>) {
                this->startOperator(content.author, content.text);
            } else {
                static_assert(std::is_same_v<Content, RaceOperators>);
                this->startOperator("first operator", content.firstText);
                this->startOperator("second operator", content.secondText);
            }
        },
        fault);
    this->updateOutages();
}

void VirtualFleet::healAll()
{
    this->cuts.clear();
    this->platformFake->setDown(false);
    this->platformFake->setLatency(platformLatency);
    this->platformImpaired = false;
    for (std::uint32_t backend = 0; backend < this->backends.size(); ++backend) {
        this->backends[backend].server->setApplyLag(Duration{0});
        this->restartBackend(backend);
    }
    for (std::uint32_t proxy = 0; proxy < this->proxies.size(); ++proxy) {
        this->resumeProxy(proxy);
        if (!this->proxies[proxy].core)
            this->startProxy(proxy);
        this->platformFake->setInstance(this->now(), this->options.layout.instances[proxy].name, false);
    }
    this->flushPlatform();
    this->updateOutages();
}

void VirtualFleet::updateOutages()
{
    for (std::uint32_t proxy = 0; proxy < this->proxies.size(); ++proxy) {
        const ProxyNode &node = this->proxies[proxy];
        const bool isOut = !node.core || node.paused || this->isCut(proxy, this->callerNode());
        bool isDisconnected = isOut || this->platformImpaired;
        for (const auto &[link, count] : this->cuts)
            isDisconnected = isDisconnected || link.first == proxy || link.second == proxy;
        this->setOutage(this->openOutages, this->outages, proxy, isOut);
        this->setOutage(this->openDisconnections, this->disconnections, proxy, isDisconnected);
    }
}

void VirtualFleet::setOutage(std::map<std::uint32_t, TimePoint> &open, std::vector<HistoryOutage> &closed,
                             std::uint32_t proxy, bool isOut)
{
    const auto found = open.find(proxy);
    if (isOut && found == open.end()) {
        open[proxy] = this->now();
    } else if (!isOut && found != open.end()) {
        closed.push_back(HistoryOutage{.proxy = proxy, .from = found->second, .to = this->now()});
        open.erase(found);
    }
}

// Observation.

std::uint32_t VirtualFleet::primaryOf(std::uint32_t database) const
{
    std::uint32_t best = this->options.layout.databases.at(database).backends.front().index;
    std::uint64_t bestTerm = 0;
    for (const BackendId member : this->options.layout.databases[database].backends) {
        const ServerStatus status = this->backends[member.index].server->status(this->now());
        if (status.role == BackendRole::Primary && status.history.lastTerm() >= bestTerm) {
            best = member.index;
            bestTerm = status.history.lastTerm();
        }
    }
    return best;
}

std::uint32_t VirtualFleet::ownerOf(std::uint32_t backend) const
{
    const std::string holder = this->backends.at(backend).server->status(this->now()).lockHolder;
    const InstanceId owner = this->options.layout.findInstance(holder);
    return owner.isValid() ? owner.index : static_cast<std::uint32_t>(this->proxies.size());
}

std::uint64_t VirtualFleet::stateHash() const
{
    StateHasher hasher;
    for (const ProxyNode &node : this->proxies)
        hasher.add(node.core ? node.core->stateHash() : 0);
    for (const BackendNode &node : this->backends) {
        for (const ReplicationAppend::Entry &entry : node.server->log()) {
            hasher.add(entry.term);
            hasher.add(entry.statements);
        }
    }
    return hasher.value();
}

void VirtualFleet::fillHistory(History &history) const
{
    history.endedAt = this->now();
    for (std::uint32_t backend = 0; backend < this->backends.size(); ++backend) {
        const BackendSettings &settings = this->options.layout.backends[backend];
        const FakeBackend &server = *this->backends[backend].server;
        history.backends.push_back(HistoryBackend{.name = settings.name,
                                                  .database = this->options.layout.at(settings.database).name,
                                                  .slots = settings.slots,
                                                  .connectionLimit = settings.connectionLimit,
                                                  .peakSlots = server.peakSlots(),
                                                  .peakConnections = server.peakConnections(),
                                                  .slotRefusals = server.slotRefusals(),
                                                  .connectionRefusals = server.connectionRefusals(),
                                                  .mixedStatements = server.mixedStatements(),
                                                  .status = server.status(this->now()),
                                                  .log = server.log(),
                                                  .workStarts = this->backends[backend].workStarts});
    }
    history.ruleChanges = this->ruleChanges;
    history.outages = this->outages;
    history.disconnections = this->disconnections;
    for (const auto &[proxy, from] : this->openOutages)
        history.outages.push_back(HistoryOutage{.proxy = proxy, .from = from, .to = this->now()});
    for (const auto &[proxy, from] : this->openDisconnections)
        history.disconnections.push_back(HistoryOutage{.proxy = proxy, .from = from, .to = this->now()});
    history.stops = this->stops;
}

std::uint64_t estimateBytes(const PeerMessage &message)
{
    constexpr std::uint64_t frame = 16; // frame header, message type and field names of a compact form
    constexpr std::uint64_t number = 8; // one integer
    return std::visit(
        [](const auto &content) -> std::uint64_t {
            using Content = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<Content, Heartbeat>) {
                std::uint64_t size = frame + 5 * number;
                for (const BackendReport &report : content.owned)
                    size += 8 * number + report.history.starts().size() * 2 * number;
                return size;
            } else if constexpr (std::is_same_v<Content, RulesUpdate>) {
                return frame + number + content.text.size();
            } else if constexpr (std::is_same_v<Content, ForwardRequest>) {
                return frame + 8 * number + textBytes(content.request);
            } else if constexpr (std::is_same_v<Content, ForwardAnswer>) {
                return frame + 6 * number + content.text.size() + content.value.size() + content.transaction.size()
                       + content.history.starts().size() * 2 * number;
            } else {
                return frame + 3 * number;
            }
        },
        message);
}

} // namespace Jujubekeel
