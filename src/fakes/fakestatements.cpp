#include "fakes/fakestatements.h"

#include <utility>

namespace Jujubekeel {

namespace {

struct StatementParts
{
    std::string_view verb;
    std::string_view key;
    std::string_view text; ///< everything after the key
};

/// Removes the text up to the next space and returns it without the space.
std::string_view takeWord(std::string_view &rest)
{
    const std::size_t space = rest.find(' ');
    const std::string_view word = rest.substr(0, space);
    rest = space == std::string_view::npos ? std::string_view{} : rest.substr(space + 1);
    return word;
}

StatementParts splitStatement(std::string_view statement)
{
    StatementParts parts;
    parts.verb = takeWord(statement);
    const std::string_view afterVerb = statement;
    parts.key = takeWord(statement);
    parts.text = parts.verb == "fail" ? afterVerb : statement;
    return parts;
}

std::string joinElements(std::span<const std::string> elements)
{
    std::string text;
    for (const std::string &element : elements) {
        if (!text.empty())
            text += ',';
        text += element;
    }
    return text;
}

} // namespace

bool changesData(std::string_view statement)
{
    const std::string_view verb = splitStatement(statement).verb;
    return verb == "put" || verb == "append";
}

std::string_view statementKey(std::string_view statement)
{
    return splitStatement(statement).key;
}

FakeStatementResult runStatement(FakeData &data, std::string_view statement)
{
    const StatementParts parts = splitStatement(statement);
    if (parts.verb == "fail")
        return {.ok = false, .value = {}, .error = std::string(parts.text)};
    if (parts.key.empty())
        return {.ok = false, .value = {}, .error = "the statement has no key"};
    const auto found = data.find(parts.key);
    if (parts.verb == "get")
        return {.ok = true, .value = found == data.end() ? std::string{} : joinElements(found->second), .error = {}};
    if (parts.verb == "count")
        return {.ok = true, .value = std::to_string(found == data.end() ? 0 : found->second.size()), .error = {}};
    if (parts.verb == "put") {
        data.insert_or_assign(std::string(parts.key), std::vector{std::string(parts.text)});
        return {.ok = true, .value = std::string(parts.text), .error = {}};
    }
    if (parts.verb == "append") {
        std::vector<std::string> &elements = data[std::string(parts.key)];
        elements.emplace_back(parts.text);
        return {.ok = true, .value = std::to_string(elements.size()), .error = {}};
    }
    return {.ok = false, .value = {}, .error = "unknown statement: " + std::string(parts.verb)};
}

std::vector<std::string_view> splitStatementLines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
    return lines;
}

std::string joinStatementLines(std::span<const std::string> lines)
{
    std::string text;
    for (const std::string &line : lines) {
        if (!text.empty())
            text += '\n';
        text += line;
    }
    return text;
}

} // namespace Jujubekeel
