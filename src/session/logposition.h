#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Jujubekeel {

/// Position in a database's log. Positions count log entries from 1; 0 is before the first entry. Ordered by term, then
/// by position.
struct LogPosition
{
    std::uint64_t term = 0;
    std::uint64_t position = 0;

    constexpr auto operator<=>(const LogPosition &) const = default;
};

/// "TERM.NUMBER", as in the statement protocol and in logs.
[[nodiscard]] std::string toText(LogPosition position);

} // namespace Jujubekeel
