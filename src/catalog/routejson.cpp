#include "catalog/routejson.h"

#include "catalog/jsonerrors.h"
#include "catalog/organisationjson.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace Jujubekeel {

namespace {

using Json = nlohmann::json;

} // namespace

Json toJson(const Route &route)
{
    return {{"name", route.name},
            {"version", route.version},
            {"database", route.database},
            {"service", route.service},
            {"consistency", static_cast<std::uint32_t>(route.consistency)},
            {"maxStalenessUs", route.maxStaleness.count()},
            {"statementTimeoutUs", route.statementTimeout.count()},
            {"latencyObjectiveUs", route.latencyObjective.count()},
            {"priority", route.priority},
            {"public", route.isPublic}};
}

Route routeFromJson(const Json &root)
{
    const auto consistency = root.at("consistency").get<std::uint32_t>();
    if (consistency > static_cast<std::uint32_t>(ReadConsistency::ReadYourWrites))
        throw Json::other_error::create(valueOutOfRange, "unknown consistency", &root);
    return Route{.name = root.at("name").get<std::string>(),
                 .database = root.at("database").get<std::string>(),
                 .service = root.at("service").get<std::string>(),
                 .consistency = static_cast<ReadConsistency>(consistency),
                 .maxStaleness = Duration(root.at("maxStalenessUs").get<std::int64_t>()),
                 .statementTimeout = Duration(root.at("statementTimeoutUs").get<std::int64_t>()),
                 .latencyObjective = Duration(root.at("latencyObjectiveUs").get<std::int64_t>()),
                 .priority = root.at("priority").get<std::uint32_t>(),
                 .isPublic = root.value("public", false), // earlier versions do not send it
                 .version = root.at("version").get<std::uint64_t>()};
}

Json toJson(const RouteTable &table)
{
    Json routes = Json::array();
    for (const auto &[database, route] : table.allRoutes())
        routes.push_back(toJson(*route));
    Json services = Json::object();
    Json syncReplicas = Json::object();
    for (const auto &[name, limits] : table.allServices()) {
        services[name] = limits.maxConnections;
        if (limits.syncReplicas != 0)
            syncReplicas[name] = limits.syncReplicas;
    }
    Json root{{"version", table.version()},
              {"transactionIdleLimitUs", table.transactionIdleLimit().count()},
              {"services", std::move(services)},
              {"syncReplicas", std::move(syncReplicas)},
              {"routes", std::move(routes)}};
    if (table.organisations())
        root["organisations"] = toJson(*table.organisations());
    return root;
}

std::shared_ptr<const RouteTable> routeTableFromJson(const Json &root)
{
    auto table = std::make_shared<RouteTable>(root.at("version").get<std::uint64_t>());
    table->setTransactionIdleLimit(Duration(root.at("transactionIdleLimitUs").get<std::int64_t>()));
    // Earlier versions do not send it.
    const Json syncReplicas = root.value("syncReplicas", Json::object());
    for (const auto &[name, maxConnections] : root.at("services").items())
        table->addService(name, {.maxConnections = maxConnections.get<std::uint32_t>(),
                                 .syncReplicas = syncReplicas.value(name, 0U)});
    for (const Json &route : root.at("routes"))
        table->addRoute(routeFromJson(route));
    if (root.contains("organisations"))
        table->setOrganisations(organisationTableFromJson(root.at("organisations")));
    return table;
}

} // namespace Jujubekeel
