#include "placing/placementrule.h"
#include "placing/loadreports.h"

#include <gtest/gtest.h>

#include <array>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;

/// The last one may only be used if the others can't.
std::vector<PlacementCandidate> threeAndAvoided()
{
    return {{.wait = milliseconds(40), .unloaded = milliseconds(20), .tieBreak = 1},
            {.wait = milliseconds(10), .unloaded = milliseconds(10), .tieBreak = 2},
            {.wait = milliseconds(40), .unloaded = milliseconds(40), .tieBreak = 0},
            {.rank = 1, .wait = milliseconds(1), .unloaded = milliseconds(1)}};
}

/// How often each candidate comes first.
std::array<int, 4> firstCounts(PlacementRule rule)
{
    std::array<int, 4> counts{};
    for (std::uint64_t draw = 0; draw < 6000; ++draw)
        counts.at(orderCandidates(rule, threeAndAvoided(), draw * 0x9e3779b97f4a7c15U).front()) += 1;
    return counts;
}

// Guards against an order that depends on the random number, or ignores the rank or the tie break.
TEST(PlacementRule, ShortestWaitIsTriedFirst)
{
    for (const std::uint64_t draw : {0U, 1U, 77U})
        EXPECT_EQ(orderCandidates(PlacementRule::ShortestWait, threeAndAvoided(), draw),
                  (std::vector<std::size_t>{1, 2, 0, 3}));
    EXPECT_TRUE(orderCandidates(PlacementRule::Proportional, {}, 1).empty());
}

// Guards against two draws of the same candidate, which would let the worst one come first.
TEST(PlacementRule, BetterOfTwoIsTriedFirst)
{
    const auto counts = firstCounts(PlacementRule::TwoChoices);
    EXPECT_NEAR(counts[1], 4000, 300);
    EXPECT_NEAR(counts[2], 2000, 300);
    EXPECT_EQ(counts[0] + counts[3], 0);
}

// Guards against shares that follow the expected wait and not the speed.
TEST(PlacementRule, SharesFollowTheSpeed)
{
    const auto counts = firstCounts(PlacementRule::Proportional);
    EXPECT_NEAR(counts[0], 6000 * 2.0 / 7, 300);
    EXPECT_NEAR(counts[1], 6000 * 4.0 / 7, 300);
    EXPECT_NEAR(counts[2], 6000 * 1.0 / 7, 300);
    EXPECT_EQ(counts[3], 0);
}

// Guards against members that are gone, or whose reports are lost, and still count.
TEST(LoadReports, OldReportsAreNotCounted)
{
    LoadReports reports;
    reports.received("m1", {{"s0", 3}, {"s1", 1}}, milliseconds(0));
    reports.received("m2", {{"s0", 2}}, milliseconds(200));
    EXPECT_EQ(reports.inFlight("s0", milliseconds(300), milliseconds(300)), 5U);
    EXPECT_EQ(reports.inFlight("s0", milliseconds(301), milliseconds(300)), 2U);
    reports.received("m2", {}, milliseconds(310));
    EXPECT_EQ(reports.inFlight("s0", milliseconds(310), milliseconds(300)), 0U);
}

} // namespace

} // namespace Jujubekeel
