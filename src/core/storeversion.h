#pragma once

#include <compare>
#include <cstdint>

namespace Jujubekeel {

/// Point in the history of the platform's store. A store that was restored from an older copy gives out revisions again,
/// so revisions can be compared only within one era.
struct StoreVersion
{
    std::uint64_t era = 0;      ///< increases by one with each restoration; 0: not known
    std::uint64_t revision = 0; ///< increases by one with each change within an era

    auto operator<=>(const StoreVersion &) const = default;
};

} // namespace Jujubekeel
