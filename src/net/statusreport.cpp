#include "net/statusreport.h"

#include "wire/callerjson.h"

#include <algorithm>

namespace Jujubekeel {

namespace {

using Json = nlohmann::ordered_json;

const char *roleName(BackendRole role)
{
    switch (role) {
    case BackendRole::Unknown:
        return "unknown";
    case BackendRole::Primary:
        return "primary";
    case BackendRole::Replica:
        return "replica";
    }
    return "unknown";
}

const char *ownershipName(OwnershipStep step)
{
    switch (step) {
    case OwnershipStep::None:
        return "none";
    case OwnershipStep::Connecting:
        return "connecting";
    case OwnershipStep::Locking:
        return "locking";
    case OwnershipStep::Terminating:
        return "terminating";
    case OwnershipStep::Owned:
        return "owned";
    case OwnershipStep::Closing:
        return "closing";
    case OwnershipStep::Unlocking:
        return "unlocking";
    }
    return "none";
}

Json milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Json positionToJson(LogPosition position)
{
    return {{"term", position.term}, {"position", position.position}};
}

Json peerToJson(const World &world, InstanceId id, std::span<const PeerLinkState> links)
{
    const InstanceRow &row = world.at(id);
    const InstanceSettings &settings = world.layout.at(id);
    Json json;
    json["name"] = settings.name;
    json["failure_domain"] = settings.failureDomain;
    json["live"] = row.live;
    json["leaving"] = row.leaving;
    json["listed"] = row.listed;
    json["rules_version"] = row.rulesVersion;
    if (row.heard)
        json["heard_ms_ago"] = milliseconds(world.now - row.lastHeard);
    else
        json["heard_ms_ago"] = nullptr;
    const auto link = std::ranges::find(links, settings.name, &PeerLinkState::name);
    json["connected"] = link != links.end() && link->connected;
    json["queued_bytes"] = link != links.end() ? link->queuedBytes : 0;
    return json;
}

Json backendToJson(const World &world, BackendId id)
{
    const BackendRow &row = world.at(id);
    const BackendSettings &settings = world.layout.at(id);
    const bool owned = executesWork(row.ownership.step);
    Json json;
    json["name"] = settings.name;
    json["database"] = world.layout.at(settings.database).name;
    json["failure_domain"] = settings.failureDomain;
    json["owner"] = row.owner.isValid() ? Json(world.layout.at(row.owner).name) : Json();
    json["ownership"] = ownershipName(row.ownership.step);
    json["role"] = roleName(row.role);
    json["primary"] = world.at(settings.database).primary == id;
    json["leaving"] = row.leaving;
    json["applied"] = positionToJson(row.applied);
    json["received"] = positionToJson(row.received);
    if (row.statusAt.count() > 0)
        json["status_age_ms"] = milliseconds(world.now - row.statusAt);
    else
        json["status_age_ms"] = nullptr;
    json["slots"] = settings.slots;
    json["connection_limit"] = settings.connectionLimit;
    // Slots and connections in use are available at the owner only; other instances show its last reported queue
    // length.
    json["slots_in_use"] = owned ? Json(row.slotsInUse) : Json();
    json["connections"] = owned ? Json(row.openConnections) : Json();
    json["queue"] = row.queueLength;
    return json;
}

} // namespace

std::string statusToJson(const World &world, std::span<const PeerLinkState> links)
{
    const InstanceSettings &self = world.layout.at(world.self);
    Json json;
    json["instance"] = self.name;
    json["failure_domain"] = self.failureDomain;
    json["incarnation"] = world.incarnation;
    json["stopping"] = world.stopping;
    json["rules_version"] = world.rules ? Json(world.rules->version()) : Json();
    json["rules_text"] = world.rules ? Json(world.rules->text()) : Json();
    json["requests_in_flight"] = world.entries.size();
    json["executions"] = world.executions.size();
    json["transactions"] = world.transactions.size();
    json["peers"] = Json::array();
    for (std::uint32_t index = 0; index < world.instances.size(); ++index) {
        const InstanceId id{.index = index, .generation = 0};
        if (id != world.self)
            json["peers"].push_back(peerToJson(world, id, links));
    }
    json["databases"] = Json::array();
    for (std::uint32_t index = 0; index < world.databases.size(); ++index) {
        const DatabaseRow &row = world.databases[index];
        Json database;
        database["name"] = world.layout.databases[index].name;
        database["primary"] = row.primary.isValid() ? Json(world.layout.at(row.primary).name) : Json();
        database["term"] = row.history.lastTerm();
        database["promotion_under_way"] = row.promotion.step != PromotionStep::Idle;
        database["writes_paused"] = row.writesPaused;
        json["databases"].push_back(std::move(database));
    }
    json["backend_servers"] = Json::array();
    for (std::uint32_t index = 0; index < world.backends.size(); ++index)
        json["backend_servers"].push_back(backendToJson(world, BackendId{.index = index, .generation = 0}));
    return dumpJson(json);
}

std::string rulesToJson(const World &world)
{
    Json json;
    json["version"] = world.rules ? Json(world.rules->version()) : Json();
    json["text"] = world.rules ? Json(world.rules->text()) : Json();
    return dumpJson(json);
}

} // namespace Jujubekeel
