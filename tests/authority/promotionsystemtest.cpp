#include "support/corefleet.h"

#include <gtest/gtest.h>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs a fleet until every server has an owner and every proxy has learned of the primary b0.
void settle(CoreFleet &fleet)
{
    ASSERT_TRUE(fleet.runUntil(seconds(3), [&] { return fleet.allOwned() && fleet.allHavePrimary(0); }));
    fleet.run(seconds(6)); // past the hold-off that starts when the first primary becomes known
    ASSERT_EQ(fleet.counter("jujubekeel_promotions_started_total"), 0U);
}

bool replicatesFrom(const CoreFleet &fleet, std::uint32_t server, const std::string &primary, std::uint64_t term)
{
    const ServerStatus status = fleet.status(server);
    return status.role == BackendRole::Replica && status.primary == primary && status.history.lastTerm() == term;
}

// Guards against a long failover gap: a killed primary is replaced within a second.
TEST(PromotionSystem, KilledPrimaryIsReplacedWithinASecond)
{
    CoreFleet fleet;
    settle(fleet);
    fleet.kill(0);
    ASSERT_TRUE(fleet.runUntil(seconds(1), [&] { return !fleet.allHavePrimary(0) && fleet.knownPrimary(0) > 0; }));
    fleet.run(seconds(1));
    const int primary = fleet.knownPrimary(0);
    EXPECT_TRUE(fleet.allHavePrimary(primary));
    EXPECT_EQ(fleet.status(static_cast<std::uint32_t>(primary)).history.lastTerm(), 2U);
    EXPECT_TRUE(replicatesFrom(fleet, static_cast<std::uint32_t>(3 - primary), "b" + std::to_string(primary), 2));
    EXPECT_EQ(fleet.counter("jujubekeel_promotions_finished_total"), 1U);
}

// Guards against two primaries after a restart: a server that returns under an older term must follow the new primary.
TEST(PromotionSystem, ReturningPrimaryFollowsTheNewOne)
{
    CoreFleet fleet;
    settle(fleet);
    fleet.kill(0);
    fleet.run(seconds(3));
    const int primary = fleet.knownPrimary(0);
    ASSERT_GT(primary, 0);
    fleet.restart(0);
    EXPECT_TRUE(fleet.runUntil(seconds(6), [&] { return replicatesFrom(fleet, 0, "b" + std::to_string(primary), 2); }));
    EXPECT_TRUE(fleet.allHavePrimary(primary));
}

// Guards against a series of promotions while links are unstable: a new primary that becomes silent is kept until the
// hold-off has passed.
TEST(PromotionSystem, SilentNewPrimaryIsKeptForTheHoldOff)
{
    CoreFleet fleet;
    settle(fleet);
    fleet.kill(0);
    ASSERT_TRUE(fleet.runUntil(seconds(2), [&] { return fleet.counter("jujubekeel_promotions_finished_total") == 1; }));
    const int primary = fleet.knownPrimary(0);
    ASSERT_GT(primary, 0);
    fleet.restart(0);
    const std::string silent = "b" + std::to_string(primary);
    fleet.run(seconds(1));
    for (const std::string node : {"i0", "i1", "i2", "b0", "b1", "b2"}) {
        if (node != silent)
            fleet.cut(node, silent);
    }
    fleet.run(seconds(3));
    EXPECT_EQ(fleet.counter("jujubekeel_promotions_started_total"), 1U);
    EXPECT_TRUE(fleet.runUntil(seconds(6), [&] { return fleet.counter("jujubekeel_promotions_started_total") > 1; }));
}

// Guards against replacing a primary that only one proxy, the coordinator, cannot reach.
TEST(PromotionSystem, PrimaryUnreachableForTheCoordinatorAloneStays)
{
    CoreFleet fleet({.instancesPerDomain = 2});
    settle(fleet);
    fleet.cut("i" + std::to_string(fleet.coordinator()), "b0");
    fleet.run(seconds(10));
    EXPECT_EQ(fleet.counter("jujubekeel_promotions_started_total"), 0U);
    EXPECT_TRUE(fleet.allOwned());
}

// Guards against replacing a primary that no proxy reaches for a few seconds while its replicas still receive from it.
TEST(PromotionSystem, PrimaryReachableFromItsReplicasStays)
{
    CoreFleet fleet;
    settle(fleet);
    for (const char *instance : {"i0", "i1", "i2"})
        fleet.cut(instance, "b0");
    fleet.run(seconds(8));
    fleet.heal();
    fleet.run(seconds(3));
    EXPECT_EQ(fleet.counter("jujubekeel_promotions_started_total"), 0U);
    EXPECT_TRUE(fleet.allOwned());
}

// Guards against replacing a primary that is only slow: just below the ping timeout, and so slow that no proxy can keep
// its control connection while the replicas still receive from it.
TEST(PromotionSystem, SlowPrimaryStays)
{
    for (const Duration delay : {milliseconds(550), milliseconds(900)}) {
        CoreFleet fleet;
        settle(fleet);
        fleet.delayAnswers(0, delay);
        fleet.run(seconds(15));
        fleet.delayAnswers(0, milliseconds(0));
        fleet.run(seconds(3));
        EXPECT_EQ(fleet.counter("jujubekeel_promotions_started_total"), 0U) << delay.count();
        EXPECT_TRUE(fleet.allOwned());
    }
}

// Guards against a promotion that continues although a majority refused its fence, and against one that is never
// retried.
TEST(PromotionSystem, FenceRefusedByAMajorityIsRetriedWithAHigherTerm)
{
    CoreFleet fleet;
    settle(fleet);
    fleet.kill(0);
    std::uint64_t term = 100;
    for (int round = 0; round < 2000; ++round) {
        term += 10;
        fleet.request(1, "i9", {.operation = BackendOperation::Fence, .term = term});
        fleet.request(2, "i9", {.operation = BackendOperation::Fence, .term = term});
        fleet.run(milliseconds(1));
    }
    EXPECT_GE(fleet.counter("jujubekeel_promotions_failed_total"), 1U);
    EXPECT_EQ(fleet.counter("jujubekeel_promotions_finished_total"), 0U);
    ASSERT_TRUE(fleet.runUntil(seconds(6), [&] { return fleet.knownPrimary(0) > 0; }));
    EXPECT_GT(fleet.world(0).databases.front().history.lastTerm(), term);
}

// Guards against keeping a primary that accepts connections but can confirm nothing, because it cannot reach its
// replicas.
TEST(PromotionSystem, CutOffPrimaryIsReplacedAndFollowsOnceItReturns)
{
    CoreFleet fleet;
    settle(fleet);
    fleet.cut("b0", "b1");
    fleet.cut("b0", "b2");
    fleet.run(seconds(2));
    EXPECT_EQ(fleet.counter("jujubekeel_promotions_started_total"), 0U);
    ASSERT_TRUE(fleet.runUntil(seconds(3), [&] { return fleet.knownPrimary(0) > 0; }));
    const int primary = fleet.knownPrimary(0);
    fleet.run(seconds(10));
    EXPECT_TRUE(fleet.allHavePrimary(primary));
    EXPECT_EQ(fleet.counter("jujubekeel_promotions_finished_total"), 1U);

    fleet.heal();
    EXPECT_TRUE(fleet.runUntil(seconds(4), [&] { return replicatesFrom(fleet, 0, "b" + std::to_string(primary), 2); }));
}

// Guards against counting time in which no proxy reached the primary as time in which it confirmed nothing: the whole
// group was unreachable, returns, and needs no new primary.
TEST(PromotionSystem, ReturnOfTheWholeGroupNeedsNoPromotion)
{
    CoreFleet fleet;
    settle(fleet);
    fleet.kill(1);
    fleet.kill(2);
    for (const char *instance : {"i0", "i1", "i2"})
        fleet.cut(instance, "b0");
    fleet.run(seconds(10));
    fleet.heal();
    // The coordinator learns of the primary from the first report of its new owner, which carries the old age.
    fleet.cut("i" + std::to_string(fleet.coordinator()), "b0");
    fleet.restart(1);
    fleet.restart(2);
    ASSERT_TRUE(fleet.runUntil(seconds(3), [&] { return fleet.allOwned(); }));
    fleet.run(seconds(6));
    EXPECT_EQ(fleet.counter("jujubekeel_promotions_started_total"), 0U);
}

// Guards against two primaries when the old one is reachable from its own failure domain only: proxies there must
// neither promote a server nor confirm reads, and the other side must continue with a new primary.
TEST(PromotionSystem, IsolatedFailureDomainNeitherPromotesNorConfirms)
{
    CoreFleet fleet({.instancesPerDomain = 2});
    settle(fleet);
    const TimePoint cutAt = fleet.now();
    fleet.isolate({"i0", "i1", "b0"});
    ASSERT_TRUE(fleet.runUntil(seconds(5), [&] { return fleet.knownPrimary(2) > 0; }));
    fleet.run(seconds(10));
    EXPECT_EQ(fleet.status(0).history.lastTerm(), 1U);
    for (const std::uint32_t inside : {0U, 1U}) {
        EXPECT_EQ(fleet.knownPrimary(inside), 0);
        const World &world = fleet.world(inside);
        EXPECT_FALSE(ConfirmationSystem::isReadConfirmed(world, BackendId{.index = 0, .generation = 0}, 1,
                                                         cutAt + milliseconds(5)));
    }

    fleet.heal();
    const int primary = fleet.knownPrimary(2);
    EXPECT_TRUE(fleet.runUntil(seconds(5), [&] {
        return fleet.allHavePrimary(primary) && replicatesFrom(fleet, 0, "b" + std::to_string(primary), 2);
    }));
    EXPECT_EQ(fleet.counter("jujubekeel_promotions_finished_total"), 1U);
}

// Guards against a platform outage that prevents promotions: the fence alone is sufficient.
TEST(PromotionSystem, PromotesWithoutThePlatform)
{
    CoreFleet fleet;
    settle(fleet);
    fleet.platform().setDown(true);
    fleet.kill(0);
    EXPECT_TRUE(fleet.runUntil(seconds(2), [&] { return fleet.knownPrimary(0) > 0; }));
}

// Guards against a second claim, or a wait, after a claim whose answer was lost.
TEST(PromotionSystem, RecognisesItsClaimAfterALostAnswer)
{
    CoreFleet fleet;
    settle(fleet);
    fleet.platform().loseAnswers(1);
    const std::uint64_t writes = fleet.platform().writes();
    fleet.kill(0);
    ASSERT_TRUE(fleet.runUntil(milliseconds(900), [&] { return fleet.knownPrimary(0) > 0; }));
    EXPECT_EQ(fleet.platform().writes(), writes + 1);
    EXPECT_EQ(fleet.status(static_cast<std::uint32_t>(fleet.knownPrimary(0))).history.lastTerm(), 2U);
}

// Guards against two primaries when proxies that cannot reach each other promote at the same time without the platform.
TEST(PromotionSystem, RacingPromotersLeaveOnePrimary)
{
    CoreFleet fleet;
    settle(fleet);
    fleet.platform().setDown(true);
    fleet.cut("i0", "i1");
    fleet.cut("i0", "i2");
    fleet.cut("i1", "i2");
    fleet.kill(0);
    fleet.run(seconds(12));
    const ServerStatus left = fleet.status(1);
    const ServerStatus right = fleet.status(2);
    const std::uint64_t newest = std::max(left.history.lastTerm(), right.history.lastTerm());
    const int primaries = static_cast<int>(left.role == BackendRole::Primary && left.fencedTerm <= newest)
                          + static_cast<int>(right.role == BackendRole::Primary && right.fencedTerm <= newest);
    EXPECT_EQ(primaries, 1);
    EXPECT_GE(newest, 2U);
    fleet.heal();
    EXPECT_TRUE(fleet.runUntil(
        seconds(5), [&] { return fleet.knownPrimary(0) > 0 && fleet.allHavePrimary(fleet.knownPrimary(0)); }));
}

// Guards against a promotion without a majority: with a second server down nothing may be promoted, and the group
// recovers when one comes back.
TEST(PromotionSystem, NoPromotionWithoutAMajority)
{
    CoreFleet fleet;
    settle(fleet);
    fleet.kill(1);
    fleet.run(seconds(1));
    fleet.kill(0);
    fleet.run(seconds(8));
    EXPECT_EQ(fleet.counter("jujubekeel_promotions_finished_total"), 0U);
    fleet.restart(1);
    EXPECT_TRUE(fleet.runUntil(seconds(6), [&] { return fleet.knownPrimary(0) > 0; }));
}

// Guards against a promoter that loses the majority while it fences: the one server that it still reaches must not be
// promoted, because a confirmed write may be on the other.
TEST(PromotionSystem, FenceWithoutAMajorityPromotesNothing)
{
    CoreFleet fleet;
    settle(fleet);
    const std::uint32_t promoter = fleet.coordinator();
    fleet.kill(0);
    ASSERT_TRUE(fleet.runUntil(
        seconds(2), [&] { return fleet.world(promoter).databases.front().promotion.step == PromotionStep::Fencing; }));
    ASSERT_EQ(fleet.status(1).fencedTerm, 1U);
    fleet.isolate({"i" + std::to_string(promoter), "b1"});
    fleet.run(seconds(2));
    EXPECT_EQ(fleet.status(1).fencedTerm, 2U) << "the fence did not arrive";
    EXPECT_EQ(fleet.status(1).role, BackendRole::Replica) << "promoted by one of three servers";
    EXPECT_EQ(fleet.counter("jujubekeel_promotions_finished_total"), 0U);
}

// Guards against the loss of a confirmed write by promoting a replica that is behind the one that confirmed it.
TEST(PromotionSystem, ReplicaThatHoldsTheConfirmedWriteIsPromoted)
{
    CoreFleet fleet;
    settle(fleet);
    for (std::uint32_t index = 0; index < 3; ++index) {
        fleet.input(index,
                    PeerMessageArrived{.from = InstanceId{.index = (index + 1) % 3, .generation = 0},
                                       .message = RulesUpdate{.version = 1, .text = "no-repeat db pay.* # test\n"}});
    }
    fleet.run(milliseconds(100));

    // Only b2 receives the write.
    fleet.cut("b0", "b1");
    fleet.input(0, CallerRequestArrived{.request = {.ticket = 1,
                                                    .database = "db",
                                                    .caller = "caller",
                                                    .operation = "note.add",
                                                    .kind = RequestKind::Write,
                                                    .statement = "append k 1",
                                                    .timeout = seconds(1)}});
    ASSERT_TRUE(fleet.runUntil(seconds(1), [&] { return !fleet.answers().empty(); }));
    ASSERT_EQ(fleet.answers().front().code, ResultCode::Ok) << fleet.answers().front().text;
    ASSERT_LT(fleet.status(1).received.position, fleet.status(2).received.position);
    fleet.kill(0);
    ASSERT_TRUE(fleet.runUntil(seconds(3), [&] { return fleet.knownPrimary(0) > 0; }));
    EXPECT_EQ(fleet.knownPrimary(0), 2) << "promoted the server that lacks the confirmed write";
    EXPECT_EQ(fleet.server(2).log().size(), 1U);
}

// Guards against a fence left behind by a promoter that failed: the primary can confirm nothing any more, and the group
// needs a new term.
TEST(PromotionSystem, AbandonedFenceIsFollowedByANewTerm)
{
    CoreFleet fleet;
    settle(fleet);
    fleet.request(1, "i9", {.operation = BackendOperation::Fence, .term = 7});
    fleet.request(2, "i9", {.operation = BackendOperation::Fence, .term = 7});
    ASSERT_TRUE(fleet.runUntil(seconds(6), [&] { return fleet.counter("jujubekeel_promotions_finished_total") == 1; }));
    EXPECT_EQ(fleet.world(0).databases.front().history.lastTerm(), 8U);
    fleet.run(seconds(8));
    EXPECT_EQ(fleet.counter("jujubekeel_promotions_started_total"), 1U);
}

// Guards against repeated promotions while the links between servers come and go.
TEST(PromotionSystem, FlappingLinksCauseNoPromotion)
{
    CoreFleet fleet;
    settle(fleet);
    for (int round = 0; round < 10; ++round) {
        const int primary = fleet.knownPrimary(1);
        for (int other = 0; other < 3; ++other) {
            if (other != primary)
                fleet.cut("b" + std::to_string(primary), "b" + std::to_string(other));
        }
        fleet.run(seconds(1));
        fleet.heal();
        fleet.run(seconds(1));
    }
    EXPECT_EQ(fleet.counter("jujubekeel_promotions_started_total"), 0U);
}

// Guards against writes that stay paused after a switchover, and against a switchover that loses the end of the log.
TEST(PromotionSystem, LeavingPrimaryIsReplacedByAPlannedSwitchover)
{
    CoreFleet fleet;
    settle(fleet);
    const RulesUpdate update{.version = 1, .text = "leaving backend b0 # Anjali Mohammed: rack change\n"};
    for (std::uint32_t index = 0; index < 3; ++index) {
        fleet.input(index, PeerMessageArrived{.from = InstanceId{.index = (index + 1) % 3, .generation = 0},
                                              .message = update});
    }
    ASSERT_TRUE(fleet.runUntil(seconds(2), [&] { return fleet.knownPrimary(0) > 0; }));
    const int primary = fleet.knownPrimary(0);
    fleet.run(milliseconds(200));
    EXPECT_TRUE(replicatesFrom(fleet, 0, "b" + std::to_string(primary), 2));
    EXPECT_EQ(fleet.logged("writes-paused"), 1U);
    for (std::uint32_t index = 0; index < 3; ++index)
        EXPECT_FALSE(fleet.world(index).databases.front().writesPaused);
    fleet.run(seconds(10));
    EXPECT_EQ(fleet.counter("jujubekeel_promotions_started_total"), 1U);
}

// Guards against errors and long waits of callers during a planned switchover.
TEST(PromotionSystem, WritesDuringAPlannedSwitchoverAllSucceed)
{
    CoreFleet fleet({.instancesPerDomain = 2});
    const auto setRules = [&](std::uint64_t version, const std::string &text) {
        for (std::uint32_t index = 0; index < 6; ++index) {
            fleet.input(index, PeerMessageArrived{.from = InstanceId{.index = (index + 1) % 6, .generation = 0},
                                                  .message = RulesUpdate{.version = version, .text = text}});
        }
    };
    setRules(1, "no-repeat db pay.* # Keith Joseph: test\n");
    settle(fleet);
    for (std::uint64_t ticket = 1; ticket <= 300; ++ticket) {
        if (ticket == 50)
            setRules(2, "leaving backend b0 # Anjali Mohammed: rack change\n");
        const CallerRequest request{.ticket = ticket,
                                    .id = "r" + std::to_string(ticket),
                                    .database = "db",
                                    .caller = "c",
                                    .operation = ticket % 2 == 0 ? "pay.add" : "note.add",
                                    .kind = RequestKind::Write,
                                    .statement = "append k " + std::to_string(ticket),
                                    .timeout = seconds(1)};
        fleet.input(static_cast<std::uint32_t>(ticket % 6), CallerRequestArrived{.request = request});
        fleet.run(milliseconds(10));
    }
    fleet.run(seconds(1));
    EXPECT_TRUE(fleet.allHavePrimary(1) || fleet.allHavePrimary(2));
    ASSERT_EQ(fleet.answers().size(), 300U);
    for (const CallerAnswer &answer : fleet.answers())
        EXPECT_EQ(answer.code, ResultCode::Ok) << answer.text;
    EXPECT_EQ(fleet.server(static_cast<std::uint32_t>(fleet.knownPrimary(0))).log().size(), 300U);
}

// Guards against writes that stay paused because the coordinator has failed.
TEST(PromotionSystem, PauseOfWritesEndsWithoutTheCoordinator)
{
    CoreFleet fleet;
    settle(fleet);
    const auto owner = static_cast<std::uint32_t>(fleet.holder(0));
    const WritePause pause{
        .database = DatabaseId{.index = 0, .generation = 0}, .term = 1, .paused = true, .duration = seconds(1)};
    fleet.input(owner,
                PeerMessageArrived{.from = InstanceId{.index = (owner + 1) % 3, .generation = 0}, .message = pause});
    fleet.run(milliseconds(50));
    EXPECT_TRUE(fleet.world(owner).databases.front().writesPaused);
    fleet.run(milliseconds(1100));
    EXPECT_FALSE(fleet.world(owner).databases.front().writesPaused);
}

// Guards against a pause requested by a coordinator under another term than the current one.
TEST(PromotionSystem, PauseOfAnotherTermIsIgnored)
{
    CoreFleet fleet;
    settle(fleet);
    const auto owner = static_cast<std::uint32_t>(fleet.holder(0));
    const WritePause pause{
        .database = DatabaseId{.index = 0, .generation = 0}, .term = 9, .paused = true, .duration = seconds(1)};
    fleet.input(owner,
                PeerMessageArrived{.from = InstanceId{.index = (owner + 1) % 3, .generation = 0}, .message = pause});
    fleet.run(milliseconds(50));
    EXPECT_FALSE(fleet.world(owner).databases.front().writesPaused);
}

// Guards against a promotion under a lease policy while the old owner may still acknowledge under its lease.
TEST(PromotionSystem, LeasePolicyWaitsForTheEndOfTheLease)
{
    CoreFleetOptions options;
    options.proxy.authority.policy = AuthorityPolicy::LeaseAndConfirmation;
    CoreFleet fleet(options);
    settle(fleet);
    const auto owner = static_cast<std::uint32_t>(fleet.holder(0));
    ASSERT_GT(fleet.world(owner).backends.front().confirmation.lease.validUntil, fleet.now());

    fleet.kill(0);
    const TimePoint validUntil = fleet.world(owner).backends.front().confirmation.lease.validUntil;
    ASSERT_TRUE(fleet.runUntil(seconds(8), [&] { return fleet.knownPrimary(0) > 0; }));
    EXPECT_GE(fleet.now(), validUntil);

    // The new owner gets a lease for the new term.
    fleet.run(seconds(3));
    const auto primary = static_cast<std::uint32_t>(fleet.knownPrimary(0));
    const auto newOwner = static_cast<std::uint32_t>(fleet.holder(primary));
    const LeaseState &lease = fleet.world(newOwner).backends[primary].confirmation.lease;
    EXPECT_EQ(lease.term, 2U);
    EXPECT_GT(lease.validUntil, fleet.now());
}

} // namespace

} // namespace Jujubekeel
