#pragma once

#include <cstdint>

namespace Jujubekeel {

/// Prints a table that compares the members to which the work of an organisation is relayed, as means over the seeds
/// from 1 to \a seeds.
void printSharingTable(std::uint64_t seeds);

} // namespace Jujubekeel
