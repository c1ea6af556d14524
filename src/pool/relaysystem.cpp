#include "pool/relaysystem.h"

#include "leadership/fleetview.h"
#include "pool/linksystem.h"
#include "pool/poolworld.h"
#include "pool/resultsystem.h"

#include <vector>

namespace Jujubekeel {

RelaySystem::RelaySystem(PoolWorld &poolWorld, LinkSystem &linkSystem, ResultSystem &resultSystem)
    : world(poolWorld), links(linkSystem), results(resultSystem), role(FleetRole::Undecided)
{
}

void RelaySystem::start()
{
    // The members' service has no name, so that no route can refer to it.
    this->world.relayService =
        this->world.services.insert(ServiceRow{.positions = PositionHistory(PositionHistoryOptions{})});
}

void RelaySystem::update(const FleetView &view)
{
    std::vector<std::string> ended;
    for (const auto &[instance, server] : this->world.memberById) {
        const FleetView::Member *member = view.member(instance);
        if (member == nullptr || member->record.isEvicted())
            ended.push_back(instance);
    }
    for (const std::string &instance : ended)
        this->removeMember(instance);
    for (const auto &[instance, member] : view.members()) {
        const bool takesWork = !member.record.isEvicted() && !member.record.relayAddress.empty()
                               && member.record.state != MemberState::Joining;
        if (takesWork && instance != this->world.options.instance)
            this->listMember(instance, member.record);
    }
    if (this->role != this->world.role)
        this->applyRole();
}

void RelaySystem::listMember(const std::string &instance, const MemberRecord &record)
{
    const auto found = this->world.memberById.find(instance);
    if (found != this->world.memberById.end()) {
        const ServerEntry &entry = this->world.servers.at(found->second).entry;
        if (entry.address == record.relayAddress && entry.incarnation == record.incarnation) {
            if (record.state == MemberState::Leaving && !entry.draining) {
                this->world.servers.at(found->second).entry.draining = true;
                this->links.closeFree(found->second);
            }
            return;
        }
        // The instance has restarted: work that ran at its former process is lost.
        this->removeMember(instance);
    }
    const ServerId id =
        this->world.servers.insert(ServerRow{.entry = ServerEntry{.id = instance,
                                                                  .service = {},
                                                                  .address = record.relayAddress,
                                                                  .failureDomain = record.failureDomain,
                                                                  .draining = record.state == MemberState::Leaving,
                                                                  .incarnation = record.incarnation},
                                             .service = this->world.relayService,
                                             .isMember = true});
    this->world.memberById.emplace(instance, id);
    this->world.services.at(this->world.relayService).servers.push_back(id);
}

void RelaySystem::removeMember(const std::string &instance)
{
    const ServerId id = this->world.memberById.at(instance);
    this->world.memberById.erase(instance);
    std::erase(this->world.services.at(this->world.relayService).servers, id);
    this->results.serverRemoved(id);
    this->world.servers.erase(id);
}

void RelaySystem::applyRole()
{
    this->role = this->world.role;
    this->world.log(LogLevel::Info, this->world.isRelaying() ? "relays-to-members" : "is-member",
                    {{"members", std::to_string(this->world.memberById.size())}});

    // Links in use are closed when their work has ended.
    std::vector<ServerId> unused;
    this->world.servers.forEach([&](ServerId id, ServerRow &row) {
        if (!this->links.mayConnect(row))
            unused.push_back(id);
    });
    for (const ServerId id : unused)
        this->links.closeFree(id);
}

} // namespace Jujubekeel
