#pragma once

#include "core/proxycore.h"
#include "fakes/fakebackend.h"
#include "fakes/fakeplatform.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Jujubekeel {

struct CoreFleetOptions
{
    std::uint32_t domains = 3;
    std::uint32_t instancesPerDomain = 1;
    ProxyOptions proxy;
};

/// Simulates a few proxies, one database group with a server in each failure domain, and the platform in virtual time
/// steps of one millisecond; every message takes one step. For tests of ownership and authority: it can cut links, stop
/// servers and pause proxies, and records the log events of the proxies. Owned by the test; used by one thread. Names:
/// instances `i0`, `i1`, ..., servers `b0`, `b1`, ..., failure domains `d0`, `d1`, ..., the database `db`, the platform
/// `platform`.
class CoreFleet final
{
public:
    explicit CoreFleet(const CoreFleetOptions &options = {})
    {
        for (std::uint32_t domain = 0; domain < options.domains; ++domain) {
            for (std::uint32_t index = 0; index < options.instancesPerDomain; ++index) {
                const std::string name = "i" + std::to_string(this->layout.instances.size());
                this->layout.instances.push_back({.name = name, .failureDomain = "d" + std::to_string(domain)});
            }
        }
        this->layout.databases.push_back({.name = "db"});
        std::vector<std::string> group;
        for (std::uint32_t domain = 0; domain < options.domains; ++domain) {
            const std::string name = "b" + std::to_string(domain);
            group.push_back(name);
            this->layout.databases.front().backends.push_back(BackendId{.index = domain, .generation = 0});
            this->layout.backends.push_back({.name = name,
                                             .database = DatabaseId{.index = 0, .generation = 0},
                                             .failureDomain = "d" + std::to_string(domain)});
        }
        for (const std::string &name : group) {
            this->servers.push_back(
                std::make_unique<Server>(FakeBackend({.name = name, .group = group, .firstPrimary = group.front()})));
        }
        ProxyOptions proxyOptions = options.proxy;
        proxyOptions.session.tokenKeys = {"key-for-tests"};
        for (const InstanceSettings &instance : this->layout.instances)
            this->fakePlatform.setInstance(this->time, instance.name, false);
        for (std::uint32_t index = 0; index < this->layout.instances.size(); ++index) {
            this->proxies.push_back(std::make_unique<Proxy>(ProxyCore(
                {.layout = this->layout, .proxy = proxyOptions, .self = InstanceId{.index = index, .generation = 0}})));
        }
    }

    [[nodiscard]] TimePoint now() const { return this->time; }
    [[nodiscard]] const World &world(std::uint32_t instance) const { return this->proxies[instance]->core.world(); }
    [[nodiscard]] FakeBackend &server(std::uint32_t index) { return this->servers[index]->backend; }
    [[nodiscard]] FakePlatform &platform() { return this->fakePlatform; }
    [[nodiscard]] ServerStatus status(std::uint32_t index) const
    {
        return this->servers[index]->backend.status(this->time);
    }

    void run(Duration duration)
    {
        const TimePoint end = this->time + duration;
        while (this->time < end)
            this->step();
    }
    /// Runs until the condition is true; returns false if that does not happen within \a limit.
    template <typename Condition>
    bool runUntil(Duration limit, Condition &&condition)
    {
        const TimePoint end = this->time + limit;
        while (!condition()) {
            if (this->time >= end)
                return false;
            this->step();
        }
        return true;
    }

    // Faults. Nodes are given by name. A cut link drops messages without notification.
    void cut(const std::string &left, const std::string &right) { this->cuts.insert(std::minmax(left, right)); }
    void heal() { this->cuts.clear(); }
    /// Cuts every link between \a inside and all other nodes.
    void isolate(const std::vector<std::string> &inside)
    {
        for (const std::string &name : inside) {
            for (const std::string &other : this->nodes()) {
                if (std::ranges::find(inside, other) == inside.end())
                    this->cut(name, other);
            }
        }
    }
    /// Kills a server; its connections close.
    void kill(std::uint32_t server)
    {
        Server &row = *this->servers[server];
        row.running = false;
        for (auto iterator = this->sessions.begin(); iterator != this->sessions.end();) {
            if (iterator->second.server != server) {
                ++iterator;
                continue;
            }
            row.backend.close(this->time, iterator->first);
            this->toProxy(iterator->second.instance, ConnectionLost{.connection = iterator->second.connection});
            iterator = this->sessions.erase(iterator);
        }
    }
    void restart(std::uint32_t server) { this->servers[server]->running = true; }
    /// Delays all later answers of a server to proxies; its replication is not delayed.
    void delayAnswers(std::uint32_t server, Duration delay) { this->servers[server]->answerDelay = delay; }
    void pause(std::uint32_t instance) { this->proxies[instance]->paused = true; }
    void resume(std::uint32_t instance) { this->proxies[instance]->paused = false; }
    /// Ends an instance; its connections close.
    void stop(std::uint32_t instance)
    {
        this->proxies[instance]->stopped = true;
        std::vector<std::uint64_t> closed;
        for (const auto &[id, session] : this->sessions) {
            if (session.instance == instance)
                closed.push_back(id);
        }
        for (const std::uint64_t id : closed) {
            this->servers[this->sessions.at(id).server]->backend.close(this->time, id);
            this->sessions.erase(id);
        }
    }
    void input(std::uint32_t instance, const Input &input) { this->toProxy(instance, input); }
    /// Opens a control connection as \a instance, sends one request that no proxy of the fleet sent, and closes it.
    void request(std::uint32_t server, const std::string &instance, BackendRequest request)
    {
        const std::uint64_t session = this->nextSession++;
        request.serial = 1;
        request.instance = instance;
        this->servers[server]->backend.open(this->time, session, {.instance = instance, .control = true});
        this->servers[server]->backend.request(this->time, session, request);
        this->servers[server]->backend.close(this->time, session);
    }

    // Observations.
    /// Number of log lines with the event \a event, over all instances.
    [[nodiscard]] std::size_t logged(const std::string &event) const
    {
        return static_cast<std::size_t>(std::ranges::count(this->events, event));
    }
    [[nodiscard]] const std::vector<CallerAnswer> &answers() const { return this->callerAnswers; }
    /// Sum of a counter over all instances.
    [[nodiscard]] std::uint64_t counter(const std::string &name) const
    {
        std::uint64_t sum = 0;
        for (const auto &proxy : this->proxies)
            sum += proxy->core.world().counters.value(name);
        return sum;
    }
    /// Index of the instance that holds the lock of a server, or -1.
    [[nodiscard]] int holder(std::uint32_t server) const
    {
        return static_cast<int>(this->layout.findInstance(this->status(server).lockHolder).index);
    }
    /// Whether each running server has an owner.
    [[nodiscard]] bool allOwned() const
    {
        for (std::uint32_t index = 0; index < this->servers.size(); ++index) {
            if (this->servers[index]->running && this->holder(index) < 0)
                return false;
        }
        return true;
    }
    /// Index of the server that an instance uses as the primary, or -1.
    [[nodiscard]] int knownPrimary(std::uint32_t instance) const
    {
        return static_cast<int>(this->world(instance).databases.front().primary.index);
    }
    [[nodiscard]] bool allHavePrimary(int server) const
    {
        for (std::uint32_t index = 0; index < this->proxies.size(); ++index) {
            if (!this->proxies[index]->stopped && this->knownPrimary(index) != server)
                return false;
        }
        return true;
    }
    /// Index of the first instance that acts as the coordinator of the database; 0 if there is none.
    [[nodiscard]] std::uint32_t coordinator() const
    {
        for (std::uint32_t index = 0; index < this->proxies.size(); ++index) {
            if (this->world(index).databases.front().promotion.isCoordinator)
                return index;
        }
        return 0;
    }

private:
    struct Server
    {
        explicit Server(FakeBackend newBackend) : backend(std::move(newBackend)) {}
        FakeBackend backend;
        bool running = true;
        Duration answerDelay{0};
    };
    struct Proxy
    {
        explicit Proxy(ProxyCore newCore) : core(std::move(newCore)) {}
        ProxyCore core;
        std::deque<Input> inbox;
        bool paused = false;
        bool stopped = false;
    };
    struct Session
    {
        std::uint32_t instance = 0;
        std::uint32_t server = 0;
        ConnectionId connection;
    };
    struct DelayedAnswer
    {
        TimePoint due{0};
        std::uint32_t instance = 0;
        BackendAnswered answered;
    };
    struct InFlight
    {
        TimePoint due{0};
        std::uint32_t instance = 0; ///< sender
        Action action;
    };

    [[nodiscard]] std::vector<std::string> nodes() const
    {
        std::vector<std::string> names{"platform"};
        for (const InstanceSettings &row : this->layout.instances)
            names.push_back(row.name);
        for (const BackendSettings &row : this->layout.backends)
            names.push_back(row.name);
        return names;
    }
    [[nodiscard]] bool isCut(const std::string &left, const std::string &right) const
    {
        return this->cuts.contains(std::minmax(left, right));
    }
    void toProxy(std::uint32_t instance, const Input &input)
    {
        if (!this->proxies[instance]->stopped)
            this->proxies[instance]->inbox.push_back(input);
    }

    void step()
    {
        this->time += std::chrono::milliseconds(1);

        // Deliver the messages of the previous step.
        for (const InFlight &item : std::exchange(this->inFlight, {}))
            this->deliver(item);
        for (std::uint32_t index = 0; index < this->servers.size(); ++index) {
            if (this->servers[index]->running)
                this->servers[index]->backend.advance(this->time);
            this->collect(index);
        }
        std::erase_if(this->delayedAnswers, [&](const DelayedAnswer &delayed) {
            if (delayed.due > this->time)
                return false;
            this->toProxy(delayed.instance, delayed.answered);
            return true;
        });
        this->fakePlatform.advance(this->time);
        for (const FakePlatformOutput &output : this->fakePlatform.takeOutputs()) {
            if (!this->isCut("platform", this->layout.instances[output.client].name))
                this->toProxy(static_cast<std::uint32_t>(output.client), PlatformAnswered{.answer = output.answer});
        }

        // Run the proxies. Each one gets a tick every 10 ms.
        for (std::uint32_t index = 0; index < this->proxies.size(); ++index) {
            Proxy &proxy = *this->proxies[index];
            if (proxy.paused || proxy.stopped)
                continue;
            if (this->time.count() / 1000 % 10 == index % 10)
                proxy.inbox.push_back(Tick{});
            while (!proxy.inbox.empty()) {
                const Input next = std::move(proxy.inbox.front());
                proxy.inbox.pop_front();
                Actions actions;
                proxy.core.step(this->time, next, actions);
                for (Action &action : actions)
                    this->send(index, std::move(action));
            }
        }
    }

    void send(std::uint32_t instance, Action action)
    {
        if (const auto *line = std::get_if<WriteLog>(&action))
            this->events.push_back(line->event);
        else if (auto *answer = std::get_if<AnswerCaller>(&action))
            this->callerAnswers.push_back(std::move(answer->answer));
        else
            this->inFlight.push_back({.due = this->time, .instance = instance, .action = std::move(action)});
    }

    [[nodiscard]] std::uint64_t findSession(std::uint32_t instance, ConnectionId connection) const
    {
        for (const auto &[id, session] : this->sessions) {
            if (session.instance == instance && session.connection == connection)
                return id;
        }
        return 0;
    }

    void deliver(const InFlight &item)
    {
        const std::string &from = this->layout.instances[item.instance].name;
        if (const auto *opening = std::get_if<OpenConnection>(&item.action)) {
            const std::uint32_t server = opening->backend.index;
            if (this->isCut(from, this->layout.backends[server].name))
                return;
            const std::uint64_t session = this->nextSession++;
            const bool ok = this->servers[server]->running
                            && this->servers[server]->backend.open(this->time, session,
                                                                   {.instance = from, .control = opening->control});
            if (ok) {
                this->sessions[session] = {
                    .instance = item.instance, .server = server, .connection = opening->connection};
            }
            this->toProxy(item.instance, ConnectionOpened{.connection = opening->connection, .ok = ok});
        } else if (const auto *request = std::get_if<SendToBackend>(&item.action)) {
            const std::uint64_t session = this->findSession(item.instance, request->connection);
            if (session == 0 || this->isCut(from, this->layout.backends[this->sessions.at(session).server].name))
                return;
            this->servers[this->sessions.at(session).server]->backend.request(this->time, session, request->request);
        } else if (const auto *closing = std::get_if<CloseConnection>(&item.action)) {
            const std::uint64_t session = this->findSession(item.instance, closing->connection);
            if (session == 0)
                return;
            const std::uint32_t server = this->sessions.at(session).server;
            if (!this->isCut(from, this->layout.backends[server].name))
                this->servers[server]->backend.close(this->time, session);
            this->sessions.erase(session);
        } else if (const auto *message = std::get_if<SendToPeer>(&item.action)) {
            if (!this->isCut(from, this->layout.at(message->to).name)) {
                this->toProxy(message->to.index,
                              PeerMessageArrived{.from = InstanceId{.index = item.instance, .generation = 0},
                                                 .message = message->message});
            }
        } else if (const auto *call = std::get_if<CallPlatform>(&item.action)) {
            if (!this->isCut(from, "platform"))
                this->fakePlatform.call(this->time, item.instance, call->call);
        }
    }

    void collect(std::uint32_t index)
    {
        for (const FakeBackendOutput &output : this->servers[index]->backend.takeOutputs()) {
            const std::string &name = this->layout.backends[index].name;
            if (const auto *answer = std::get_if<FakeBackendAnswer>(&output)) {
                const auto found = this->sessions.find(answer->session);
                if (found != this->sessions.end()
                    && !this->isCut(name, this->layout.instances[found->second.instance].name)) {
                    this->delayedAnswers.push_back(
                        {.due = this->time + this->servers[index]->answerDelay,
                         .instance = found->second.instance,
                         .answered = {.connection = found->second.connection, .answer = answer->answer}});
                }
            } else if (const auto *closed = std::get_if<FakeBackendClosed>(&output)) {
                const auto found = this->sessions.find(closed->session);
                if (found == this->sessions.end())
                    continue;
                if (!this->isCut(name, this->layout.instances[found->second.instance].name))
                    this->toProxy(found->second.instance, ConnectionLost{.connection = found->second.connection});
                this->sessions.erase(found);
            } else if (const auto *replication = std::get_if<FakeBackendReplication>(&output)) {
                const std::uint32_t to = this->layout.findBackend(replication->to).index;
                if (this->servers[index]->running && this->servers[to]->running && !this->isCut(name, replication->to))
                    this->servers[to]->backend.replicate(this->time, name, replication->message);
            }
        }
    }

    FleetLayout layout;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::unique_ptr<Proxy>> proxies;
    FakePlatform fakePlatform{FakePlatformOptions{.listLag = Duration{0}}};
    std::map<std::uint64_t, Session> sessions;
    std::vector<InFlight> inFlight;
    std::set<std::pair<std::string, std::string>> cuts;
    std::vector<std::string> events;
    std::vector<CallerAnswer> callerAnswers;
    std::deque<DelayedAnswer> delayedAnswers;
    std::uint64_t nextSession = 1;
    TimePoint time{0};
};

} // namespace Jujubekeel
