#include "catalog/boundedjson.h"

#include <nlohmann/json.hpp>

namespace Jujubekeel {

namespace {

constexpr int maxDepth = 32;

} // namespace

std::optional<nlohmann::json> parseBoundedJson(std::string_view text)
{
    bool tooDeep = false;
    const auto limitDepth = [&](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
        tooDeep = tooDeep || depth > maxDepth;
        return !tooDeep;
    };
    nlohmann::json root = nlohmann::json::parse(text.begin(), text.end(), limitDepth, false);
    if (tooDeep || root.is_discarded())
        return std::nullopt;
    return root;
}

} // namespace Jujubekeel
