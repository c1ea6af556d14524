#pragma once

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

// The statements of FakeBackend (see fakebackend.h) and the data that they run on.

/// A value is a list: `put` stores one element, `append` adds one.
using FakeData = std::map<std::string, std::vector<std::string>, std::less<>>;

struct FakeStatementResult
{
    bool ok = true;
    std::string value;
    std::string error;
};

[[nodiscard]] bool changesData(std::string_view statement);

/// Key of a statement; empty if it has none.
[[nodiscard]] std::string_view statementKey(std::string_view statement);

/// Runs one statement on \a data.
FakeStatementResult runStatement(FakeData &data, std::string_view statement);

// A log entry stores its statements as text, one per line.
[[nodiscard]] std::vector<std::string_view> splitStatementLines(std::string_view text);
[[nodiscard]] std::string joinStatementLines(std::span<const std::string> lines);

} // namespace Jujubekeel
