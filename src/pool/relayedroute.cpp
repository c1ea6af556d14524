#include "pool/relayedroute.h"

#include <nlohmann/json.hpp>

namespace Jujubekeel {

std::string RelayedRoute::toText() const
{
    nlohmann::json root{{"name", this->route.name},
                        {"version", this->route.version},
                        {"database", this->route.database},
                        {"service", this->route.service},
                        {"consistency", static_cast<std::uint32_t>(this->route.consistency)},
                        {"maxStalenessUs", this->route.maxStaleness.count()},
                        {"statementTimeoutUs", this->route.statementTimeout.count()},
                        {"latencyObjectiveUs", this->route.latencyObjective.count()},
                        {"priority", this->route.priority}};
    if (this->mark) {
        root["markTerm"] = this->mark->term;
        root["markPosition"] = this->mark->position;
    }
    return root.dump();
}

std::optional<RelayedRoute> RelayedRoute::fromText(std::string_view text)
{
    try {
        const auto root = nlohmann::json::parse(text.begin(), text.end());
        const auto consistency = root.at("consistency").get<std::uint32_t>();
        if (consistency > static_cast<std::uint32_t>(ReadConsistency::ReadYourWrites))
            return std::nullopt;
        RelayedRoute relayed{.route =
                                 Route{.name = root.at("name").get<std::string>(),
                                       .database = root.at("database").get<std::string>(),
                                       .service = root.at("service").get<std::string>(),
                                       .consistency = static_cast<ReadConsistency>(consistency),
                                       .maxStaleness = Duration(root.at("maxStalenessUs").get<std::int64_t>()),
                                       .statementTimeout = Duration(root.at("statementTimeoutUs").get<std::int64_t>()),
                                       .latencyObjective = Duration(root.at("latencyObjectiveUs").get<std::int64_t>()),
                                       .priority = root.at("priority").get<std::uint32_t>(),
                                       .version = root.at("version").get<std::uint64_t>()}};
        if (root.contains("markTerm"))
            relayed.mark = LogPosition{.term = root.at("markTerm").get<std::uint64_t>(),
                                       .position = root.at("markPosition").get<std::uint64_t>()};
        return relayed;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace Jujubekeel
