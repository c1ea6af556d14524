#include "leadership/grouprecord.h"

#include "catalog/boundedjson.h"

#include <nlohmann/json.hpp>

namespace Jujubekeel {

std::string GroupRecord::toText() const
{
    return nlohmann::json{{"servers", this->servers}}.dump();
}

std::optional<GroupRecord> GroupRecord::fromText(std::string_view text)
{
    const auto parsed = parseBoundedJson(text);
    if (!parsed)
        return std::nullopt;
    try {
        return GroupRecord{.servers = parsed->at("servers").get<std::set<std::string>>()};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace Jujubekeel
