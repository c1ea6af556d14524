#include "rules/linediff.h"

#include <algorithm>
#include <cstddef>

namespace Jujubekeel {

namespace {

/// Limit of the longest-common-subsequence table, in cells of 4 bytes: 16 MB.
constexpr std::size_t maxCells = 4UL * 1024UL * 1024UL;

std::vector<std::string_view> splitLines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        lines.push_back(line);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
    return lines;
}

} // namespace

std::vector<LineDifference> diffLines(std::string_view oldText, std::string_view newText)
{
    const std::vector<std::string_view> oldLines = splitLines(oldText);
    const std::vector<std::string_view> newLines = splitLines(newText);

    // Skip the common lines at the start and at the end.
    std::size_t begin = 0;
    while (begin < oldLines.size() && begin < newLines.size() && oldLines[begin] == newLines[begin])
        begin += 1;
    std::size_t oldEnd = oldLines.size();
    std::size_t newEnd = newLines.size();
    while (oldEnd > begin && newEnd > begin && oldLines[oldEnd - 1] == newLines[newEnd - 1]) {
        oldEnd -= 1;
        newEnd -= 1;
    }

    // lengths[cellOf(i, j)]: length of the longest common subsequence of the old lines from i on and the new lines
    // from j on. Empty if the table would exceed maxCells; all remaining lines are then listed as replaced.
    const std::size_t rows = oldEnd - begin + 1;
    const std::size_t columns = newEnd - begin + 1;
    const bool tableFits = rows <= maxCells / columns;
    std::vector<std::uint32_t> lengths(tableFits ? rows * columns : 0);
    const auto cellOf = [&](std::size_t i, std::size_t j) { return (i - begin) * columns + (j - begin); };
    if (tableFits) {
        for (std::size_t i = oldEnd; i-- > begin;) {
            for (std::size_t j = newEnd; j-- > begin;) {
                lengths[cellOf(i, j)] = oldLines[i] == newLines[j]
                                            ? lengths[cellOf(i + 1, j + 1)] + 1
                                            : std::max(lengths[cellOf(i + 1, j)], lengths[cellOf(i, j + 1)]);
            }
        }
    }

    std::vector<LineDifference> differences;
    std::size_t i = begin;
    std::size_t j = begin;
    while (i < oldEnd || j < newEnd) {
        if (tableFits && i < oldEnd && j < newEnd && oldLines[i] == newLines[j]) {
            i += 1;
            j += 1;
        } else if (i < oldEnd
                   && (j == newEnd || !tableFits || lengths[cellOf(i + 1, j)] >= lengths[cellOf(i, j + 1)])) {
            differences.push_back({.side = LineSide::OldOnly,
                                   .line = static_cast<std::uint32_t>(i + 1),
                                   .text = std::string(oldLines[i])});
            i += 1;
        } else {
            differences.push_back({.side = LineSide::NewOnly,
                                   .line = static_cast<std::uint32_t>(j + 1),
                                   .text = std::string(newLines[j])});
            j += 1;
        }
    }
    return differences;
}

} // namespace Jujubekeel
