#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Review {

using Milliseconds = std::chrono::milliseconds;

/// Position in a backend's log, TERM.NUMBER on the wire.
struct Position
{
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    auto operator<=>(const Position &) const = default;
};

/// A committed transaction, or a single write, in a backend's log.
struct Commit
{
    Position position;
    std::string id;                  ///< of the statement that committed it
    std::vector<std::string> writes; ///< "shape item data" of each write
};

[[nodiscard]] std::string toText(Position position);
[[nodiscard]] std::optional<Position> toPosition(std::string_view text);
/// Removes the first word and the blank after it from \a rest and returns it.
[[nodiscard]] std::string takeWord(std::string_view &rest);

} // namespace Review
