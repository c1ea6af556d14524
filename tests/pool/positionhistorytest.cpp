#include "pool/positionhistory.h"

#include <gtest/gtest.h>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;

LogPosition at(std::uint64_t number)
{
    return LogPosition{.term = 1, .position = number};
}

// Guards against a position being used for commits that were acknowledged after its request, which it may not include.
TEST(PositionHistory, PositionCoversCommitsUntilItsRequest)
{
    PositionHistory history;
    history.add(milliseconds(100), at(10), milliseconds(110));
    history.add(milliseconds(200), at(20), milliseconds(210));
    EXPECT_EQ(history.covering(milliseconds(100)), at(10));
    EXPECT_EQ(history.covering(milliseconds(101)), at(20));
    EXPECT_FALSE(history.covering(milliseconds(201)).has_value());
}

// Guards against a delayed response to an earlier request lowering the position.
TEST(PositionHistory, DelayedResponsesAreIgnored)
{
    PositionHistory history;
    history.add(milliseconds(200), at(20), milliseconds(210));
    history.add(milliseconds(150), at(12), milliseconds(220));
    EXPECT_EQ(history.covering(milliseconds(140)), at(20));
}

// Guards against merged samples with a position that is too low for the moments they cover.
TEST(PositionHistory, MergedSamplesKeepTheNewest)
{
    PositionHistory history({.interval = milliseconds(20), .retention = milliseconds(4000)});
    for (int step = 0; step <= 100; ++step)
        history.add(milliseconds(step), at(static_cast<std::uint64_t>(step)), milliseconds(step));
    EXPECT_EQ(history.newest(), at(100));
    for (int moment = 0; moment <= 100; ++moment) {
        const auto position = history.covering(milliseconds(moment));
        ASSERT_TRUE(position.has_value());
        EXPECT_GE(position->position, static_cast<std::uint64_t>(moment));
    }
}

// Guards against the history growing without bound.
TEST(PositionHistory, OldSamplesAreRemoved)
{
    PositionHistory history({.interval = milliseconds(1), .retention = milliseconds(1000)});
    history.add(milliseconds(0), at(1), milliseconds(0));
    history.add(milliseconds(5000), at(2), milliseconds(5000));
    EXPECT_EQ(history.covering(milliseconds(0)), at(2));
}

} // namespace

} // namespace Jujubekeel
