#include "catalog/boundedjson.h"

#include <nlohmann/json.hpp>

#include <cstddef>

namespace Jujubekeel {

namespace {

constexpr std::size_t maxDepth = 32;

/// Whether brackets outside of strings are nested deeper than maxDepth. Exact up to the first error of the text, which
/// ends the parser. A scan of its own, because a callback of the parser that counts levels takes longer than the parser
/// itself.
bool isTooDeep(std::string_view text)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char letter = text[at];
        if (inString) {
            if (letter == '\\')
                at += 1;
            else if (letter == '"')
                inString = false;
        } else if (letter == '"') {
            inString = true;
        } else if (letter == '{' || letter == '[') {
            depth += 1;
            if (depth > maxDepth)
                return true;
        } else if ((letter == '}' || letter == ']') && depth > 0) {
            depth -= 1;
        }
    }
    return false;
}

} // namespace

std::optional<nlohmann::json> parseBoundedJson(std::string_view text)
{
    if (isTooDeep(text))
        return std::nullopt;
    nlohmann::json root = nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
    if (root.is_discarded())
        return std::nullopt;
    return root;
}

} // namespace Jujubekeel
