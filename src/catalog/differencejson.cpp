#include "catalog/differencejson.h"

#include "catalog/organisationjson.h"
#include "catalog/routejson.h"

#include <nlohmann/json.hpp>

namespace Jujubekeel {

namespace {

using Json = nlohmann::json;

Json digestList(const std::vector<KeyDigest> &keys)
{
    Json list = Json::array();
    for (const KeyDigest &key : keys)
        list.push_back(key.toHex());
    return list;
}

} // namespace

Json toJson(const RouteDifference &difference)
{
    Json routes = Json::array();
    for (const auto &route : difference.routes)
        routes.push_back(toJson(*route));
    Json services = Json::object();
    for (const auto &[name, limits] : difference.services)
        services[name] = {{"maxConnections", limits.maxConnections}, {"syncReplicas", limits.syncReplicas}};
    return {{"baseVersion", difference.baseVersion}, {"version", difference.version},
            {"digest", difference.digest},           {"transactionIdleLimitUs", difference.idleLimit.count()},
            {"routes", std::move(routes)},           {"removedRoutes", difference.removedRoutes},
            {"services", std::move(services)},       {"removedServices", difference.removedServices}};
}

RouteDifference routeDifferenceFromJson(const Json &root)
{
    RouteDifference difference{.baseVersion = root.at("baseVersion").get<std::uint64_t>(),
                               .version = root.at("version").get<std::uint64_t>(),
                               .digest = root.at("digest").get<std::uint64_t>(),
                               .idleLimit = Duration(root.at("transactionIdleLimitUs").get<std::int64_t>()),
                               .removedRoutes = root.at("removedRoutes").get<std::vector<std::string>>(),
                               .removedServices = root.at("removedServices").get<std::vector<std::string>>()};
    for (const Json &entry : root.at("routes")) {
        Route route = routeFromJson(entry);
        route.version = difference.version;
        difference.routes.push_back(std::make_shared<const Route>(std::move(route)));
    }
    for (const auto &[name, limits] : root.at("services").items())
        difference.services.emplace(
            name, RouteTable::ServiceLimits{.maxConnections = limits.at("maxConnections").get<std::uint32_t>(),
                                            .syncReplicas = limits.at("syncReplicas").get<std::uint32_t>()});
    return difference;
}

Json toJson(const OrganisationDifference &difference)
{
    Json organisations = Json::array();
    for (const Organisation &organisation : difference.organisations)
        organisations.push_back(toJson(organisation));
    Json keys = Json::object();
    for (const auto &[name, digests] : difference.keys)
        keys[name] = digestList(digests);
    return {{"baseVersion", difference.baseVersion},
            {"version", difference.version},
            {"digest", difference.digest},
            {"organisations", std::move(organisations)},
            {"removedOrganisations", difference.removedOrganisations},
            {"keys", std::move(keys)},
            {"removedKeys", digestList(difference.removedKeys)}};
}

OrganisationDifference organisationDifferenceFromJson(const Json &root)
{
    OrganisationDifference difference{.baseVersion = root.at("baseVersion").get<std::uint64_t>(),
                                      .version = root.at("version").get<std::uint64_t>(),
                                      .digest = root.at("digest").get<std::uint64_t>(),
                                      .removedOrganisations =
                                          root.at("removedOrganisations").get<std::vector<std::string>>(),
                                      .removedKeys = keyDigestsFromJson(root.at("removedKeys"))};
    for (const Json &entry : root.at("organisations"))
        difference.organisations.push_back(organisationFromJson(entry));
    for (const auto &[name, digests] : root.at("keys").items())
        difference.keys.emplace(name, keyDigestsFromJson(digests));
    return difference;
}

} // namespace Jujubekeel
