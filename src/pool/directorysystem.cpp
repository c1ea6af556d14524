#include "pool/directorysystem.h"

#include "pool/dispatchsystem.h"
#include "pool/linksystem.h"
#include "pool/poolworld.h"
#include "pool/resultsystem.h"

#include <algorithm>
#include <functional>

namespace Jujubekeel {

namespace {

/// Servers that still run write their entries again within 2 s of the end of a store outage.
constexpr Duration missingEntryGrace = std::chrono::milliseconds(2500);

} // namespace

ServiceId DirectorySystem::addService(const std::string &name)
{
    const auto found = this->world.serviceByName.find(name);
    if (found != this->world.serviceByName.end())
        return found->second;
    const PoolOptions &options = this->world.options;
    // Entries that lapsed during an outage of the store are not those of a new service.
    const TimePoint listedAt = this->world.serversFirstListedAt;
    const bool isNew = listedAt.count() != 0 && this->world.now - listedAt >= missingEntryGrace;
    const ServiceId id = this->world.services.insert(ServiceRow{
        .name = name,
        .isNew = this->world.options.firstStart || isNew,
        .positions = PositionHistory({.interval = options.sampleInterval, .retention = options.sampleRetention})});
    this->world.serviceByName.emplace(name, id);
    return id;
}

void DirectorySystem::servicesChanged()
{
    this->world.services.forEach([this](ServiceId id, ServiceRow &) { this->dispatch.dispatchQueued(id); });
}

ServerId DirectorySystem::addServer(const ServerEntry &entry)
{
    const ServiceId service = this->addService(entry.service);
    const ServerId id = this->world.servers.insert(ServerRow{.entry = entry, .service = service});
    this->world.serverById.insert_or_assign(entry.id, id);
    this->world.services.at(service).servers.push_back(id);
    this->world.services.at(service).unlisted.added(entry.id, entry.address);
    this->world.services.at(service).serverAddedAt = this->world.now;
    ServerRow &row = this->world.servers.at(id);
    row.drainingSince = entry.draining ? this->world.now : TimePoint{0};
    row.pace = ServerPace({.seed = std::hash<std::string>{}(this->world.options.instance + entry.id)});
    this->world.log(LogLevel::Info, "server-listed",
                    {{"server", entry.id},
                     {"service", entry.service},
                     {"address", entry.address},
                     {"domain", entry.failureDomain},
                     {"primary", entry.claimsPrimary ? "true" : "false"},
                     {"draining", entry.draining ? "true" : "false"}});
    return id;
}

void DirectorySystem::entryChanged(const ServerEntry &entry)
{
    const auto found = this->world.serverById.find(entry.id);
    ServerId id;
    if (found == this->world.serverById.end()) {
        id = this->addServer(entry);
    } else if (this->world.servers.at(found->second).entry.service != entry.service) {
        this->remove(found->second, "the server has moved to another service");
        id = this->addServer(entry);
    } else {
        id = found->second;
        this->update(id, entry);
    }
    const ServerRow &row = this->world.servers.at(id);
    if (row.links.empty() && !entry.draining)
        this->links.ensureOpening(id);
    this->dispatch.dispatchQueued(row.service);
}

void DirectorySystem::update(ServerId id, const ServerEntry &entry)
{
    ServerRow &row = this->world.servers.at(id);
    const bool restarted = row.entry.incarnation != entry.incarnation;
    const bool moved = row.entry.address != entry.address;
    const bool startsDraining = entry.draining && !row.entry.draining;
    // A server that leaves does so until it restarts; another entry of the same process comes from an older copy of the
    // store.
    const bool stillDraining = row.entry.draining && !restarted && entry.incarnation != 0;
    row.entry = entry;
    row.entry.draining = entry.draining || stillDraining;
    row.missingSince = TimePoint{0};
    if (!row.entry.draining)
        row.drainingSince = TimePoint{0};
    if (restarted || moved) {
        // The state was that of another process or address.
        row.applied = LogPosition{};
        row.laggingUntil = TimePoint{0};
        row.retryAt = TimePoint{0};
        row.retryDelay = Duration{0};
        row.unreachableSince = TimePoint{0};
        row.pace.reset(this->world.now);
        this->links.closeFree(id);
    }
    if (startsDraining) {
        row.drainingSince = this->world.now;
        if (this->world.services.at(row.service).primary != id)
            this->links.closeFree(id);
    }
    if (restarted || moved || startsDraining)
        this->world.log(LogLevel::Info, "server-changed",
                        {{"server", entry.id},
                         {"service", entry.service},
                         {"address", entry.address},
                         {"restarted", restarted ? "true" : "false"},
                         {"draining", entry.draining ? "true" : "false"}});
}

void DirectorySystem::entryRemoved(std::string_view entryId)
{
    const auto found = this->world.serverById.find(std::string(entryId));
    if (found == this->world.serverById.end())
        return;
    ServerRow &row = this->world.servers.at(found->second);
    if (row.entry.draining || row.links.empty()) {
        this->remove(found->second, "the entry was removed");
        return;
    }
    if (row.missingSince.count() != 0)
        return;
    row.missingSince = this->world.now;
    this->world.timers.add(this->world.now + missingEntryGrace, TimerKind::ServerMissing, found->second.packed());
}

void DirectorySystem::checkMissing(ServerId id)
{
    const ServerRow *row = this->world.servers.find(id);
    if (row == nullptr || row->missingSince.count() == 0 || this->world.now - row->missingSince < missingEntryGrace)
        return;
    this->remove(id, "the entry was removed and not written again in time");
}

void DirectorySystem::entriesListed(const std::vector<ServerEntry> &entries)
{
    std::vector<std::string> unlisted;
    for (const auto &known : this->world.serverById) {
        const bool listed = std::any_of(entries.begin(), entries.end(),
                                        [&](const ServerEntry &entry) { return entry.id == known.first; });
        if (!listed)
            unlisted.push_back(known.first);
    }
    std::sort(unlisted.begin(), unlisted.end());
    for (const std::string &id : unlisted)
        this->entryRemoved(id);
    for (const ServerEntry &entry : entries)
        this->entryChanged(entry);
}

void DirectorySystem::remove(ServerId id, std::string_view reason)
{
    ServerRow &row = this->world.servers.at(id);
    this->world.log(LogLevel::Info, "server-removed",
                    {{"server", row.entry.id}, {"service", row.entry.service}, {"reason", std::string(reason)}});
    this->world.serverById.erase(row.entry.id);
    ServiceRow &service = this->world.services.at(row.service);
    std::erase(service.servers, id);
    if (service.primary == id)
        service.primary = ServerId{};
    const bool hasSuccessor = std::any_of(service.servers.begin(), service.servers.end(), [&](ServerId other) {
        return this->world.servers.at(other).entry.address == row.entry.address;
    });
    service.unlisted.removed(row.entry.id, row.entry.address, row.entry.draining, hasSuccessor, this->world.now);

    // Work in progress on the server ends with its links.
    this->results.serverRemoved(id);
    this->world.servers.erase(id);
}

} // namespace Jujubekeel
