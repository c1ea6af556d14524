#pragma once

#include <cstdint>

namespace Jujubekeel {

/// Prints one row for each lease and trouble: the time without an acknowledged write (median and worst over the seeds),
/// the share of writes that were not acknowledged during the load, the replacements, and the store calls a second.
void printFailoverTable(std::uint64_t seeds);

} // namespace Jujubekeel
