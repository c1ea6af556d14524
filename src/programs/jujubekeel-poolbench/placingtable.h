#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Jujubekeel {

/// Compares rules that choose servers and members under uneven demand, on the same seeds. With \a plotFolder, also
/// writes a plot of each load as SVG file there.
void printPlacingTable(std::uint64_t seeds, const std::optional<std::string> &plotFolder);

} // namespace Jujubekeel
