#include "ratelimit/ratespender.h"

#include "organisations/organisationtable.h"

#include <gtest/gtest.h>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint start = seconds(100);

RateVerdict take(RateSpender &spender, TimePoint now)
{
    return spender.tryTake("acme", now).verdict;
}

// Guards against an operation that runs without a granted one, or that takes one twice.
TEST(RateSpender, AnOperationWaitsForAGrant)
{
    RateSpender spender;
    EXPECT_EQ(take(spender, start), RateVerdict::Wait);
    EXPECT_EQ(take(spender, start), RateVerdict::Wait);
    const auto request = spender.nextRequest(start);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->organisation, "acme");
    EXPECT_EQ(request->place, 0U);
    EXPECT_EQ(request->wanted, 2U);
    EXPECT_FALSE(spender.nextRequest(start)) << "one request at a time";
    EXPECT_EQ(spender.takeWaiting("acme", start).verdict, RateVerdict::Wait);
    spender.granted(*request, {.granted = 2}, start + milliseconds(5));
    EXPECT_EQ(spender.takeWaiting("acme", start + milliseconds(5)).verdict, RateVerdict::Taken);
    EXPECT_EQ(spender.takeWaiting("acme", start + milliseconds(5)).verdict, RateVerdict::Taken);
    EXPECT_EQ(take(spender, start + milliseconds(6)), RateVerdict::Wait);
}

// Guards against granted operations that stay usable after the member has refilled their share, for example in a
// process that was suspended: the time counts from the request, not from the answer.
TEST(RateSpender, GrantedOperationsExpireAfterTheirRequest)
{
    for (const bool late : {false, true}) {
        RateSpender spender;
        for (int operation = 0; operation < 10; ++operation)
            EXPECT_EQ(take(spender, start), RateVerdict::Wait);
        const auto request = spender.nextRequest(start);
        ASSERT_TRUE(request);
        ASSERT_EQ(request->wanted, 12U) << "10 that wait and 2 expected ones";
        if (!late) {
            spender.granted(*request, {.granted = 12}, start + milliseconds(450));
            for (int operation = 0; operation < 10; ++operation)
                EXPECT_EQ(spender.takeWaiting("acme", start + milliseconds(450)).verdict, RateVerdict::Taken);
            EXPECT_EQ(take(spender, start + milliseconds(499)), RateVerdict::Taken);
            EXPECT_NE(take(spender, start + milliseconds(500)), RateVerdict::Taken);
        } else {
            spender.granted(*request, {.granted = 12}, start + milliseconds(500));
            EXPECT_NE(spender.takeWaiting("acme", start + milliseconds(500)).verdict, RateVerdict::Taken);
        }
    }
}

// Guards against an excess that waits, and against asking a member again before it said it would grant more.
TEST(RateSpender, RefusesWhenAllThreeHaveDenied)
{
    RateSpender spender;
    EXPECT_EQ(take(spender, start), RateVerdict::Wait);
    for (std::size_t place = 0; place < 3; ++place) {
        const auto request = spender.nextRequest(start);
        ASSERT_TRUE(request);
        EXPECT_EQ(request->place, place);
        EXPECT_EQ(spender.takeWaiting("acme", start).verdict, RateVerdict::Wait);
        spender.granted(*request, {.granted = 0, .retryAfter = milliseconds(300 - 100 * static_cast<int>(place))},
                        start);
    }
    EXPECT_FALSE(spender.nextRequest(start));
    const RateDecision refused = spender.takeWaiting("acme", start);
    EXPECT_EQ(refused.verdict, RateVerdict::Refused);
    EXPECT_EQ(refused.retryAfter, milliseconds(100));
    const RateDecision next = spender.tryTake("acme", start + milliseconds(99));
    EXPECT_EQ(next.verdict, RateVerdict::Refused);
    EXPECT_EQ(next.retryAfter, milliseconds(20));
    EXPECT_FALSE(spender.nextRequest(start + milliseconds(99)));
    // Only the member whose time has come is asked.
    EXPECT_EQ(take(spender, start + milliseconds(100)), RateVerdict::Wait);
    EXPECT_EQ(spender.nextRequest(start + milliseconds(100))->place, 2U);
}

// Guards against a member that does not answer holding up every operation, and against losing its late grant.
TEST(RateSpender, SilentMemberIsPassedOver)
{
    RateSpender spender({.reserveFactor = 0}); // otherwise an operation would not wait for the other member
    EXPECT_EQ(take(spender, start), RateVerdict::Wait);
    const auto first = spender.nextRequest(start);
    spender.unanswered(*first, start + milliseconds(150));
    const auto second = spender.nextRequest(start + milliseconds(150));
    ASSERT_TRUE(second);
    EXPECT_EQ(second->place, 1U);
    spender.granted(*first, {.granted = 1}, start + milliseconds(160));
    EXPECT_EQ(spender.takeWaiting("acme", start + milliseconds(160)).verdict, RateVerdict::Taken);
    spender.unanswered(*second, start + milliseconds(300));
    EXPECT_EQ(take(spender, start + milliseconds(310)), RateVerdict::Wait);
    EXPECT_EQ(spender.nextRequest(start + milliseconds(310))->place, 0U) << "it has answered";
}

// Guards against members that are slow for a moment stopping an organisation that stays below its limit, and against the
// same room for one that was denied operations.
TEST(RateSpender, ReserveRunsOperationsWhileMembersAreSilent)
{
    for (const bool isAtLimit : {false, true}) {
        RateSpender spender;
        EXPECT_EQ(take(spender, start), RateVerdict::Wait);
        const auto first = spender.nextRequest(start);
        spender.granted(*first, {.granted = 1}, start);
        EXPECT_EQ(spender.takeWaiting("acme", start).verdict, RateVerdict::Taken);
        EXPECT_EQ(take(spender, start + milliseconds(100)), RateVerdict::Wait);
        if (isAtLimit) {
            const auto denied = spender.nextRequest(start + milliseconds(100));
            spender.granted(*denied, {.granted = 0, .retryAfter = milliseconds(500)}, start + milliseconds(101));
        }
        const auto silent = spender.nextRequest(start + milliseconds(102));
        spender.unanswered(*silent, start + milliseconds(260));
        EXPECT_EQ(spender.takeWaiting("acme", start + milliseconds(260)).verdict,
                  isAtLimit ? RateVerdict::Wait : RateVerdict::Taken);
        EXPECT_EQ(take(spender, start + milliseconds(270)), RateVerdict::Wait) << "the reserve is used up";
    }
}

// Guards against one request for each operation of a busy organisation.
TEST(RateSpender, RequestsWhatItExpectsToNeed)
{
    RateSpender spender;
    std::size_t requests = 0;
    std::size_t waits = 0;
    for (int operation = 0; operation < 1000; ++operation) {
        const TimePoint now = start + operation * milliseconds(10);
        waits += take(spender, now) == RateVerdict::Wait ? 1 : 0;
        while (const auto request = spender.nextRequest(now)) {
            ++requests;
            spender.granted(*request, {.granted = request->wanted}, now);
        }
        while (operation == 0 || waits > 0) {
            if (spender.takeWaiting("acme", now).verdict != RateVerdict::Taken || --waits == 0)
                break;
        }
    }
    EXPECT_LE(requests, 120U);
}

// Guards against a grant above the request, and rows of organisations that no longer exist.
TEST(RateSpender, IgnoresWhatWasNotRequestedAndRemovedOrganisations)
{
    RateSpender spender;
    EXPECT_EQ(take(spender, start), RateVerdict::Wait);
    const auto request = spender.nextRequest(start);
    spender.granted(*request, {.granted = 1000}, start);
    EXPECT_EQ(spender.takeWaiting("acme", start).verdict, RateVerdict::Taken);
    EXPECT_NE(take(spender, start), RateVerdict::Taken);
    spender.removeWaiting("acme");
    spender.setTable(OrganisationTable(2));
    spender.granted(*request, {.granted = 1}, start);
    spender.unanswered(*request, start);
    EXPECT_FALSE(spender.nextRequest(start));
}

} // namespace

} // namespace Jujubekeel
