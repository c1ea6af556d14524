#include "catalog/boundedjson.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Jujubekeel {

namespace {

constexpr int maxDepth = 32;

/// Parses a text; empty if it is nested too deeply or invalid. Invalid text gives an exception if \a mayThrow.
std::optional<nlohmann::json> parseWithLimit(std::string_view text, bool mayThrow)
{
    bool tooDeep = false;
    const auto limitDepth = [&](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
        tooDeep = tooDeep || depth > maxDepth;
        return !tooDeep;
    };
    nlohmann::json root = nlohmann::json::parse(text.begin(), text.end(), limitDepth, mayThrow);
    if (tooDeep || root.is_discarded())
        return std::nullopt;
    return root;
}

} // namespace

std::optional<nlohmann::json> parseBoundedJson(std::string_view text)
{
    return parseWithLimit(text, false);
}

std::optional<std::size_t> jsonFaultOffset(std::string_view text)
{
    try {
        (void)parseWithLimit(text, true);
    } catch (const nlohmann::json::parse_error &error) {
        // The parser counts the bytes that it has read, including the one that it did not expect.
        return std::min(error.byte == 0 ? 0 : error.byte - 1, text.size());
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace Jujubekeel
