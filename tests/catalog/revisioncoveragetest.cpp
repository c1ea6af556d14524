#include "catalog/revisioncoverage.h"

#include <gtest/gtest.h>

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <vector>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Coverage : testing::Test
{
    Coverage()
    {
        for (const FollowedKind kind : {FollowedKind::Routes, FollowedKind::Servers})
            this->coverage.setFollowed(kind, true, this->now);
        for (const FollowedKind kind : {FollowedKind::Routes, FollowedKind::Servers, FollowedKind::Fleet})
            this->report(kind, 10, {});
    }
    void report(FollowedKind kind, std::uint64_t revision, const std::vector<std::uint64_t> &revisions,
                std::uint64_t era = 1)
    {
        this->coverage.reported(kind, StoreVersion{.era = era, .revision = revision}, revisions, this->now);
    }
    std::vector<FollowedKind> dueAfter(Duration duration)
    {
        this->now += duration;
        return this->coverage.takeDue(this->now);
    }

    RevisionCoverage coverage;
    TimePoint now{seconds(100)};
};

// Guards against a lost answer that is taken for a watch that waits: a configuration was missed for up to 11.5 s after an
// outage of the store (review case 5).
TEST_F(Coverage, ChangeThatNoWatchHasReportedIsListed)
{
    this->report(FollowedKind::Fleet, 12, {12});
    EXPECT_EQ(this->dueAfter(milliseconds(499)), std::vector<FollowedKind>{});
    EXPECT_EQ(this->dueAfter(milliseconds(1)),
              (std::vector<FollowedKind>{FollowedKind::Routes, FollowedKind::Servers}));
    this->report(FollowedKind::Routes, 12, {11});
    this->report(FollowedKind::Servers, 12, {});
    EXPECT_FALSE(this->coverage.nextDue().has_value());
}

// Guards against listings, each of which is a call with a price, for changes that a watch has reported.
TEST_F(Coverage, ReportedChangesCauseNoListing)
{
    this->report(FollowedKind::Fleet, 11, {11});
    this->report(FollowedKind::Servers, 12, {12});
    this->report(FollowedKind::Routes, 13, {13});
    this->report(FollowedKind::Fleet, 14, {14});
    EXPECT_FALSE(this->coverage.nextDue().has_value());
    EXPECT_EQ(this->dueAfter(seconds(10)), std::vector<FollowedKind>{});
}

// Guards against a listing for a change whose report is only later than that of another kind.
TEST_F(Coverage, LateReportEndsTheSuspicion)
{
    this->report(FollowedKind::Fleet, 11, {});
    ASSERT_TRUE(this->coverage.nextDue().has_value());
    this->now += milliseconds(300);
    this->report(FollowedKind::Servers, 11, {11});
    EXPECT_FALSE(this->coverage.nextDue().has_value());
}

// Guards against a watch that waits for an answer of the earlier era after the store returned from an older copy.
TEST_F(Coverage, KindThatWasNotReadInTheNewEraIsListed)
{
    this->report(FollowedKind::Fleet, 5, {}, 2);
    this->report(FollowedKind::Servers, 5, {}, 2);
    EXPECT_EQ(this->dueAfter(milliseconds(500)), std::vector<FollowedKind>{FollowedKind::Routes});
    this->report(FollowedKind::Routes, 5, {}, 2);
    EXPECT_FALSE(this->coverage.nextDue().has_value());
}

// Guards against a listing for each change of a kind that is not followed.
TEST_F(Coverage, ListingsOfForeignChangesAreLimited)
{
    std::size_t listings = 0;
    std::uint64_t revision = 10;
    for (int step = 0; step < 200; ++step) {
        this->now += milliseconds(50);
        revision += 1;
        this->report(FollowedKind::Fleet, revision, {});
        for (const FollowedKind kind : this->coverage.takeDue(this->now)) {
            listings += 1;
            this->report(kind, revision, {});
        }
    }
    // Two kinds in 10 s, each no more often than every 2 s.
    EXPECT_LE(listings, 10U);
    EXPECT_GE(listings, 6U);
}

// Guards against a kind that is not followed being listed.
TEST_F(Coverage, KindThatIsNotFollowedIsNeverDue)
{
    this->coverage.setFollowed(FollowedKind::Servers, false, this->now);
    this->report(FollowedKind::Fleet, 12, {});
    EXPECT_EQ(this->dueAfter(seconds(1)), std::vector<FollowedKind>{FollowedKind::Routes});
}

// Guards against a lost change going unnoticed in any order of reports.
TEST(RevisionCoverage, NoLostChangeGoesUnnoticed)
{
    EXPECT_TRUE(rc::check([] {
        RevisionCoverage tested;
        TimePoint now{seconds(100)};
        tested.setFollowed(FollowedKind::Routes, true, now);
        tested.setFollowed(FollowedKind::Servers, true, now);
        constexpr std::array kinds{FollowedKind::Routes, FollowedKind::Servers, FollowedKind::Fleet};
        for (const FollowedKind kind : kinds)
            tested.reported(kind, StoreVersion{.era = 1, .revision = 1}, {}, now);
        // Changes of the three kinds; the watch on the routes hangs from the start.
        const auto changes = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 3));
        bool routesChanged = false;
        std::uint64_t revision = 1;
        for (const std::size_t change : changes) {
            revision += 1;
            now += milliseconds(10);
            routesChanged = routesChanged || change == 0;
            if (change != 0)
                tested.reported(kinds.at(change), StoreVersion{.era = 1, .revision = revision}, std::array{revision},
                                now);
        }
        tested.reported(FollowedKind::Fleet, StoreVersion{.era = 1, .revision = revision}, {}, now);
        const auto due = tested.takeDue(now + milliseconds(500));
        const bool listsRoutes = std::find(due.begin(), due.end(), FollowedKind::Routes) != due.end();
        RC_ASSERT(listsRoutes == routesChanged);
    }));
}

} // namespace

} // namespace Jujubekeel
