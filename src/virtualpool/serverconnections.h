#pragma once

#include "catalog/serverentry.h"
#include "core/time.h"
#include "pool/poolids.h"
#include "pool/poolmessages.h"
#include "virtualfleet/eventqueue.h"
#include "virtualpool/statementgroup.h"
#include "virtualpool/virtualpooloptions.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

class PoolCore;
struct OpenLink;

/// The groups of backend servers of a VirtualPool, and the connections of its instances to them. Servers are numbered
/// over all groups, those of the first group first. Owned by VirtualPool.
class ServerConnections final
{
public:
    struct Callbacks
    {
        /// Runs \a work on the core of an instance unless the instance has restarted since \a boot.
        std::function<void(std::size_t instance, std::uint64_t boot, std::function<void(PoolCore &core)> work)> input;
        std::function<std::uint64_t(std::size_t instance)> boot; ///< number of starts and kills of an instance
        /// One-way delay between an instance and a failure domain.
        std::function<Duration(std::size_t instance, const std::string &domain)> delay;
        /// Called for each message between an instance and a failure domain.
        std::function<void(std::size_t instance, const std::string &domain)> countMessage;
        /// Called for each command that reaches the network.
        std::function<void(std::size_t instance, LinkId link, const ServerCommand &command)> sent;
    };

    ServerConnections(const VirtualPoolOptions &options, EventQueue &eventQueue, Callbacks connectionCallbacks);

    void open(std::size_t instance, const OpenLink &action);
    void send(std::size_t instance, LinkId link, const ServerCommand &command);
    void close(std::size_t instance, LinkId link);
    /// Closes all connections of an instance that has ended.
    void instanceEnded(std::size_t instance);
    /// Drops all messages between an instance and a server without closing their connections.
    void isolate(std::size_t instance, std::size_t server, bool isolated);
    /// Starts the promotion of a server by its id. Returns false if it does not run.
    bool promote(const std::string &id);

    [[nodiscard]] std::size_t groupCount() const { return this->groups.size(); }
    [[nodiscard]] StatementGroup &group(std::size_t index) { return *this->groups.at(index); }
    /// Group of a server, and its index there.
    [[nodiscard]] std::pair<StatementGroup *, std::size_t> locate(std::size_t server) const;
    /// Whether the directory has the entry of a server while it runs.
    void setListed(std::size_t server, bool listed);
    /// Entries of all running servers, as the directory lists them.
    [[nodiscard]] std::vector<ServerEntry> entries() const;

private:
    using LinkKey = std::pair<std::size_t, std::uint64_t>; ///< instance and packed link
    struct Connection
    {
        std::size_t instance = 0;
        std::uint64_t boot = 0;
        LinkId link;
        std::size_t server = 0;
    };

    void deliver(std::uint64_t connection, const ServerMessage &message);
    void dropped(std::uint64_t connection);
    [[nodiscard]] bool isIsolated(std::size_t instance, std::size_t server) const
    {
        return this->isolated.contains({instance, server});
    }
    [[nodiscard]] const std::string &domain(std::size_t server) const;
    [[nodiscard]] StatementGroup &groupOf(std::size_t server) const { return *this->locate(server).first; }

    EventQueue &events;
    Callbacks callbacks;
    Duration refusalDelay; ///< until an instance learns that a server does not run
    std::vector<std::unique_ptr<StatementGroup>> groups;
    std::map<std::string, std::size_t> serverByAddress;
    std::map<std::uint64_t, Connection> connections; ///< by connection
    std::map<LinkKey, std::uint64_t> connectionOf;
    std::set<std::pair<std::size_t, std::size_t>> isolated; ///< instance and server
    std::set<std::string> unlisted;                         ///< ids of servers whose entries have lapsed
    std::uint64_t nextConnection = 1;
};

} // namespace Jujubekeel
