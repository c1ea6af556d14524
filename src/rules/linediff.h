#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

enum class LineSide : std::uint8_t {
    OldOnly,
    NewOnly,
};

/// A line that only one of two texts has at its place.
struct LineDifference
{
    LineSide side = LineSide::OldOnly;
    std::uint32_t line = 0; ///< counted from 1, in the text of `side`
    std::string text;

    bool operator==(const LineDifference &) const = default;
};

/// Lines to remove from \a oldText and to add from \a newText to get from one to the other, in order of place. Order of
/// lines counts, because the first matching rule wins. Texts that differ in more than a few thousand lines are listed as
/// replaced as a whole, to bound time and memory.
[[nodiscard]] std::vector<LineDifference> diffLines(std::string_view oldText, std::string_view newText);

} // namespace Jujubekeel
