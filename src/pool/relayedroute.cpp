#include "pool/relayedroute.h"

#include "catalog/boundedjson.h"
#include "catalog/routejson.h"

#include <nlohmann/json.hpp>

namespace Jujubekeel {

std::string RelayedRoute::toText() const
{
    nlohmann::json root = toJson(this->route);
    if (this->mark) {
        root["markTerm"] = this->mark->term;
        root["markPosition"] = this->mark->position;
    }
    if (!this->organisation.empty())
        root["organisation"] = this->organisation;
    return root.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<RelayedRoute> RelayedRoute::fromText(std::string_view text)
{
    const auto parsed = parseBoundedJson(text);
    if (!parsed)
        return std::nullopt;
    try {
        const nlohmann::json &root = *parsed;
        RelayedRoute relayed{.route = routeFromJson(root)};
        if (root.contains("markTerm"))
            relayed.mark = LogPosition{.term = root.at("markTerm").get<std::uint64_t>(),
                                       .position = root.at("markPosition").get<std::uint64_t>()};
        relayed.organisation = root.value("organisation", std::string());
        return relayed;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace Jujubekeel
