#pragma once

#include "core/time.h"

namespace Jujubekeel {

/// Timing of leadership and of replacements of a primary.
struct LeadershipOptions
{
    Duration checkInterval = std::chrono::milliseconds(50); ///< between two looks at the primaries
    Duration connectFailureLimit =
        std::chrono::milliseconds(200);                     ///< no connection can be opened for this long: unreachable
    Duration silenceLimit = std::chrono::milliseconds(700); ///< no answer to anything for this long: unreachable
    Duration probeAfter =
        std::chrono::milliseconds(200); ///< silent for this long: it is asked for its position, or connected to
    Duration probeTimeout = std::chrono::milliseconds(250); ///< these take no slot; unanswered: unreachable
    Duration missingLimit = std::chrono::milliseconds(700); ///< without an entry and without a connection
    Duration viewWait = std::chrono::milliseconds(120);     ///< for the views of the other instances
    Duration rankDelay = std::chrono::milliseconds(300);    ///< the next instance acts this much later
    Duration writeRetry = std::chrono::milliseconds(150);   ///< pause after a failed write of the own member object
    Duration plannedDrainTimeout = std::chrono::milliseconds(1000); ///< work under way at a primary that leaves may end
    Duration takeOverAfter =
        std::chrono::milliseconds(7500); ///< a replacement without an end is taken over; above the lease
    Duration leaseMargin = std::chrono::milliseconds(100);       ///< added when a lapse is waited for
    Duration statusWait = std::chrono::milliseconds(350);        ///< for the positions of the candidates
    Duration catchUpWait = std::chrono::milliseconds(1500);      ///< a candidate receives what a living primary has
    Duration stepInterval = std::chrono::milliseconds(25);       ///< between two looks at a replacement
    Duration callRetry = std::chrono::milliseconds(200);         ///< pause before a call without answer is repeated
    Duration promotionTimeout = std::chrono::milliseconds(4000); ///< a named candidate must lead by then
    std::uint32_t registrationSlots = 64; ///< instances that see room for another member register one after the other
    Duration registrationSlotInterval =
        std::chrono::milliseconds(12);                  ///< between two of them; news travels in that time
    Duration memberGoneAfter = std::chrono::seconds(8); ///< a member that no link reaches for this long has no place
    Duration maxFleetViewAge = std::chrono::milliseconds(2500); ///< age of the record up to which a call may be sent
};

} // namespace Jujubekeel
