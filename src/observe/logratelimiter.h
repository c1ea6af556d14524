#pragma once

#include "core/time.h"

#include <cstdint>

namespace Jujubekeel {

struct LogRateLimiterOptions
{
    std::uint32_t linesPerSecond = 50; ///< sustained rate
    std::uint32_t burst = 200;         ///< lines that are admitted at once after a period without any
};

/// Limits the rate of log lines about single requests, so that logging does not add to an overload. A token bucket that
/// counts the lines it drops. Owned by PoolWorld; used within its step.
class LogRateLimiter final
{
public:
    explicit LogRateLimiter(LogRateLimiterOptions limiterOptions = {})
        : options(limiterOptions), tokens(limiterOptions.burst)
    {
    }

    /// Takes a token for one line. Returns false if there is none, and counts the line as dropped.
    bool tryAcquire(TimePoint now);
    /// Returns the number of lines dropped since the last call.
    [[nodiscard]] std::uint64_t takeDroppedCount();

private:
    LogRateLimiterOptions options;
    double tokens; ///< lines that may be written now
    TimePoint refilledAt{0};
    std::uint64_t dropped = 0;
};

} // namespace Jujubekeel
