#pragma once

#include "core/time.h"

#include <cstdint>

namespace Jujubekeel {

struct LogRateLimiterOptions
{
    std::uint32_t linesPerSecond = 50; ///< in the long run
    std::uint32_t burst = 200;         ///< lines that may come at once after a quiet time
};

/// Bounds the log lines about single requests, so that an overload does not grow by the lines about it. A token bucket;
/// what it refuses is counted. Owned by PoolWorld.
class LogRateLimiter final
{
public:
    explicit LogRateLimiter(LogRateLimiterOptions limiterOptions = {})
        : options(limiterOptions), tokens(limiterOptions.burst)
    {
    }

    /// Returns false if the line must be dropped.
    bool tryAcquire(TimePoint now);
    /// Lines dropped since the last call.
    [[nodiscard]] std::uint64_t takeDroppedCount();

private:
    LogRateLimiterOptions options;
    double tokens;
    TimePoint refilledAt{0};
    std::uint64_t dropped = 0;
};

} // namespace Jujubekeel
