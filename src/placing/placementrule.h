#pragma once

#include "core/time.h"

#include <cstdint>
#include <vector>

namespace Jujubekeel {

/// How the server for a read is chosen, and the member to which work is relayed. The program uses ShortestWait; the
/// others are there to be compared with it (docs/design/placing.md).
enum class PlacementRule : std::uint8_t {
    ShortestWait,   ///< the shortest wait that this instance expects from its own work
    OthersInFlight, ///< the same with the work of other members, as far as they have reported it
    OthersPerSlot,  ///< the same, with the work in flight divided by the slots of the server
    TwoChoices,     ///< the shorter expected wait of two that are drawn at random
    Proportional,   ///< drawn at random, in proportion to the measured speed
};

/// A server or member that may run the work.
struct PlacementCandidate
{
    std::uint32_t rank = 0; ///< lower ones come first, whatever the rule
    Duration wait{0};       ///< expected, including the way
    Duration unloaded{0};   ///< expected without the work in flight
    std::uint64_t tieBreak = 0;
};

/// Indexes of the candidates in the order in which they are tried. \a draw is a random number for this decision.
[[nodiscard]] std::vector<std::size_t>
orderCandidates(PlacementRule rule, const std::vector<PlacementCandidate> &candidates, std::uint64_t draw);

} // namespace Jujubekeel
