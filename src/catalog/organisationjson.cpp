#include "catalog/organisationjson.h"

#include "catalog/jsonerrors.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

using Json = nlohmann::json;

} // namespace

Json toJson(const Organisation &organisation)
{
    Json entry{{"name", organisation.name}, {"priority", organisation.priority}};
    if (organisation.limit) {
        entry["operationsPerSecond"] = organisation.limit->operationsPerSecond;
        entry["burst"] = organisation.limit->burst;
    }
    return entry;
}

Json toJson(const OrganisationTable &table)
{
    std::map<std::string, Json> keysOf;
    for (const auto &[digest, organisation] : table.allKeys()) {
        if (organisation)
            keysOf[organisation->name].push_back(digest.toHex());
    }
    Json list = Json::array();
    for (const auto &[name, organisation] : table.all()) {
        Json entry = toJson(*organisation);
        const auto keys = keysOf.find(name);
        entry["keys"] = keys == keysOf.end() ? Json::array() : std::move(keys->second);
        list.push_back(std::move(entry));
    }
    return {{"version", table.version()}, {"organisations", std::move(list)}};
}

Organisation organisationFromJson(const Json &entry)
{
    Organisation organisation{.name = entry.at("name").get<std::string>(),
                              .priority = entry.at("priority").get<std::uint32_t>()};
    if (entry.contains("operationsPerSecond"))
        organisation.limit = RateLimit{.operationsPerSecond = entry.at("operationsPerSecond").get<double>(),
                                       .burst = entry.at("burst").get<double>()};
    return organisation;
}

std::vector<KeyDigest> keyDigestsFromJson(const Json &list)
{
    std::vector<KeyDigest> keys;
    for (const Json &text : list) {
        const auto digest = KeyDigest::fromHex(text.get<std::string>());
        if (!digest)
            throw Json::other_error::create(valueOutOfRange, "not the digest of a key", &text);
        keys.push_back(*digest);
    }
    return keys;
}

std::shared_ptr<const OrganisationTable> organisationTableFromJson(const Json &root)
{
    auto table = std::make_shared<OrganisationTable>(root.at("version").get<std::uint64_t>());
    for (const Json &entry : root.at("organisations")) {
        const std::vector<KeyDigest> keys = keyDigestsFromJson(entry.at("keys"));
        table->add(organisationFromJson(entry), keys);
    }
    return table;
}

} // namespace Jujubekeel
