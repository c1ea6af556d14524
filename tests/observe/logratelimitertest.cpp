#include "observe/logratelimiter.h"

#include <gtest/gtest.h>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against log lines that add to an overload because their rate is not limited.
TEST(LogRateLimiter, LimitsTheRateAndCountsDroppedLines)
{
    LogRateLimiter limiter({.linesPerSecond = 50, .burst = 20});
    std::uint64_t written = 0;
    for (int step = 0; step < 10000; ++step)
        written += limiter.tryAcquire(seconds(100) + milliseconds(step)) ? 1 : 0;
    EXPECT_LE(written, 20U + 10U * 50U);
    EXPECT_GE(written, 10U * 50U);
    EXPECT_EQ(limiter.takeDroppedCount(), 10000 - written);
    EXPECT_EQ(limiter.takeDroppedCount(), 0U);
}

// Guards against a period without lines that accumulates more tokens than one burst.
TEST(LogRateLimiter, IdlePeriodAccumulatesOneBurst)
{
    LogRateLimiter limiter({.linesPerSecond = 50, .burst = 20});
    std::uint64_t written = 0;
    for (int line = 0; line < 100; ++line)
        written += limiter.tryAcquire(seconds(5000)) ? 1 : 0;
    EXPECT_EQ(written, 20U);
}

} // namespace

} // namespace Jujubekeel
