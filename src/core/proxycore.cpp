#include "core/proxycore.h"

#include "core/statehasher.h"

#include <cassert>
#include <type_traits>
#include <utility>

namespace Jujubekeel {

ProxyCore::ProxyCore(ProxyCoreOptions options) : requests(options.proxy.session)
{
    assert(options.self.index < options.layout.instances.size());
    this->state.layout = std::move(options.layout);
    this->state.options = std::move(options.proxy);
    this->state.self = options.self;
    this->state.incarnation = options.incarnation;

    // One row for each entity of the layout.
    const FleetLayout &layout = this->state.layout;
    this->state.instances.resize(layout.instances.size());
    this->state.at(this->state.self).live = true;
    this->state.databases.resize(layout.databases.size());
    for (std::size_t index = 0; index < layout.databases.size(); ++index) {
        this->state.databases[index].backends = layout.databases[index].backends;
        this->state.databaseByName.emplace(layout.databases[index].name,
                                           DatabaseId{.index = static_cast<std::uint32_t>(index), .generation = 0});
    }
    this->state.backends.resize(layout.backends.size());
    this->state.work.resize(layout.backends.size());
    for (std::size_t index = 0; index < layout.backends.size(); ++index)
        this->state.backends[index].database = layout.backends[index].database;
}

void ProxyCore::step(TimePoint now, const Input &input, Actions &actions)
{
    assert(now >= this->state.now);
    this->state.now = now;

    this->dispatch(input, actions);
    this->deliverLocal(actions);

    // Start queued statements, complete confirmed ones and send requested barriers.
    this->executions.advance(this->state, actions);
    this->deliverLocal(actions);
    this->ownership.sendBarriers(this->state, actions);

    // A change of an owner or a primary is announced at once.
    if (this->state.announcementPending) {
        this->state.announcementPending = false;
        this->membership.announce(this->state, actions);
    }
}

void ProxyCore::dispatch(const Input &input, Actions &actions)
{
    std::visit(
        [&](const auto &event) {
            using Event = std::decay_t<decltype(event)>;
            if constexpr (std::is_same_v<Event, Tick>) {
                this->membership.tick(this->state, actions);
                this->ruleDistribution.tick(this->state, actions);
                this->drain.tick(this->state, actions);
                this->ownership.tick(this->state, actions);
                this->confirmation.tick(this->state, actions);
                this->promotion.tick(this->state, actions);
                this->executions.tick(this->state, actions);
                this->requests.tick(this->state, actions);
            } else if constexpr (std::is_same_v<Event, CallerRequestArrived>) {
                this->requests.handle(this->state, event.request, actions);
            } else if constexpr (std::is_same_v<Event, CallerDisconnected>) {
                this->requests.callerDisconnected(this->state, event.ticket);
            } else if constexpr (std::is_same_v<Event, PeerMessageArrived>) {
                this->dispatchPeer(event.from, event.message, actions);
            } else if constexpr (std::is_same_v<Event, PlatformAnswered>) {
                this->membership.handle(this->state, event.answer, actions);
                this->ruleDistribution.handle(this->state, event.answer, actions);
                this->confirmation.handle(this->state, event.answer);
                this->promotion.handle(this->state, event.answer, actions);
            } else if constexpr (std::is_same_v<Event, StopRequested>) {
                this->drain.requestStop(this->state, actions);
                this->membership.announce(this->state, actions);
            } else {
                // Events of a connection go to the system that opened it. A stale id belongs to a connection that is
                // already closed here.
                const ConnectionRow *row = this->state.connections.find(event.connection);
                if (row == nullptr)
                    return;
                const auto forward = [&](auto &system) {
                    if constexpr (std::is_same_v<Event, ConnectionOpened>)
                        system.connectionOpened(this->state, event.connection, event.ok, actions);
                    else if constexpr (std::is_same_v<Event, ConnectionLost>)
                        system.connectionLost(this->state, event.connection, actions);
                    else
                        system.answered(this->state, event.connection, event.answer, actions);
                };
                switch (row->purpose) {
                case ConnectionPurpose::Ownership:
                    forward(this->ownership);
                    break;
                case ConnectionPurpose::Promotion:
                    forward(this->promotion);
                    break;
                case ConnectionPurpose::Work:
                    forward(this->executions);
                    break;
                }
            }
        },
        input);
}

void ProxyCore::dispatchPeer(InstanceId from, const PeerMessage &message, Actions &actions)
{
    std::visit(
        [&](const auto &content) {
            using Content = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<Content, Heartbeat>) {
                this->membership.handle(this->state, from, content, actions);
                this->ruleDistribution.handleAnnouncedVersion(this->state, from, content.rulesVersion, actions);
            } else if constexpr (std::is_same_v<Content, RulesUpdate> || std::is_same_v<Content, RulesQuery>) {
                this->ruleDistribution.handle(this->state, from, content, actions);
            } else if constexpr (std::is_same_v<Content, PromotionNotice>) {
                this->groupMonitor.observePromotion(this->state, content);
            } else if constexpr (std::is_same_v<Content, Handover>) {
                this->ownership.handoverReceived(this->state, content.backend, actions);
            } else if constexpr (std::is_same_v<Content, HolderQuery> || std::is_same_v<Content, HolderAnswer>) {
                this->ownership.handle(this->state, from, content, actions);
            } else if constexpr (std::is_same_v<Content, WritePause> || std::is_same_v<Content, WritesDrained>) {
                this->promotion.handle(this->state, from, content, actions);
            } else if constexpr (std::is_same_v<Content, ForwardRequest>) {
                this->executions.handle(this->state, from, content, actions);
            } else {
                static_assert(std::is_same_v<Content, ForwardAnswer>);
                this->requests.handle(this->state, content, actions);
            }
        },
        message);
}

void ProxyCore::deliverLocal(Actions &actions)
{
    while (!this->state.localMessages.empty()) {
        const PeerMessage message = std::move(this->state.localMessages.front());
        this->state.localMessages.pop_front();
        this->dispatchPeer(this->state.self, message, actions);
    }
}

std::uint64_t ProxyCore::stateHash() const
{
    return hashWorld(this->state);
}

} // namespace Jujubekeel
