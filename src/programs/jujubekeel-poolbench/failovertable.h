#pragma once

#include <cstdint>

namespace Jujubekeel {

/// Prints one row for each lease duration and fault: the time without an acknowledged write (median and worst over the
/// seeds), the share of writes that were not acknowledged, and per run the replacements and the store calls per second.
void printFailoverTable(std::uint64_t seeds);

} // namespace Jujubekeel
