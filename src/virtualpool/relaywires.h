#pragma once

#include "core/time.h"
#include "pool/poolids.h"
#include "pool/poolmessages.h"
#include "virtualfleet/eventqueue.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Jujubekeel {

class PoolCore;

/// Connections between the instances of a VirtualPool, on which one relays the work of its callers to another. Owned by
/// VirtualPool.
class RelayWires final
{
public:
    struct Callbacks
    {
        /// Runs work at an instance unless it has restarted since \a boot.
        std::function<void(std::size_t instance, std::uint64_t boot, std::function<void(PoolCore &core)> work)> input;
        std::function<std::uint64_t(std::size_t instance)> boot;
        /// The core of an instance that runs and is in reach of the other; null if there is none.
        std::function<PoolCore *(std::size_t from, std::size_t to)> core;
    };

    RelayWires(EventQueue &eventQueue, Duration oneWay, Callbacks wireCallbacks)
        : events(eventQueue), delay(oneWay), callbacks(std::move(wireCallbacks))
    {
    }

    [[nodiscard]] static std::string address(std::size_t instance) { return "relay:" + std::to_string(instance); }
    [[nodiscard]] static bool isRelay(const std::string &address) { return address.starts_with("relay:"); }

    void open(std::size_t from, LinkId link, const std::string &address);
    /// Returns false if the link is not one of these.
    bool send(std::size_t from, LinkId link, const ServerCommand &command);
    bool close(std::size_t from, LinkId link);
    /// An instance has ended; the others see their connections break.
    void instanceEnded(std::size_t instance);

    /// What the instance says to the session of a relayed link. Returns false if the session is not one of these.
    bool reply(std::size_t instance, SessionId session, const CallerReply &reply);
    bool greet(std::size_t instance, SessionId session);
    bool refuse(std::size_t instance, SessionId session, const OutcomeError &error);
    bool hangUp(std::size_t instance, SessionId session);

private:
    using Key = std::pair<std::size_t, std::uint64_t>; ///< instance and packed link or session
    struct Wire
    {
        std::size_t from = 0;
        std::uint64_t fromBoot = 0;
        LinkId link;
        std::size_t to = 0;
        std::uint64_t toBoot = 0;
        SessionId session;
    };

    [[nodiscard]] std::optional<Wire> wireOf(std::size_t instance, SessionId session) const;
    void remove(const Wire &wire);
    void deliver(const Wire &wire, ServerMessage message);
    void endLink(const Wire &wire, bool refused);

    EventQueue &events;
    Duration delay;
    Callbacks callbacks;
    std::map<Key, Wire> byLink;
    std::map<Key, Key> linkOfSession;
};

} // namespace Jujubekeel
