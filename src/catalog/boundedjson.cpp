#include "catalog/boundedjson.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Jujubekeel {

namespace {

constexpr std::size_t maxDepth = 32;

/// First byte of \a text that is nested too deeply; empty if there is none, or an unfinished string comes before it.
/// Callbacks of the parser could tell the depth as well, but with them it searches a list again after each object in it.
std::optional<std::size_t> depthFaultOffset(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    std::size_t open = 0;
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
        const bool isEnd = letter == ']' || letter == '}';
        if (open > maxDepth && !isEnd && blanks.find(letter) == std::string_view::npos)
            return at;
        if (letter == '"')
            isInString = true;
        else if (letter == '[' || letter == '{')
            open += 1;
        else if (isEnd && open > 0)
            open -= 1;
    }
    return std::nullopt;
}

} // namespace

std::optional<nlohmann::json> parseBoundedJson(std::string_view text)
{
    if (depthFaultOffset(text))
        return std::nullopt;
    nlohmann::json root = nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
    if (root.is_discarded())
        return std::nullopt;
    return root;
}

std::optional<std::size_t> jsonFaultOffset(std::string_view text)
{
    if (const auto offset = depthFaultOffset(text))
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
