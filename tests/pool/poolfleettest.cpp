#include "pool/poolsupport.h"
#include "virtualpool/poolfaults.h"

#include <algorithm>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against operations without a reply although there is no fault, and against replicas getting no reads.
TEST(PoolFleet, FleetWithoutFaultsAnswersAllOperations)
{
    LoadedPool run;
    run.finish();
    EXPECT_EQ(run.answered(), run.workload.operations().size());
    EXPECT_EQ(run.pool.promotions(), 0U);
    std::size_t readsAtReplicas = 0;
    for (const GroupHistory::Read &read : run.pool.group().history().reads)
        readsAtReplicas += read.server == 0 ? 0 : 1;
    EXPECT_GT(readsAtReplicas, 0U);
}

// Guards against writes failing for more than the target of 2 s, beyond the promotion time of the platform.
TEST(PoolFleet, CrashedPrimaryIsReplaced)
{
    LoadedPool run;
    run.pool.run(seconds(3));
    const TimePoint crash = run.pool.now();
    run.pool.stopServer(0);
    run.finish();
    EXPECT_EQ(run.pool.promotions(), 1U);
    EXPECT_LE(run.writeGap(crash), milliseconds(2300));
}

// Guards against a primary that no longer answers being kept because its connections stay open.
TEST(PoolFleet, UnresponsivePrimaryIsReplaced)
{
    LoadedPool run;
    run.pool.run(seconds(3));
    const TimePoint cut = run.pool.now();
    for (std::size_t instance = 0; instance < 3; ++instance)
        run.pool.isolateInstanceFromServer(instance, 0, true);
    run.finish();
    EXPECT_EQ(run.pool.promotions(), 1U);
    EXPECT_LE(run.writeGap(cut), milliseconds(4300));
}

// Guards against instances without traffic blocking a replacement: they reported the primary as reachable without
// having probed it.
TEST(PoolFleet, IdleInstancesDoNotKeepAnUnresponsivePrimary)
{
    VirtualPool pool({.instances = 6});
    PoolWorkload workload(pool, {.instances = 3});
    pool.run(seconds(2));
    workload.start(pool.now() + seconds(12));
    pool.run(seconds(3));
    for (std::size_t instance = 0; instance < 6; ++instance)
        pool.isolateInstanceFromServer(instance, 0, true);
    pool.run(seconds(20));
    EXPECT_EQ(pool.promotions(), 1U);
    EXPECT_EQ(joined(findViolations(pool.group(), workload)), "");
}

// Guards against errors and lost commits when a primary leaves as planned.
TEST(PoolFleet, LeavingPrimaryIsReplacedWithoutLostCommits)
{
    LoadedPool run;
    run.pool.run(seconds(3));
    run.pool.setDraining(0);
    run.pool.at(seconds(7), [&] { run.pool.stopServer(0); });
    run.finish();
    EXPECT_EQ(run.pool.promotions(), 1U);
    for (const PoolOperation &operation : run.workload.operations()) {
        EXPECT_EQ(operation.error.value_or(OutcomeCode::Aborted), OutcomeCode::Aborted)
            << "only transactions that the replacement interrupted may fail";
    }
    const auto &promotions = run.pool.group().history().promotions;
    ASSERT_EQ(promotions.size(), 2U);
    for (const GroupHistory::Commit &commit : run.pool.group().history().commits)
        EXPECT_TRUE(commit.position.term == promotions[1].term || commit.position.position <= promotions[1].base);
}

// Guards against a leaving replica getting new work for longer than the few seconds that are allowed.
TEST(PoolFleet, LeavingReplicaGetsNoNewWork)
{
    LoadedPool run;
    run.pool.run(seconds(3));
    run.pool.setDraining(1);
    run.pool.run(seconds(2));
    const auto readsAtLeaving = [&] {
        const auto &reads = run.pool.group().history().reads;
        return std::count_if(reads.begin(), reads.end(), [](const auto &read) { return read.server == 1; });
    };
    const auto before = readsAtLeaving();
    run.finish();
    EXPECT_EQ(readsAtLeaving(), before);
}

// Guards against the replacement of a running primary some of whose responses are lost (seen on day trouble-1 of the
// second site).
TEST(PoolFleet, PrimaryWithLostResponsesIsNotReplaced)
{
    LoadedPool run;
    run.pool.run(seconds(2));
    run.pool.group().setLostAnswers(0, 15);
    run.pool.at(seconds(5), [&] { run.pool.group().setLostAnswers(0, 0); });
    run.finish();
    EXPECT_EQ(run.pool.promotions(), 0U);
}

// Guards against a store outage shorter than the lease interrupting writes or reads.
TEST(PoolFleet, ShortStoreOutageInterruptsNoWork)
{
    LoadedPool run;
    run.pool.run(seconds(3));
    const TimePoint start = run.pool.now();
    run.pool.setStoreAvailable(false);
    run.pool.at(milliseconds(4000), [&] { run.pool.setStoreAvailable(true); });
    run.finish();
    EXPECT_EQ(run.answered(), run.workload.operations().size());
    EXPECT_LE(run.writeGap(start), milliseconds(500));
}

// Guards against results of a replaced primary being accepted by an instance that can't learn of the replacement: it is
// cut off from the store, while the others are cut off from the primary and replace it.
TEST(PoolFleet, InstanceWithoutStoreRejectsReplacedPrimary)
{
    LoadedPool run;
    run.pool.run(seconds(2));
    run.pool.setStoreReachable(0, false);
    run.pool.run(seconds(1));
    run.pool.group().setReplicationIsolated(0, true);
    run.pool.isolateInstanceFromServer(1, 0, true);
    run.pool.isolateInstanceFromServer(2, 0, true);
    run.finish();
    EXPECT_GE(run.pool.promotions(), 1U);
}

// Guards against an instance that was frozen delivering results of a primary that has been replaced meanwhile.
TEST(PoolFleet, FrozenInstanceRejectsReplacedPrimary)
{
    LoadedPool run;
    run.pool.run(seconds(3));
    run.pool.freezeInstance(0, seconds(8));
    run.pool.run(milliseconds(5));
    run.pool.isolateInstanceFromServer(1, 0, true);
    run.pool.isolateInstanceFromServer(2, 0, true);
    run.finish();
    EXPECT_GE(run.pool.promotions(), 1U);
}

// Guards against a replacement that never finishes after the store's response to its announcement was lost. The
// announcing instance took its own late write for that of another one, and members released the primary for the first
// announcement but not for the next (seen on day trouble-3 of the second site).
TEST(PoolFleet, ReplacementFinishesAfterLostStoreResponse)
{
    LoadedPool run;
    run.pool.run(seconds(3));
    const TimePoint crash = run.pool.now();
    run.pool.setStoreAnswersLost(true);
    run.pool.stopServer(0);
    run.pool.at(milliseconds(2500), [&] { run.pool.setStoreAnswersLost(false); });
    run.finish();
    EXPECT_LE(run.writeGap(crash), seconds(8));
}

// Guards against a fleet that does not use the new primary because the instance that promoted it has lost the store and
// can't record the end of the replacement (incident inc-3436: 8 s without writes, until another instance took over).
TEST(PoolFleet, PromotedPrimaryIsUsedWhenTheHolderLosesTheStore)
{
    LoadedPool run;
    run.pool.run(seconds(3));
    const TimePoint crash = run.pool.now();
    run.pool.stopServer(0);
    while (run.pool.promotions() == 0 && run.pool.now() - crash < seconds(5))
        run.pool.run(milliseconds(1));
    ASSERT_EQ(run.pool.countLogs("replacement-started"), 1U);
    for (const std::string &line : run.pool.logLines()) {
        if (line.find("replacement-started") != std::string::npos)
            run.pool.setStoreReachable(static_cast<std::size_t>(line.at(1) - '0'), false);
    }
    run.finish();
    EXPECT_LE(run.writeGap(crash), milliseconds(2300));
}

// Guards against a second replacement waiting forever for members that released the primary for the first one only.
TEST(PoolFleet, MembersReleaseThePrimaryForEachReplacement)
{
    VirtualPool pool({});
    pool.run(seconds(2));
    for (std::uint64_t epoch = 1; epoch <= 2; ++epoch) {
        const auto known = pool.store().list("leader.");
        const LeadershipRecord record{.epoch = epoch, .primary = "records-0", .changing = true, .holder = "other"};
        static_cast<void>(pool.store().write({.name = FleetView::recordName("records"),
                                              .expectedRevision = known.objects.empty() ? 0 : known.objects[0].revision,
                                              .content = record.toText()}));
        pool.run(milliseconds(300));
        for (const FleetObject &member : pool.store().list("member.").objects) {
            const auto state = MemberRecord::fromText(member.content);
            ASSERT_TRUE(state.has_value());
            EXPECT_EQ(state->released.contains("records") ? state->released.at("records") : 0, epoch) << member.name;
        }
    }
}

// Guards against an instance that was evicted from the fleet still acting on its earlier verification of leadership.
TEST(PoolFleet, EvictedInstanceDiscardsItsVerification)
{
    VirtualPool pool({});
    pool.run(seconds(2));
    const auto members = pool.store().list("member.i0").objects;
    ASSERT_EQ(members.size(), 1U);
    static_cast<void>(pool.store().write(
        {.name = members[0].name, .expectedRevision = members[0].revision, .content = MemberRecord{}.toText()}));
    bool discarded = false;
    for (int step = 0; step < 50; ++step) {
        pool.run(std::chrono::microseconds(200));
        pool.core(0)->state().services.forEach([&](ServiceId, const ServiceRow &service) {
            discarded = discarded || service.leadershipVerifiedAt.count() == 0;
        });
    }
    EXPECT_TRUE(discarded);
    pool.run(seconds(2));
    const auto again = MemberRecord::fromText(pool.store().list("member.i0").objects.at(0).content);
    ASSERT_TRUE(again.has_value());
    EXPECT_FALSE(again->isEvicted());
}

// Guards against an instance that keeps using a replaced primary because the store has discarded the history in which
// it was replaced.
TEST(PoolFleet, ObjectsAreListedAgainWhenHistoryIsDiscarded)
{
    VirtualPool pool({});
    pool.run(seconds(2));
    pool.setStoreReachable(0, false);
    pool.run(seconds(3));
    pool.stopServer(0);
    pool.run(seconds(9));
    pool.store().compact();
    pool.setStoreReachable(0, true);
    pool.run(seconds(4));
    const auto primaryAt = [&pool](std::size_t instance) {
        std::string id;
        pool.core(instance)->state().services.forEach(
            [&](ServiceId, const ServiceRow &service) { id = service.primaryId; });
        return id;
    };
    EXPECT_NE(primaryAt(1), "records-0");
    EXPECT_EQ(primaryAt(0), primaryAt(1));
}

// Guards against a replacement that never finishes because the instance that started it was killed.
TEST(PoolFleet, ReplacementIsTakenOverFromAKilledHolder)
{
    LoadedPool run;
    run.pool.run(seconds(3));
    run.pool.stopServer(0);
    std::size_t holder = 3;
    for (int step = 0; step < 2000 && holder == 3; ++step) {
        run.pool.run(milliseconds(1));
        for (std::size_t instance = 0; instance < 3; ++instance) {
            const std::string start = "i" + std::to_string(instance) + " replacement-started";
            for (const std::string &line : run.pool.logLines())
                holder = line.starts_with(start) ? instance : holder;
        }
    }
    ASSERT_LT(holder, 3U);
    run.pool.run(milliseconds(5));
    run.pool.killInstance(holder);
    run.finish();
    EXPECT_TRUE(run.pool.group().isPrimary(1) || run.pool.group().isPrimary(2));
    EXPECT_GE(run.pool.countLogs("replacement-finished"), 1U);
}

// Guards against a planned stop that drops requests, or takes longer than its grace period (day scale-2 of the second
// site: requests accepted 4.7 s after the stop was requested got no reply).
TEST(PoolFleet, PlannedStopAnswersAllAcceptedRequests)
{
    LoadedPool run;
    run.pool.run(seconds(3));
    run.pool.requestStop(0);
    run.pool.run(seconds(6));
    EXPECT_EQ(run.pool.core(0), nullptr);
    run.pool.startInstance(0);
    run.finish();
    EXPECT_EQ(run.workload.unanswered(), 0U);
}

// Guards against a planned stop that ends without a reply to a caller whose statement the backend server has not
// answered.
TEST(PoolFleet, PlannedStopRepliesForUnansweredStatements)
{
    VirtualPoolOptions options;
    options.group.work = milliseconds(600);
    VirtualPool pool(options);
    pool.run(seconds(2));
    const auto startRead = [&pool](const std::string &id) {
        const auto caller = pool.openCaller(0, VirtualPool::ownRoute);
        if (caller)
            pool.send(*caller, Statement{.kind = StatementKind::Read, .id = id, .text = "READ 1"});
        return caller;
    };
    pool.requestStop(0);
    for (int step = 0; step < 10; ++step) {
        startRead("s" + std::to_string(step));
        pool.run(milliseconds(420));
    }
    // This write is sent so late that its timeout is after the end of the stop.
    pool.run(milliseconds(80));
    const auto late = pool.openCaller(0, VirtualPool::boundedRoute);
    ASSERT_TRUE(late.has_value());
    pool.send(*late, Statement{.kind = StatementKind::Write, .id = "late", .text = "WRITE 1 x"});
    pool.run(milliseconds(15));
    for (std::size_t server = 0; server < 3; ++server)
        pool.isolateInstanceFromServer(0, server, true);
    pool.run(milliseconds(1300));
    EXPECT_EQ(pool.core(0), nullptr);
    ASSERT_EQ(pool.caller(*late).replies.size(), 1U);
    ASSERT_TRUE(pool.caller(*late).replies.front().error.has_value());
    EXPECT_EQ(pool.caller(*late).replies.front().error->code, OutcomeCode::InDoubt);
}

// Guards against a fleet that does not recover after all its instances were killed at once.
TEST(PoolFleet, FleetRecoversWhenAllInstancesWereKilled)
{
    LoadedPool run;
    run.pool.run(seconds(3));
    for (std::size_t instance = 0; instance < 3; ++instance)
        run.pool.killInstance(instance);
    run.pool.run(seconds(1));
    for (std::size_t instance = 0; instance < 3; ++instance)
        run.pool.startInstance(instance);
    const TimePoint restarted = run.pool.now();
    run.finish();
    const auto first = run.firstAcknowledgedAfter(restarted);
    ASSERT_TRUE(first.has_value());
    EXPECT_LE(*first, seconds(2));
}

// Guards against an instance that has never verified leadership accepting results of the primary: on a machine that
// booted less than a lease ago, the value 0 for "never" lies within the lease on the boot-time clock.
TEST(PoolFleet, MissingVerificationIsNotTakenForOneAtBoot)
{
    VirtualPool pool({.instances = 1});
    pool.at(milliseconds(9), [&] { pool.setStoreAvailable(false); });
    pool.run(milliseconds(40));
    ASSERT_EQ(pool.countLogs("registered"), 1U);
    const auto caller = *pool.openCaller(0, VirtualPool::primaryRoute);
    const CallerReply reply = runStatement(pool, caller, StatementKind::Write, "w1", "WRITE 1a4 x");
    ASSERT_TRUE(reply.error);
    EXPECT_EQ(reply.error->code, OutcomeCode::Busy);
}

// Guards against callers of a restarted instance waiting for the length of a whole watch, until leadership is verified
// for the first time.
TEST(PoolFleet, RestartedInstanceVerifiesLeadershipSoon)
{
    VirtualPool pool({.instances = 1});
    pool.run(seconds(3));
    pool.killInstance(0);
    pool.run(seconds(1));
    pool.startInstance(0);
    const TimePoint restarted = pool.now();
    const auto caller = *pool.openCaller(0, VirtualPool::primaryRoute);
    EXPECT_FALSE(runStatement(pool, caller, StatementKind::Write, "w1", "WRITE 1a4 x").error);
    EXPECT_LE(pool.now() - restarted, milliseconds(500));
}

// Guards against the first members keeping more than their share of a server's connections, so that members that join
// later never get any.
TEST(PoolFleet, ShareOfConnectionsFallsWhenMembersJoin)
{
    VirtualPoolOptions options{.instances = 9, .relays = true};
    VirtualPool pool(options);
    PoolWorkload workload(pool, {.callers = 30, .think = milliseconds(2), .instances = 3});
    pool.run(seconds(2));
    for (std::size_t late = 3; late < 9; ++late)
        pool.requestStop(late);
    pool.run(seconds(7));
    workload.start(pool.now() + seconds(2));
    pool.run(seconds(4));
    for (std::size_t late = 3; late < 9; ++late)
        pool.startInstance(late);
    pool.run(seconds(3));
    std::size_t links = 0;
    for (std::size_t instance = 0; instance < 9; ++instance) {
        pool.core(instance)->state().servers.forEach([&](ServerId, const ServerRow &row) {
            EXPECT_LE(row.links.size(), 2U) << "instance " << instance;
            links += row.links.size();
        });
    }
    EXPECT_GT(links, 0U);
}

// Guards against reads that require a position which the replacement of the primary has rolled back: no server will
// ever reach it.
TEST(PoolFleet, RolledBackPositionsAreNotRequired)
{
    VirtualPool pool({.instances = 1});
    pool.run(seconds(3));
    const auto writer = *pool.openCaller(0, VirtualPool::primaryRoute);
    const auto reader = *pool.openCaller(0, VirtualPool::boundedRoute);
    pool.group().setReplicationIsolated(0, true);
    for (int write = 0; write < 5; ++write)
        EXPECT_FALSE(
            runStatement(pool, writer, StatementKind::Write, "w" + std::to_string(write), "WRITE 1a4 x").error);
    pool.stopServer(0);
    for (int step = 0; step < 3000 && pool.countLogs("replacement-finished") == 0; ++step)
        pool.run(milliseconds(1));
    ASSERT_EQ(pool.countLogs("replacement-finished"), 1U);
    EXPECT_FALSE(runStatement(pool, reader, StatementKind::Read, "r1", "READ 1a4").error);
}

// Guards against more connections to a backend server than it accepts.
TEST(PoolFleet, ConnectionsStayWithinTheLimit)
{
    VirtualPoolOptions options{.instances = 6};
    LoadedPool run(3, options);
    for (int step = 0; step < 100; ++step) {
        run.pool.run(milliseconds(100));
        for (std::size_t server = 0; server < 3; ++server)
            ASSERT_LE(run.pool.group().connectionCount(server), options.group.connectionLimit);
    }
    run.finish();
}

// Guards against a primary that rejects connections above its limit being taken for unreachable (17 needless promotions
// on a day of low load at a large site, where 68 instances share 47 connections).
TEST(PoolFleet, PrimaryAtItsConnectionLimitIsNotReplaced)
{
    VirtualPoolOptions options{.instances = 6};
    options.group.connectionLimit = 2;
    LoadedPool run(1, options);
    run.finish();
    EXPECT_EQ(run.pool.countLogs("replacement-started"), 0U);
}

class RandomFaults : public testing::TestWithParam<std::uint64_t>
{
};

// Guards against overlapping faults breaking any of the guarantees.
TEST_P(RandomFaults, KeepTheGuarantees)
{
    EXPECT_EQ(joined(runRandomFaults(GetParam()).violations), "");
}

// With these seeds, a replaced primary that had not learned of its replacement yet was promoted again, and its results
// were accepted at once.
INSTANTIATE_TEST_SUITE_P(RegressionSeeds, RandomFaults, testing::Values<std::uint64_t>(100219, 101736, 205306));

INSTANTIATE_TEST_SUITE_P(Seeds, RandomFaults, testing::Range<std::uint64_t>(1, 121));

} // namespace

} // namespace Jujubekeel
