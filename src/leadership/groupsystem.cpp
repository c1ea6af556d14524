#include "leadership/groupsystem.h"

#include "leadership/grouprecord.h"
#include "leadership/leadershipsystem.h"
#include "leadership/registrationsystem.h"
#include "pool/poolworld.h"

#include <algorithm>

namespace Jujubekeel {

GroupSystem::GroupSystem(PoolWorld &poolWorld, const RegistrationSystem &registrationSystem,
                         const LeadershipSystem &leadershipSystem, LeadershipOptions leadershipOptions)
    : world(poolWorld), registration(registrationSystem), leadership(leadershipSystem), options(leadershipOptions)
{
}

void GroupSystem::update()
{
    // Without a configuration it is not known which services have synchronous replicas.
    if (this->registration.fleet().revision() == 0 || !this->world.routes)
        return;
    this->world.forEachDatabase([this](ServiceId, ServiceRow &service) {
        if (this->world.syncReplicas(service.name) > 0) {
            this->updateService(service);
        } else {
            this->dueSince.erase(service.name);
            service.unlisted.forgetEnded(this->world.now);
        }
    });
}

void GroupSystem::updateService(ServiceRow &service)
{
    const FleetView::Group *known = this->registration.fleet().group(service.name);
    std::set<std::string> recorded;
    if (known != nullptr) {
        recorded = known->record.servers;
        std::set<std::string> unlisted = recorded;
        std::erase_if(unlisted, [this](const std::string &server) { return this->world.serverById.contains(server); });
        service.unlisted.recorded(unlisted, this->world.now);
    }
    if (this->intendedServers(service) == recorded)
        this->dueSince.erase(service.name);
    else
        this->dueSince.try_emplace(service.name, this->world.now);
}

std::set<std::string> GroupSystem::intendedServers(const ServiceRow &service) const
{
    std::set<std::string> servers = service.unlisted.holders();
    for (const ServerId server : service.servers)
        servers.insert(this->world.servers.at(server).entry.id);
    return servers;
}

void GroupSystem::check()
{
    this->world.forEachDatabase([this](ServiceId, ServiceRow &service) {
        if (!service.unlisted.empty() && this->world.syncReplicas(service.name) > 0)
            this->updateService(service);
    });
    const bool mayWrite = this->registration.isRegistered() && this->registration.isFleetViewCurrent()
                          && this->world.serversListed && this->world.now >= this->writeAgainAt;
    if (!mayWrite)
        return;
    for (const auto &[name, since] : this->dueSince) {
        if (this->calls.contains(name) || this->world.now - since < this->leadership.rankedDelay(name))
            continue;
        const FleetView::Group *known = this->registration.fleet().group(name);
        const GroupRecord record{
            .servers = this->intendedServers(this->world.services.at(this->world.serviceByName.at(name)))};
        const std::uint64_t call = this->world.takeCall();
        this->calls.emplace(name, call);
        this->world.log(LogLevel::Info, "group-write",
                        {{"service", name},
                         {"servers", std::to_string(record.servers.size())},
                         {"expectedRevision", std::to_string(known == nullptr ? 0 : known->version.revision)}});
        this->world.emit(WriteFleetObject{.call = call,
                                          .name = FleetView::groupName(name),
                                          .expectedRevision = known == nullptr ? 0 : known->version.revision,
                                          .content = record.toText()});
    }
}

void GroupSystem::eraChanged()
{
    this->calls.clear();
    this->world.forEachDatabase([](ServiceId, ServiceRow &service) { service.unlisted.recordLost(); });
}

bool GroupSystem::writeFinished(const WriteOutcome &outcome)
{
    const bool own = std::erase_if(this->calls, [&](const auto &entry) { return entry.second == outcome.call; }) > 0;
    // Also after a success, until the watch shows it.
    if (own)
        this->writeAgainAt = this->world.now + this->options.writeRetryDelay;
    return own;
}

bool GroupSystem::isRecorded(ServiceId id) const
{
    return this->registration.fleet().group(this->world.services.at(id).name) != nullptr;
}

std::uint32_t GroupSystem::countUnlisted(ServiceId id, std::string_view primary) const
{
    const std::set<std::string> holders = this->world.services.at(id).unlisted.holders();
    return static_cast<std::uint32_t>(
        std::count_if(holders.begin(), holders.end(), [&](const std::string &server) { return server != primary; }));
}

} // namespace Jujubekeel
