#include "virtualpool/serverconnections.h"

#include "pool/poolcore.h"

#include <cassert>
#include <iterator>

namespace Jujubekeel {

ServerConnections::ServerConnections(const VirtualPoolOptions &options, EventQueue &eventQueue,
                                     Callbacks connectionCallbacks)
    : events(eventQueue), callbacks(std::move(connectionCallbacks)), refusalDelay(options.farDelay)
{
    std::vector<StatementGroupOptions> all{options.group};
    all.insert(all.end(), options.furtherGroups.begin(), options.furtherGroups.end());
    std::size_t server = 0;
    for (StatementGroupOptions &groupOptions : all) {
        groupOptions.seed = options.seed + this->groups.size();
        this->groups.push_back(std::make_unique<StatementGroup>(
            std::move(groupOptions), this->events,
            StatementGroup::Callbacks{
                .deliver = [this](std::uint64_t connection,
                                  const ServerMessage &message) { this->deliver(connection, message); },
                .dropped = [this](std::uint64_t connection) { this->dropped(connection); }}));
        for (std::size_t index = 0; index < this->groups.back()->size(); ++index)
            this->serverByAddress.emplace(this->groups.back()->id(index), server++);
    }
}

std::pair<StatementGroup *, std::size_t> ServerConnections::locate(std::size_t server) const
{
    auto group = this->groups.begin();
    while (server >= (*group)->size()) {
        server -= (*group)->size();
        ++group;
        assert(group != this->groups.end());
    }
    return {group->get(), server};
}

const std::string &ServerConnections::domain(std::size_t server) const
{
    const auto [group, index] = this->locate(server);
    return group->domain(index);
}

void ServerConnections::open(std::size_t instance, const OpenLink &action)
{
    const std::uint64_t boot = this->callbacks.boot(instance);
    const auto found = this->serverByAddress.find(action.address);
    const bool known = found != this->serverByAddress.end();
    const bool cutOff = known && this->isIsolated(instance, found->second);
    const std::uint64_t connection = this->nextConnection++;
    const auto accepts = [&] {
        const auto [group, index] = this->locate(found->second);
        return group->connect(index, connection);
    };
    if (!cutOff && !(known && accepts())) {
        this->events.add(this->events.now() + this->refusalDelay, [this, instance, boot, link = action.link] {
            this->callbacks.input(instance, boot, [this, link](PoolCore &core) {
                core.linkDisconnected(this->events.now(), link, LinkEnd::Refused);
            });
        });
        return;
    }
    this->connections.emplace(
        connection, Connection{.instance = instance, .boot = boot, .link = action.link, .server = found->second});
    this->connectionOf[{instance, action.link.packed()}] = connection;
    if (cutOff)
        return;
    this->events.add(this->events.now() + 2 * this->callbacks.delay(instance, this->domain(found->second)),
                     [this, instance, boot, link = action.link] {
                         this->callbacks.input(instance, boot, [this, link](PoolCore &core) {
                             core.linkConnected(this->events.now(), link);
                         });
                     });
}

void ServerConnections::send(std::size_t instance, LinkId link, const ServerCommand &command)
{
    const auto found = this->connectionOf.find({instance, link.packed()});
    if (found == this->connectionOf.end())
        return;
    const std::size_t server = this->connections.at(found->second).server;
    if (this->isIsolated(instance, server))
        return;
    this->callbacks.countMessage(instance, this->domain(server));
    this->callbacks.sent(instance, link, command);
    this->events.add(this->events.now() + this->callbacks.delay(instance, this->domain(server)),
                     [this, connection = found->second, server, sent = command] {
                         this->groupOf(server).receive(connection, sent);
                     });
}

void ServerConnections::close(std::size_t instance, LinkId link)
{
    const auto found = this->connectionOf.find({instance, link.packed()});
    if (found == this->connectionOf.end())
        return;
    const auto row = this->connections.find(found->second);
    this->groupOf(row->second.server).disconnect(found->second);
    this->connections.erase(row);
    this->connectionOf.erase(found);
}

void ServerConnections::instanceEnded(std::size_t instance)
{
    for (auto row = this->connections.begin(); row != this->connections.end();) {
        const auto next = std::next(row);
        if (row->second.instance == instance) {
            this->groupOf(row->second.server).disconnect(row->first);
            this->connections.erase(row);
        }
        row = next;
    }
    std::erase_if(this->connectionOf, [&](const auto &entry) { return entry.first.first == instance; });
}

void ServerConnections::isolate(std::size_t instance, std::size_t server, bool isIsolated)
{
    if (isIsolated)
        this->isolated.emplace(instance, server);
    else
        this->isolated.erase({instance, server});
}

bool ServerConnections::promote(const std::string &id)
{
    const auto found = this->serverByAddress.find(id);
    if (found == this->serverByAddress.end())
        return false;
    const auto [group, index] = this->locate(found->second);
    return group->promote(index);
}

void ServerConnections::setListed(std::size_t server, bool listed)
{
    const auto [group, index] = this->locate(server);
    if (listed)
        this->unlisted.erase(group->id(index));
    else
        this->unlisted.insert(group->id(index));
}

std::vector<ServerEntry> ServerConnections::entries() const
{
    std::vector<ServerEntry> listed;
    for (const auto &group : this->groups) {
        for (std::size_t server = 0; server < group->size(); ++server) {
            if (!group->isRunning(server) || this->unlisted.contains(group->id(server)))
                continue;
            listed.push_back(ServerEntry{.id = group->id(server),
                                         .service = group->settings().service,
                                         .address = group->id(server),
                                         .failureDomain = group->domain(server),
                                         .slots = group->settings().slots,
                                         .draining = group->isDraining(server),
                                         .claimsPrimary = group->isPrimary(server),
                                         .incarnation = group->incarnation(server)});
        }
    }
    return listed;
}

void ServerConnections::deliver(std::uint64_t connection, const ServerMessage &message)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end() || this->isIsolated(found->second.instance, found->second.server))
        return;
    const Connection row = found->second;
    this->callbacks.countMessage(row.instance, this->domain(row.server));
    this->events.add(this->events.now() + this->callbacks.delay(row.instance, this->domain(row.server)),
                     [this, row, message] {
                         this->callbacks.input(row.instance, row.boot, [this, row, message](PoolCore &core) {
                             core.linkMessageReceived(this->events.now(), row.link, message);
                         });
                     });
}

void ServerConnections::dropped(std::uint64_t connection)
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end())
        return;
    const Connection row = found->second;
    this->events.add(this->events.now() + this->callbacks.delay(row.instance, this->domain(row.server)), [this, row] {
        this->callbacks.input(row.instance, row.boot, [this, row](PoolCore &core) {
            core.linkDisconnected(this->events.now(), row.link, LinkEnd::Broken);
        });
    });
}

} // namespace Jujubekeel
