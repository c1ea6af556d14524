#include "catalog/boundedjson.h"

#include <nlohmann/json.hpp>

#include <cstddef>

namespace Jujubekeel {

namespace {

constexpr std::size_t maxDepth = 32;
/// Estimated at up to 100 bytes for a value, 20 MB in all. A configuration of 1,029 routes (250 KB) has about 10,000.
constexpr std::size_t maxValues = 200'000;

/// Whether the text keeps to the limits, as far as it is valid. Only strings, brackets and commas are followed.
bool isWithinLimits(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t values = 1;
    for (std::size_t at = 0; at < text.size(); ++at) {
        switch (text[at]) {
        case '"':
            for (at += 1; at < text.size() && text[at] != '"'; ++at)
                at += text[at] == '\\' ? 1 : 0;
            break;
        case '[':
        case '{':
            depth += 1;
            values += 1;
            break;
        case ']':
        case '}':
            depth -= depth > 0 ? 1 : 0;
            break;
        case ',':
            values += 1;
            break;
        default:
            break;
        }
        if (depth > maxDepth || values > maxValues)
            return false;
    }
    return true;
}

} // namespace

std::optional<nlohmann::json> parseBoundedJson(std::string_view text)
{
    // The limits are not checked by a callback of the parser: with one, the parser goes through all elements of a list
    // again after each object in it, which took 268 s for a list of 340,000 objects (1 MB).
    if (!isWithinLimits(text))
        return std::nullopt;
    nlohmann::json root = nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
    if (root.is_discarded())
        return std::nullopt;
    return root;
}

} // namespace Jujubekeel
