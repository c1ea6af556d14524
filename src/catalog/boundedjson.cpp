#include "catalog/boundedjson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>

namespace Jujubekeel {

namespace {

constexpr std::size_t maxDepth = 32;

/// Estimated at up to 100 bytes for a value, 20 MB in all. A configuration of 1,029 routes (250 KB) has about 10,000.
constexpr std::size_t maxValues = 200'000;

/// First byte of \a text that is nested too deeply or begins one value too many; empty if there is none, or an unfinished
/// string comes before it. Not checked by a callback of the parser: with one, the parser goes through all elements of a
/// list again after each object in it, which took 268 s for a list of 340,000 objects (1 MB).
std::optional<std::size_t> limitFaultOffset(std::string_view text)
{
    std::size_t open = 0;
    std::size_t values = 1;
    bool isInString = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char letter = text[at];
        if (isInString) {
            if (letter == '\\')
                at += 1;
            else if (letter == '"')
                isInString = false;
            continue;
        }
        values += letter == '[' || letter == '{' || letter == ',' ? 1 : 0;
        if (values > maxValues)
            return at;
        if (letter == '"') {
            isInString = true;
        } else if (letter == '[' || letter == '{') {
            open += 1;
            if (open > maxDepth)
                return at;
        } else if ((letter == ']' || letter == '}') && open > 0) {
            open -= 1;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<nlohmann::json> parseBoundedJson(std::string_view text)
{
    if (limitFaultOffset(text))
        return std::nullopt;
    nlohmann::json root = nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
    if (root.is_discarded())
        return std::nullopt;
    return root;
}

std::optional<std::size_t> jsonFaultOffset(std::string_view text)
{
    if (const auto offset = limitFaultOffset(text))
        return offset;
    try {
        [[maybe_unused]] const nlohmann::json root = nlohmann::json::parse(text.begin(), text.end());
    } catch (const nlohmann::json::parse_error &error) {
        // The parser counts the bytes that it has read, including the one that it did not expect.
        return std::min(error.byte == 0 ? 0 : error.byte - 1, text.size());
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace Jujubekeel
