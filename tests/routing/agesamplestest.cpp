#include "routing/agesamples.h"

#include <gtest/gtest.h>

#include <array>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TermHistory firstTerm(std::array{TermStart{.term = 1, .start = 0}});

// Guards against computing the age from the arrival of a report instead of the time at which its position was the end.
TEST(AgeSamples, AgeCountsFromTheNewestSampleThatThePositionContains)
{
    AgeSamples samples;
    samples.record({.term = 1, .position = 10}, seconds(1));
    samples.record({.term = 1, .position = 20}, seconds(2));

    EXPECT_EQ(samples.age({.term = 1, .position = 15}, firstTerm, seconds(5)), seconds(4));
    EXPECT_EQ(samples.age({.term = 1, .position = 20}, firstTerm, seconds(5)), seconds(3));
    EXPECT_FALSE(samples.age({.term = 1, .position = 9}, firstTerm, seconds(5)).has_value());
}

// Guards against a delayed report that makes data look fresher or older than it is.
TEST(AgeSamples, OlderTimesAndPositionsAreIgnored)
{
    AgeSamples samples;
    samples.record({.term = 1, .position = 20}, seconds(2));
    samples.record({.term = 1, .position = 15}, seconds(3));
    samples.record({.term = 1, .position = 30}, seconds(1));
    EXPECT_EQ(samples.age({.term = 1, .position = 20}, firstTerm, seconds(5)), seconds(3));
}

// Guards against a bound on the age that is too low after old samples were dropped.
TEST(AgeSamples, DroppedSamplesNeverMakeDataLookFresher)
{
    AgeSamples samples;
    for (int step = 1; step <= 5000; ++step)
        samples.record({.term = 1, .position = static_cast<std::uint64_t>(step)}, milliseconds(step * 100));

    for (const int step : {600, 1500, 4000, 4990, 5000}) {
        const auto age =
            samples.age({.term = 1, .position = static_cast<std::uint64_t>(step)}, firstTerm, milliseconds(500000));
        if (age.has_value()) {
            EXPECT_GE(*age, milliseconds(500000 - step * 100)) << step;
        }
    }
}

} // namespace

} // namespace Jujubekeel
