#include "pool/poolsupport.h"
#include "virtualpool/poolfaults.h"

#include <algorithm>
#include <map>
#include <string>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Target for a replaced primary: 2 s without writes, beyond the promotion time of the platform.
constexpr Duration replacementTarget = milliseconds(2300);
/// Longest time without writes after a replacement that lost its records, as after lost answers of the store.
constexpr Duration interruptedReplacementTarget = seconds(8);
/// Backend servers write their entries again within 2 s of the store's return; records of the fleet likewise.
constexpr Duration recoveryTarget = seconds(2);
constexpr Duration restoreOutage = milliseconds(1500);

/// Takes the store away for restoreOutage; it returns from its copy.
void restoreStore(VirtualPool &pool)
{
    pool.setStoreAvailable(false);
    pool.run(restoreOutage);
    pool.returnStoreFromCopy();
}

/// Runs the pool until its log contains \a event, for up to 10 s. Returns the instance that logged it first.
std::size_t runUntilLogged(VirtualPool &pool, const std::string &event)
{
    for (int step = 0; step < 10000; ++step) {
        for (const std::string &line : pool.logLines()) {
            if (line.starts_with('i') && line.find(" " + event + " ") != std::string::npos)
                return static_cast<std::size_t>(line.at(1) - '0');
        }
        pool.run(milliseconds(1));
    }
    ADD_FAILURE() << "no event " << event;
    return 0;
}

/// Writes through an instance each 100 ms for \a duration, without waiting for the replies. Fails if a commit is
/// acknowledged that a primary made after its replacement.
void writeThrough(VirtualPool &pool, std::size_t instance, Duration duration)
{
    std::map<std::string, VirtualPool::CallerId> writers;
    for (Duration passed{0}; passed < duration; passed += milliseconds(100)) {
        const std::string id = "late" + std::to_string(passed.count());
        if (const auto caller = pool.openCaller(instance, VirtualPool::primaryRoute)) {
            writers.emplace(id, *caller);
            pool.send(*caller, Statement{.kind = StatementKind::Write, .id = id, .text = "WRITE 1 x"});
        }
        pool.run(milliseconds(100));
    }
    const GroupHistory &history = pool.group().history();
    for (const GroupHistory::Commit &commit : history.commits) {
        const auto writer = writers.find(commit.commit);
        if (writer == writers.end())
            continue;
        const auto &replies = pool.caller(writer->second).replies;
        const bool late = std::any_of(history.promotions.begin(), history.promotions.end(), [&](const auto &promotion) {
            return promotion.term > commit.position.term && promotion.at < commit.at;
        });
        EXPECT_FALSE(late && !replies.empty() && !replies.front().error) << commit.commit << " us after the start";
    }
}

/// Repeats a write through an instance until it is acknowledged, up to 20 times.
void writeUntilAcknowledged(VirtualPool &pool, std::size_t instance)
{
    CallerReply reply{.error = OutcomeError{}};
    for (int attempt = 0; attempt < 20 && reply.error; ++attempt) {
        const auto caller = *pool.openCaller(instance, VirtualPool::primaryRoute);
        reply = runStatement(pool, caller, StatementKind::Write, "x" + std::to_string(attempt), "WRITE 1 x");
    }
}

void expectIncreasingTokens(const VirtualPool &pool)
{
    EXPECT_EQ(joined(pool.fencingViolations()), "");
}

// Guards against an outage without end: registrations and leadership records written under revisions that the restored
// store does not have, so that leases expire and no primary is replaced any more.
TEST(RestoredStore, PrimaryIsReplacedAfterTheStoreReturned)
{
    LoadedPool run;
    run.pool.run(seconds(1));
    run.pool.store().takeCopy();
    run.pool.stopServer(0);
    run.pool.run(seconds(2));
    ASSERT_EQ(run.pool.promotions(), 1U);
    restoreStore(run.pool);
    run.pool.startServer(0);
    run.pool.run(seconds(4));
    const TimePoint crash = run.pool.now();
    run.pool.stopServer(run.pool.group().isPrimary(1) ? 1 : 2);
    run.finish();
    EXPECT_EQ(run.pool.promotions(), 2U);
    EXPECT_LE(run.writeGap(crash), replacementTarget);
    expectIncreasingTokens(run.pool);
}

// Guards against a fencing token that is lower than, or equal to, that of an earlier promotion, because the restored store
// gives out revisions again.
TEST(RestoredStore, FencingTokensRise)
{
    LoadedPool run;
    run.pool.run(seconds(1));
    run.pool.store().takeCopy();
    for (int change = 0; change < 100; ++change)
        static_cast<void>(run.pool.store().write({.name = "other" + std::to_string(change), .content = "{}"}));
    run.pool.stopServer(0);
    run.pool.run(seconds(2));
    restoreStore(run.pool);
    run.pool.startServer(0);
    run.pool.run(seconds(4));
    run.pool.stopServer(run.pool.group().isPrimary(1) ? 1 : 2);
    run.finish();
    EXPECT_EQ(run.pool.promotions(), 2U);
    expectIncreasingTokens(run.pool);
}

// Guards against a restored store interrupting work although no primary has failed.
TEST(RestoredStore, NoWorkIsInterruptedWithoutAFailure)
{
    LoadedPool run;
    run.pool.run(seconds(1));
    run.pool.store().takeCopy();
    run.pool.run(seconds(2));
    const TimePoint outage = run.pool.now();
    restoreStore(run.pool);
    run.finish();
    EXPECT_EQ(run.answered(), run.workload.operations().size());
    EXPECT_LE(run.writeGap(outage), milliseconds(500));
    EXPECT_EQ(run.pool.promotions(), 0U);
}

// Guards against a replacement that neither continues nor ends because its announcement is not in the copy.
TEST(RestoredStore, InterruptedReplacementFinishes)
{
    for (const std::string event : {"replacement-started", "primary-released", "candidate-chosen"}) {
        LoadedPool run;
        run.pool.run(seconds(2));
        run.pool.store().takeCopy();
        const TimePoint crash = run.pool.now();
        run.pool.stopServer(0);
        runUntilLogged(run.pool, event);
        restoreStore(run.pool);
        run.finish();
        EXPECT_LE(run.writeGap(crash), interruptedReplacementTarget) << event;
        EXPECT_GE(run.pool.countLogs("replacement-finished"), 1U) << event;
        expectIncreasingTokens(run.pool);
    }
}

// Guards against a resumed replacement that waits for its own holder, which already uses the promoted primary: a service
// had none for 22 s (day restored-in-replacement of tffa-pool, seed 1).
TEST(RestoredStore, ReplacementInterruptedAfterItsPromotionFinishes)
{
    LoadedPool run;
    run.pool.run(seconds(2));
    run.pool.store().takeCopy();
    const TimePoint crash = run.pool.now();
    run.pool.stopServer(0);
    while (run.pool.promotions() == 0 && run.pool.now() - crash < seconds(5))
        run.pool.run(milliseconds(1));
    ASSERT_EQ(run.pool.promotions(), 1U);
    restoreStore(run.pool);
    run.finish();
    EXPECT_LE(run.writeGap(crash), replacementTarget + restoreOutage + recoveryTarget);
    EXPECT_GE(run.pool.countLogs("replacement-finished"), 1U);
    expectIncreasingTokens(run.pool);
}

// Guards against an instance that starts on the restored store and uses a replaced primary, which does not know of its
// replacement either, because the record of it is not in the copy.
TEST(RestoredStore, StartedInstanceDoesNotUseAReplacedPrimary)
{
    VirtualPool pool({});
    pool.run(seconds(2));
    pool.store().takeCopy();
    pool.group().setReplicationIsolated(0, true);
    pool.isolateInstanceFromServer(1, 0, true);
    pool.isolateInstanceFromServer(2, 0, true);
    const auto keepsTrying = *pool.openCaller(1, VirtualPool::primaryRoute);
    pool.send(keepsTrying, Statement{.kind = StatementKind::Write, .id = "w1", .text = "WRITE 1 x"});
    runUntilLogged(pool, "replacement-finished");
    pool.setStoreAvailable(false);
    pool.killInstance(0);
    pool.run(restoreOutage);
    pool.returnStoreFromCopy();
    pool.startInstance(0);
    writeThrough(pool, 0, seconds(5));
}

// Guards against a new replacement that does not wait for a member whose registration is not in the copy: the member
// does not reach the store and still uses the primary on the lease that it had before.
TEST(RestoredStore, MembersOfBeforeAreWaitedFor)
{
    VirtualPool pool({.instances = 4});
    pool.run(seconds(2));
    pool.killInstance(3);
    // The registration of an instance that was killed stays in the store until a primary is replaced.
    const auto killed = pool.store().list("member.i3").objects.at(0);
    static_cast<void>(pool.store().remove({.name = killed.name, .expectedRevision = killed.revision}));
    pool.run(milliseconds(500));
    pool.store().takeCopy();
    pool.startInstance(3);
    pool.run(seconds(2));
    pool.setStoreReachable(3, false);
    restoreStore(pool);
    pool.group().setReplicationIsolated(0, true);
    for (std::size_t instance = 0; instance < 3; ++instance)
        pool.isolateInstanceFromServer(instance, 0, true);
    const auto caller = *pool.openCaller(0, VirtualPool::primaryRoute);
    pool.send(caller, Statement{.kind = StatementKind::Write, .id = "w1", .text = "WRITE 1 x"});
    writeThrough(pool, 3, seconds(12));
    EXPECT_GE(pool.promotions(), 1U);
    expectIncreasingTokens(pool);
}

// The same if no instance that starts on the restored store has ever read of the member.
TEST(RestoredStore, UnknownMembersOfBeforeAreWaitedFor)
{
    VirtualPool pool({.instances = 4});
    pool.run(seconds(2));
    pool.killInstance(3);
    const auto killed = pool.store().list("member.i3").objects.at(0);
    static_cast<void>(pool.store().remove({.name = killed.name, .expectedRevision = killed.revision}));
    pool.store().takeCopy();
    pool.startInstance(3);
    pool.run(seconds(3));
    pool.setStoreReachable(3, false);
    pool.setStoreAvailable(false);
    for (std::size_t instance = 0; instance < 3; ++instance)
        pool.killInstance(instance);
    pool.run(milliseconds(100));
    pool.returnStoreFromCopy();
    pool.group().setReplicationIsolated(0, true);
    for (std::size_t instance = 0; instance < 3; ++instance) {
        pool.isolateInstanceFromServer(instance, 0, true);
        pool.startInstance(instance);
    }
    writeThrough(pool, 3, seconds(12));
    EXPECT_GE(pool.promotions(), 1U);
    expectIncreasingTokens(pool);
}

// Guards against an instance that keeps an epoch which the fleet no longer knows: it was cut off from the store until the
// recovery was over, and ignores later announcements with the same epoch.
TEST(RestoredStore, LateInstanceAdoptsWhatTheFleetHasAgreedOn)
{
    VirtualPool pool({});
    pool.run(seconds(2));
    pool.store().takeCopy();
    pool.stopServer(0);
    const auto caller = *pool.openCaller(2, VirtualPool::primaryRoute);
    pool.send(caller, Statement{.kind = StatementKind::Write, .id = "w1", .text = "WRITE 1 x"});
    runUntilLogged(pool, "replacement-finished");
    pool.startServer(0);
    pool.run(seconds(1));
    pool.setStoreReachable(2, false);
    pool.killInstance(0);
    pool.killInstance(1);
    restoreStore(pool);
    pool.startInstance(0);
    pool.startInstance(1);
    pool.run(seconds(10));
    pool.setStoreReachable(2, true);
    pool.run(seconds(3));
    const PoolWorld &world = pool.core(2)->state();
    const ServiceRow &service = world.services.at(world.serviceByName.at("records"));
    const auto record = LeadershipRecord::fromText(pool.store().list("leader.").objects.at(0).content);
    ASSERT_TRUE(record.has_value());
    EXPECT_EQ(service.epoch, record->epoch);
    EXPECT_EQ(service.primaryId, record->primary);
    EXPECT_TRUE(world.isLeadershipVerified(service));

    const TimePoint crash = pool.now();
    pool.stopServer(pool.group().isPrimary(1) ? 1 : 2);
    writeUntilAcknowledged(pool, 2);
    EXPECT_LE(pool.now() - crash, replacementTarget);
    expectIncreasingTokens(pool);
}

// Guards against the registration of an instance that has left for good: the copy contains it again, and replacements
// wait for the instance until its authority lease would have expired.
TEST(RestoredStore, InstancesThatHaveLeftAreNotWaitedFor)
{
    VirtualPool pool({.instances = 4});
    pool.run(seconds(2));
    pool.store().takeCopy();
    pool.requestStop(3);
    pool.run(seconds(4));
    ASSERT_TRUE(pool.store().list("member.i3").objects.empty());
    restoreStore(pool);
    pool.run(seconds(7));
    const TimePoint crash = pool.now();
    pool.stopServer(0);
    writeUntilAcknowledged(pool, 0);
    EXPECT_LE(pool.now() - crash, replacementTarget);
    EXPECT_TRUE(pool.store().list("member.i3").objects.empty());
}

// Guards against a service without a usable primary after all instances that knew of its replacement have been killed:
// the record in the copy names a server that has become a replica.
TEST(RestoredStore, PrimaryIsFoundWhenNoInstanceRemembersIt)
{
    LoadedPool run;
    run.pool.run(milliseconds(500));
    run.pool.stopServer(0);
    runUntilLogged(run.pool, "replacement-finished");
    run.pool.startServer(0);
    run.pool.run(milliseconds(1500));
    run.pool.store().takeCopy();
    const std::size_t replaced = run.pool.group().isPrimary(1) ? 1 : 2;
    run.pool.stopServer(replaced);
    run.pool.run(seconds(2));
    ASSERT_EQ(run.pool.countLogs("replacement-finished"), 2U);
    run.pool.startServer(replaced);
    run.pool.run(seconds(1));
    run.pool.setStoreAvailable(false);
    for (std::size_t instance = 0; instance < 3; ++instance)
        run.pool.killInstance(instance);
    run.pool.run(milliseconds(500));
    run.pool.returnStoreFromCopy();
    for (std::size_t instance = 0; instance < 3; ++instance)
        run.pool.startInstance(instance);
    const TimePoint restarted = run.pool.now();
    run.finish();
    const auto first = run.firstAcknowledgedAfter(restarted);
    ASSERT_TRUE(first.has_value());
    EXPECT_LE(*first, interruptedReplacementTarget);
    expectIncreasingTokens(run.pool);
}

/// Cuts the first primary off from the other servers, and from the instances until another one has been promoted. Then
/// the store returns from a copy of before, and all instances restart.
class ForgottenReplacement
{
public:
    /// \a earlier: the copy contains the record of an earlier replacement.
    explicit ForgottenReplacement(bool earlier)
    {
        this->pool.run(seconds(2));
        if (earlier) {
            this->replace(0);
            this->pool.group().setReplicationIsolated(0, false);
            this->pool.run(seconds(2));
        }
        this->old = this->leader();
        this->pool.store().takeCopy();
        this->pool.run(milliseconds(500));
        this->replace(this->old);
        this->successor = this->leader();
    }
    void restart()
    {
        this->pool.setStoreAvailable(false);
        for (std::size_t instance = 0; instance < this->pool.instanceCount(); ++instance)
            this->pool.killInstance(instance);
        this->pool.run(milliseconds(500));
        this->pool.returnStoreFromCopy();
        for (std::size_t instance = 0; instance < this->pool.instanceCount(); ++instance)
            this->pool.startInstance(instance);
    }
    [[nodiscard]] std::size_t leader() { return this->pool.group().history().promotions.back().server; }

    VirtualPool pool{{}};
    std::size_t old = 0;
    std::size_t successor = 0;

private:
    void replace(std::size_t server)
    {
        const std::uint64_t before = this->pool.promotions();
        this->pool.group().setReplicationIsolated(server, true);
        this->isolate(server, true);
        const auto caller = *this->pool.openCaller(0, VirtualPool::primaryRoute);
        this->pool.send(
            caller, Statement{.kind = StatementKind::Write, .id = "r" + std::to_string(before), .text = "WRITE 1 x"});
        for (int step = 0; step < 5000 && this->pool.promotions() == before; ++step)
            this->pool.run(milliseconds(1));
        this->pool.run(seconds(1));
        this->isolate(server, false);
    }
    void isolate(std::size_t server, bool isolated)
    {
        for (std::size_t instance = 0; instance < this->pool.instanceCount(); ++instance)
            this->pool.isolateInstanceFromServer(instance, server, isolated);
    }
};

// Guards against two primaries in use: the store has lost the record of a replacement, no instance remembers it, and the
// old primary, which has not heard of it, says that it is primary (review case 6). The copy has no record, or an earlier
// one that names it.
TEST(RestoredStore, ReplacedPrimaryIsNotUsedWhenNoInstanceRemembersIt)
{
    for (const bool earlier : {false, true}) {
        SCOPED_TRACE(earlier ? "the copy has an earlier record" : "the copy has no record");
        ForgottenReplacement forgotten(earlier);
        ASSERT_NE(forgotten.successor, forgotten.old);
        forgotten.restart();
        const TimePoint restarted = forgotten.pool.now();
        writeThrough(forgotten.pool, 1, seconds(5));
        writeUntilAcknowledged(forgotten.pool, 0);
        EXPECT_LE(forgotten.pool.now() - restarted, interruptedReplacementTarget);
        EXPECT_EQ(forgotten.leader(), forgotten.successor) << "the server that leads was found without a replacement";
        EXPECT_EQ(forgotten.pool.countLogs("primary-found"), 1U);
    }
}

// The same while the server that leads does not answer: a replacement waits for it rather than use the old primary.
TEST(RestoredStore, ReplacedPrimaryIsNotUsedWhileItsSuccessorIsSilent)
{
    ForgottenReplacement forgotten(false);
    for (std::size_t instance = 0; instance < forgotten.pool.instanceCount(); ++instance)
        forgotten.pool.isolateInstanceFromServer(instance, forgotten.successor, true);
    forgotten.pool.at(seconds(7), [&forgotten] {
        for (std::size_t instance = 0; instance < forgotten.pool.instanceCount(); ++instance)
            forgotten.pool.isolateInstanceFromServer(instance, forgotten.successor, false);
    });
    forgotten.restart();
    writeThrough(forgotten.pool, 1, seconds(10));
    writeUntilAcknowledged(forgotten.pool, 0);
    EXPECT_NE(forgotten.leader(), forgotten.old);
}

// Guards against a second restoration, before the first one is recovered from, making instances that started in between
// believe that they know the time before.
TEST(RestoredStore, SecondRestorationBeforeTheRecoveryKeepsTheOldPrimaryOut)
{
    ForgottenReplacement forgotten(false);
    forgotten.restart();
    forgotten.pool.run(milliseconds(1200));
    restoreStore(forgotten.pool);
    writeThrough(forgotten.pool, 1, seconds(8));
    writeUntilAcknowledged(forgotten.pool, 0);
    EXPECT_EQ(forgotten.leader(), forgotten.successor);
}

// Guards against a recovery that never ends where members are listed as servers of a service without a name: nobody can
// confirm who leads it.
TEST(RestoredStore, RecoveryEndsInAFleetWithRelayingInstances)
{
    VirtualPool pool(largeFleetOptions(1));
    pool.run(seconds(5));
    pool.store().takeCopy();
    pool.setStoreAvailable(false);
    for (std::size_t instance = 0; instance < pool.instanceCount(); ++instance)
        pool.killInstance(instance);
    pool.run(milliseconds(500));
    pool.returnStoreFromCopy();
    for (std::size_t instance = 0; instance < pool.instanceCount(); ++instance)
        pool.startInstance(instance);
    pool.run(seconds(12));
    const auto marker = pool.store().list(FleetView::recoveryName).objects;
    ASSERT_EQ(marker.size(), 1U);
    EXPECT_EQ(marker.front().content, FleetView::recoveryText(pool.store().currentEra()));
    EXPECT_EQ(pool.store().list("leader.").objects.size(), 1U) << "one database, no record of the members' service";
    EXPECT_EQ(pool.promotions(), 0U);
}

// Guards against a restarted instance holding up its service although others remember who leads: they write it again.
TEST(RestoredStore, RestartedInstanceLearnsTheLeadershipFromOthers)
{
    LoadedPool run;
    run.pool.run(seconds(1));
    run.pool.store().takeCopy();
    run.pool.run(seconds(1));
    const TimePoint outage = run.pool.now();
    run.pool.setStoreAvailable(false);
    run.pool.killInstance(0);
    run.pool.run(restoreOutage);
    run.pool.returnStoreFromCopy();
    run.pool.startInstance(0);
    run.finish();
    EXPECT_EQ(run.pool.countLogs("primary-unknown"), 0U);
    EXPECT_EQ(run.pool.promotions(), 0U);
    EXPECT_LE(run.writeGap(outage), milliseconds(500));
}

class RestoredStoreFaults : public testing::TestWithParam<std::uint64_t>
{
};

// Guards against a restored store breaking any of the guarantees beside other faults.
TEST_P(RestoredStoreFaults, KeepTheGuarantees)
{
    EXPECT_EQ(joined(runRandomFaults(GetParam(), {}, {.restoredStore = true}).violations), "");
}

// The same in a fleet whose relaying instances read neither records nor members from the store.
TEST_P(RestoredStoreFaults, KeepTheGuaranteesInALargeFleet)
{
    EXPECT_EQ(joined(runRandomFaults(GetParam(), largeFleetOptions(GetParam()), {.restoredStore = true}).violations),
              "");
}

INSTANTIATE_TEST_SUITE_P(Seeds, RestoredStoreFaults, testing::Range<std::uint64_t>(1, 61));

} // namespace

} // namespace Jujubekeel
