#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

/// The one of two compared texts that holds a line.
enum class LineSide : std::uint8_t {
    OldOnly,
    NewOnly,
};

/// A line that only one of two compared texts has at its position.
struct LineDifference
{
    LineSide side = LineSide::OldOnly;
    std::uint32_t line = 0; ///< counted from 1, in the text of `side`
    std::string text;

    bool operator==(const LineDifference &) const = default;
};

/// Returns the lines to remove from \a oldText and the lines to add from \a newText that turn one into the other, by
/// position. The order of lines is significant, because the first matching rule takes effect. Texts that differ in more
/// than a few thousand lines are listed as replaced completely, to bound time and memory.
[[nodiscard]] std::vector<LineDifference> diffLines(std::string_view oldText, std::string_view newText);

} // namespace Jujubekeel
