#include "virtualfleet/virtualfleet.h"

#include "core/statehasher.h"
#include "virtualfleet/faultinjector.h"
#include "virtualfleet/peermessagesize.h"

#include <algorithm>
#include <cassert>
#include <type_traits>

namespace Jujubekeel {

namespace {

// TimePoint 0 means "never" in the core, so virtual time starts later.
constexpr TimePoint fleetStart = std::chrono::seconds(100);

bool startsWork(BackendOperation operation)
{
    return operation == BackendOperation::Execute || operation == BackendOperation::Begin;
}

/// The clocks of proxies differ by much more than the length of a run and change with each restart, as on a replaced
/// machine. This exposes code that takes a time of another instance for a time of its own clock.
constexpr Duration clockSpread = std::chrono::seconds(997);
constexpr Duration restartSpread = std::chrono::seconds(113);

} // namespace

VirtualFleet::VirtualFleet(VirtualFleetOptions fleetOptions)
    : options(std::move(fleetOptions)), random(options.seed), queue(fleetStart),
      links(this->options.latency, this->options.jitter, this->random),
      fleetPlatform(this->options, this->queue, this->links, this->trafficCounts,
                    [this](std::uint32_t proxy, std::uint64_t incarnation, Input input) {
                        this->deliver(proxy, incarnation, std::move(input));
                    })
{
    if (this->options.proxy.session.tokenKeys.empty())
        this->options.proxy.session.tokenKeys = {"virtual-fleet-key"};
    const FleetLayout &fleetLayout = this->options.layout;

    // Create the backend servers. The initial primaries are distributed over the failure domains.
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
    this->fleetPlatform.flush();
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
    this->links.cut(left, right);
}

void VirtualFleet::healLink(std::uint32_t left, std::uint32_t right)
{
    this->links.heal(left, right);
    this->deliverHeld();
}

void VirtualFleet::deliverHeld()
{
    for (const std::function<void()> &deliver : this->links.takeReleased())
        deliver();
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
        if (!this->links.isCut(this->callerNode(), proxy))
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

Duration VirtualFleet::clockOffset(std::uint32_t proxy) const
{
    return proxy * clockSpread + static_cast<std::int64_t>(this->proxies[proxy].incarnation) * restartSpread;
}

void VirtualFleet::step(std::uint32_t proxy, const Input &input)
{
    if (!this->proxies[proxy].core)
        return;
    Actions actions;
    this->proxies[proxy].core->step(this->now() + this->clockOffset(proxy), input, actions);
    for (Action &action : actions)
        this->perform(proxy, action);
}

void VirtualFleet::perform(std::uint32_t proxy, Action &action)
{
    // A fault injected by a handler may have ended the proxy between two actions.
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
                this->fleetPlatform.call(proxy, this->proxies[proxy].incarnation, content.call);
            } else if constexpr (std::is_same_v<Content, WriteLog>) {
                if (this->logHandler)
                    this->logHandler(proxy, content);
            } else if constexpr (std::is_same_v<Content, StopProcess>) {
                this->record.stopped(this->now(), proxy);
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
    if (!this->proxies[to].core)
        return;
    const std::uint64_t receiver = this->proxies[to].incarnation;
    if (this->links.isCut(from, to)) {
        this->links.hold(from, to, [this, from, to, receiver, content = std::move(message)] {
            this->deliver(to, receiver,
                          PeerMessageArrived{.from = InstanceId{.index = from, .generation = 0}, .message = content});
        });
        return;
    }
    this->queue.add(this->links.orderedArrival(this->now(), from, to), [this, from, to, receiver,
                                                                        content = std::move(message)] {
        if (!this->links.isCut(from, to)) {
            this->deliver(to, receiver,
                          PeerMessageArrived{.from = InstanceId{.index = from, .generation = 0}, .message = content});
        }
    });
}

// Callers.

void VirtualFleet::send(std::uint32_t proxy, const CallerRequest &request)
{
    this->queue.add(this->now() + this->options.callerLatency, [this, proxy, request] {
        if (this->links.isCut(this->callerNode(), proxy))
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
        if (this->proxies[proxy].tickets.contains(ticket) && !this->links.isCut(this->callerNode(), proxy)) {
            this->queue.add(this->now() + this->options.callerLatency,
                            [this, proxy, ticket, incarnation = this->proxies[proxy].incarnation] {
                                this->deliver(proxy, incarnation, CallerDisconnected{.ticket = ticket});
                            });
        }
    }
}

void VirtualFleet::answerCaller(std::uint32_t proxy, CallerAnswer answer)
{
    this->proxies[proxy].tickets.erase(answer.ticket);
    if (this->links.isCut(this->callerNode(), proxy))
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

    // The server opens the session one latency before the proxy is notified.
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
                        if (this->links.isCut(proxy, this->backendNode(backend))) {
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
    if (this->links.isCut(proxy, this->backendNode(backend)))
        connection.silent = true;
    if (!connection.silent) {
        this->queue.add(this->links.orderedArrival(this->now(), connection.lastToBackend),
                        [this, number, backend, proxy, request = std::move(action.request)] {
                            const auto found = this->connections.find(number);
                            if (found == this->connections.end() || found->second.silent)
                                return;
                            if (this->links.isCut(proxy, this->backendNode(backend))) {
                                found->second.silent = true;
                                return;
                            }
                            BackendNode &node = this->backends[backend];
                            if (!node.up || !found->second.openAtBackend) {
                                this->connectionLost(number); // data on a closed connection is answered with a reset
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
    // If the close cannot reach the server, the server closes the session after its own timeout.
    const bool lost = connection.silent || this->links.isCut(connection.proxy, this->backendNode(connection.backend));
    const TimePoint arrival = lost ? this->now() + this->options.deadSessionTimeout
                                   : std::max(this->links.orderedArrival(this->now(), connection.lastToBackend),
                                              this->now() + this->options.latency);
    this->queue.add(arrival, [this, session] { this->closeAtBackend(session); });
}

void VirtualFleet::closeAtBackend(std::uint64_t session)
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
    if (found->second.silent || this->links.isCut(found->second.proxy, this->backendNode(found->second.backend)))
        return;
    this->queue.add(this->links.orderedArrival(this->now(), found->second.lastToProxy), [this, session] {
        const auto lost = this->connections.find(session);
        if (lost == this->connections.end() || lost->second.silent || !lost->second.openAtProxy)
            return;
        const Connection connection = lost->second;
        if (this->links.isCut(connection.proxy, this->backendNode(connection.backend)))
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
            if (this->links.isCut(connection.proxy, this->backendNode(backend))) {
                connection.silent = true;
                continue;
            }
            const WireEvent event{.point = WirePoint::AnswerSent,
                                  .operation = connection.operation,
                                  .proxy = connection.proxy,
                                  .backend = backend,
                                  .write = connection.write};
            this->queue.add(
                this->links.orderedArrival(this->now(), connection.lastToProxy),
                [this, session, content = std::move(answer->answer)] {
                    const auto target = this->connections.find(session);
                    if (target == this->connections.end() || target->second.silent || !target->second.openAtProxy)
                        return;
                    const Connection &to = target->second;
                    if (this->links.isCut(to.proxy, this->backendNode(to.backend))) {
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

    // Schedule a wake-up for the server's next event. Earlier wake-ups have no effect.
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
    if (!this->backends[to].up)
        return;
    auto deliver = [this, from, to, fromNode, toNode, starts = this->backends[to].starts,
                    content = std::move(message)] {
        BackendNode &target = this->backends[to];
        if (this->links.isCut(fromNode, toNode) || !target.up || target.starts != starts)
            return;
        target.server->replicate(this->now(), this->options.layout.backends[from].name, content);
        this->flushBackend(to);
    };
    if (this->links.isCut(fromNode, toNode))
        this->links.hold(fromNode, toNode, std::move(deliver));
    else
        this->queue.add(this->links.orderedArrival(this->now(), fromNode, toNode), std::move(deliver));
}

void VirtualFleet::killBackend(std::uint32_t backend)
{
    BackendNode &node = this->backends[backend];
    if (!node.up)
        return;
    // Outputs sent before the kill are still delivered. Closing the sessions rolls back their open transactions.
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

// Faults.

void VirtualFleet::apply(const Fault &fault)
{
    FaultInjector(*this).apply(fault);
}

void VirtualFleet::healAll()
{
    FaultInjector(*this).healAll();
}

void VirtualFleet::updateOutages()
{
    for (std::uint32_t proxy = 0; proxy < this->proxies.size(); ++proxy) {
        const ProxyNode &node = this->proxies[proxy];
        const bool isUnavailable = !node.core || node.paused || this->links.isCut(proxy, this->callerNode());
        const bool isDisconnected = isUnavailable || this->fleetPlatform.isImpaired() || this->links.hasCut(proxy);
        this->record.observe(this->now(), proxy, isUnavailable, isDisconnected);
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
                                                  .transactionMismatches = server.transactionMismatches(),
                                                  .status = server.status(this->now()),
                                                  .log = server.log(),
                                                  .workStarts = this->backends[backend].workStarts});
    }
    history.ruleChanges = this->fleetPlatform.acceptedChanges();
    this->record.fillHistory(this->now(), history);
}

} // namespace Jujubekeel
