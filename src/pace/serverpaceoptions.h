#pragma once

#include "core/time.h"

#include <cstdint>

namespace Jujubekeel {

/// Limits and times of ServerPace. Counts are of one member's statements, since each member learns on its own.
struct ServerPaceOptions
{
    std::uint32_t initialWindow = 1; ///< statements in flight at first: 16 members reach 16 at one server
    std::uint32_t maxWindow = 64;
    Duration growInterval = std::chrono::seconds(1); ///< between two steps above the window at which it rejected

    std::uint32_t latencySamples = 8;                   ///< divisor of the moving average of durations
    std::uint32_t minLatencySamples = 4;                ///< before durations change the window
    std::uint32_t nearBestFactor = 2;                   ///< up to this multiple of the best latency the window grows
    std::uint32_t slowFactor = 4;                       ///< above this multiple of the best latency it shrinks
    Duration slowMargin = std::chrono::milliseconds(5); ///< differences below this are no sign of load
    Duration bestRetention = std::chrono::seconds(5);   ///< the best latency is that of the last one to two of these

    // A member sends less than one statement at a time by waiting between two of them.
    Duration minPause = std::chrono::milliseconds(10);       ///< after a rejection at window 1; doubles
    Duration maxPause = std::chrono::milliseconds(120);      ///< at 16 members still 100 statements per second
    Duration pauseHalfLife = std::chrono::milliseconds(800); ///< shorter ones let 16 members cause over 5 % rejections

    std::uint32_t suspendFailures = 3;   ///< consecutive failures that suspend the server
    std::uint32_t resuspendFailures = 2; ///< the same until it has settled after a suspension
    std::uint32_t suspendRejections = 8; ///< consecutive rejections that suspend it
    std::uint32_t settledSuccesses = 4;  ///< since the end of a suspension; then trials start frequent again
    Duration firstTrial = std::chrono::milliseconds(200); ///< from the suspension to the first trial; doubles
    Duration maxTrial = std::chrono::milliseconds(1200);  ///< a server that serves again is found within 1.5 s

    /// Trials and pauses are varied by a quarter, so that members do not act at the same time.
    std::uint64_t seed = 1;
};

} // namespace Jujubekeel
