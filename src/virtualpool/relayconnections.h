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

/// Connections between the instances of a VirtualPool, over which one relays the statements of its callers to another.
/// An instance sees its end of a connection as a link, the other end as a session. Owned by VirtualPool.
class RelayConnections final
{
public:
    struct Callbacks
    {
        /// Runs \a work on the core of an instance unless the instance has restarted since \a boot.
        std::function<void(std::size_t instance, std::uint64_t boot, std::function<void(PoolCore &core)> work)> input;
        std::function<std::uint64_t(std::size_t instance)> boot; ///< number of starts and kills of an instance
        /// Core of \a to; null if it is down or isolated from \a from.
        std::function<PoolCore *(std::size_t from, std::size_t to)> core;
        /// Called for each message. Returns its one-way delay.
        std::function<Duration(std::size_t from, std::size_t to)> transmit;
    };

    RelayConnections(EventQueue &eventQueue, Callbacks connectionCallbacks)
        : events(eventQueue), callbacks(std::move(connectionCallbacks))
    {
    }

    [[nodiscard]] static std::string address(std::size_t instance) { return "relay:" + std::to_string(instance); }
    [[nodiscard]] static bool isRelay(const std::string &address) { return address.starts_with("relay:"); }

    void open(std::size_t from, LinkId link, const std::string &address);
    /// send() and close() return false if the link is not a relay connection.
    bool send(std::size_t from, LinkId link, const ServerCommand &command);
    bool close(std::size_t from, LinkId link);
    /// Closes all connections of an instance that has ended; the instances at the other ends are notified.
    void instanceEnded(std::size_t instance);

    // Messages from an instance to the session of a relayed caller. They return false if the session is not at the end
    // of a relay connection.
    bool reply(std::size_t instance, SessionId session, const CallerReply &reply);
    bool greet(std::size_t instance, SessionId session);
    bool refuse(std::size_t instance, SessionId session, const OutcomeError &error);
    bool closeSession(std::size_t instance, SessionId session);

private:
    using Key = std::pair<std::size_t, std::uint64_t>; ///< instance and packed link or session
    struct Connection
    {
        std::size_t from = 0;
        std::uint64_t fromBoot = 0;
        LinkId link;
        std::size_t to = 0;
        std::uint64_t toBoot = 0;
        SessionId session;
    };

    [[nodiscard]] std::optional<Connection> connectionOf(std::size_t instance, SessionId session) const;
    void remove(const Connection &connection);
    void deliver(const Connection &connection, ServerMessage message);
    void endLink(const Connection &connection, bool refused);

    EventQueue &events;
    Callbacks callbacks;
    std::map<Key, Connection> byLink;
    std::map<Key, Key> linkOfSession;
};

} // namespace Jujubekeel
