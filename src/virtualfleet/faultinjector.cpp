#include "virtualfleet/faultinjector.h"

#include "virtualfleet/virtualfleet.h"

#include <type_traits>
#include <variant>
#include <vector>

namespace Jujubekeel {

FaultInjector::FaultInjector(VirtualFleet &target) : fleet(target)
{
}

void FaultInjector::apply(const Fault &fault)
{
    const bool isPlannedStop = std::holds_alternative<StopProxy>(fault);
    if (!isPlannedStop)
        this->fleet.record.faultApplied();
    std::visit(
        [this](const auto &content) {
            using Content = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<Content, KillProxy>) {
                this->fleet.record.stopInterrupted(content.proxy);
                this->fleet.endProxy(content.proxy);
            } else if constexpr (std::is_same_v<Content, RestartProxy>) {
                if (!this->fleet.proxies[content.proxy].core)
                    this->fleet.startProxy(content.proxy);
            } else if constexpr (std::is_same_v<Content, PauseProxy>) {
                this->fleet.proxies[content.proxy].paused = this->fleet.proxies[content.proxy].core != nullptr;
            } else if constexpr (std::is_same_v<Content, ResumeProxy>) {
                this->fleet.resumeProxy(content.proxy);
            } else if constexpr (std::is_same_v<Content, StopProxy>) {
                if (this->fleet.proxies[content.proxy].core) {
                    this->fleet.record.stopRequested(this->fleet.now(), content.proxy);
                    this->fleet.deliver(content.proxy, this->fleet.proxies[content.proxy].incarnation, StopRequested{});
                }
            } else if constexpr (std::is_same_v<Content, LeaveInstance>) {
                this->fleet.fleetPlatform.setLeaving(content.proxy, content.leaving);
                this->fleet.fleetPlatform.flush();
            } else if constexpr (std::is_same_v<Content, KillBackend>) {
                this->fleet.killBackend(content.backend);
            } else if constexpr (std::is_same_v<Content, RestartBackend>) {
                this->fleet.restartBackend(content.backend);
            } else if constexpr (std::is_same_v<Content, KillPrimary>) {
                this->fleet.killBackend(this->fleet.primaryOf(content.database));
            } else if constexpr (std::is_same_v<Content, IsolatePrimary>) {
                const std::uint32_t primary = this->fleet.primaryOf(content.database);
                for (const BackendId member : this->fleet.options.layout.databases[content.database].backends) {
                    if (member.index != primary)
                        this->fleet.cutLink(this->fleet.backendNode(primary), this->fleet.backendNode(member.index));
                }
            } else if constexpr (std::is_same_v<Content, IsolateDomain>) {
                this->isolateDomain(content.failureDomain);
            } else if constexpr (std::is_same_v<Content, HealLinks>) {
                this->fleet.links.healAll();
                this->fleet.deliverHeld();
            } else if constexpr (std::is_same_v<Content, SetPlatformDown>) {
                this->fleet.fleetPlatform.setDown(content.down);
            } else if constexpr (std::is_same_v<Content, SetPlatformLatency>) {
                this->fleet.fleetPlatform.setLatency(content.latency);
            } else if constexpr (std::is_same_v<Content, LosePlatformAnswers>) {
                this->fleet.fleetPlatform.loseAnswers(content.count);
            } else if constexpr (std::is_same_v<Content, SetReplicaLag>) {
                for (const BackendId member : this->fleet.options.layout.databases[content.database].backends)
                    this->fleet.backends[member.index].server->setApplyLag(content.lag);
            } else if constexpr (std::is_same_v<Content, SilenceConnection>) {
                this->silenceConnection(content.database);
            } else if constexpr (std::is_same_v<Content, ChangeRules>) {
                this->fleet.fleetPlatform.startOperator(content.author, content.text);
            } else {
                static_assert(std::is_same_v<Content, RaceOperators>);
                this->fleet.fleetPlatform.startOperator("first operator", content.firstText);
                this->fleet.fleetPlatform.startOperator("second operator", content.secondText);
            }
        },
        fault);
    this->fleet.updateOutages();
}

void FaultInjector::healAll()
{
    this->fleet.links.healAll();
    this->fleet.deliverHeld();
    this->fleet.fleetPlatform.restore();
    for (std::uint32_t backend = 0; backend < this->fleet.backends.size(); ++backend) {
        this->fleet.backends[backend].server->setApplyLag(Duration{0});
        this->fleet.restartBackend(backend);
    }
    for (std::uint32_t proxy = 0; proxy < this->fleet.proxies.size(); ++proxy) {
        this->fleet.resumeProxy(proxy);
        if (!this->fleet.proxies[proxy].core)
            this->fleet.startProxy(proxy);
        this->fleet.fleetPlatform.setLeaving(proxy, false);
    }
    this->fleet.fleetPlatform.flush();
    this->fleet.updateOutages();
}

void FaultInjector::isolateDomain(const std::string &failureDomain)
{
    // Cut every link between a node inside and a node outside. Callers still reach the proxies.
    std::vector<std::uint32_t> inside;
    std::vector<std::uint32_t> outside{this->fleet.platformNode()};
    for (std::uint32_t proxy = 0; proxy < this->fleet.proxies.size(); ++proxy) {
        const InstanceSettings &settings = this->fleet.options.layout.instances[proxy];
        (settings.failureDomain == failureDomain ? inside : outside).push_back(this->fleet.proxyNode(proxy));
    }
    for (std::uint32_t backend = 0; backend < this->fleet.backends.size(); ++backend) {
        const BackendSettings &settings = this->fleet.options.layout.backends[backend];
        (settings.failureDomain == failureDomain ? inside : outside).push_back(this->fleet.backendNode(backend));
    }
    for (const std::uint32_t left : inside) {
        for (const std::uint32_t right : outside)
            this->fleet.cutLink(left, right);
    }
}

void FaultInjector::silenceConnection(std::uint32_t database)
{
    // Connections are ordered by age, so this is the oldest open work connection.
    const std::uint32_t primary = this->fleet.primaryOf(database);
    for (auto &[session, connection] : this->fleet.connections) {
        if (connection.backend == primary && !connection.control && connection.openAtBackend && connection.openAtProxy
            && !connection.silent) {
            connection.silent = true;
            return;
        }
    }
}

} // namespace Jujubekeel
