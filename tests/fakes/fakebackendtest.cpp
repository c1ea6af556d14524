#include "fakes/fakegroup.h"

#include <gtest/gtest.h>

namespace Jujubekeel {

namespace {

using namespace std::chrono_literals;

BackendRequest write(const std::string &statement, const std::string &key = {}, std::uint64_t term = 0)
{
    return {
        .operation = BackendOperation::Execute, .statement = statement, .write = true, .requestKey = key, .term = term};
}

BackendRequest read(const std::string &statement)
{
    return {.operation = BackendOperation::Execute, .statement = statement};
}

BackendRequest inside(const std::string &statement, std::uint64_t transaction)
{
    return {.operation = BackendOperation::ExecuteInside,
            .statement = statement,
            .write = true,
            .transaction = transaction};
}

BackendRequest barrier(std::uint64_t position = 0)
{
    return {.operation = BackendOperation::Barrier, .position = position, .wait = 150ms};
}

// Guards against replicas that do not receive or do not apply the writes of the primary.
TEST(FakeBackend, WriteReachesTheReplicasAndIsRead)
{
    FakeGroup group;
    const auto primary = group.openWork("a");
    const BackendAnswer written = group.sendAndWait("a", primary, write("put k one two"));
    EXPECT_EQ(written.code, BackendStatusCode::Ok);
    EXPECT_EQ(written.position, (LogPosition{.term = 1, .position = 1}));
    group.run(5ms);
    const BackendAnswer seen = group.sendAndWait("b", group.openWork("b"), read("get k"));
    EXPECT_EQ(seen.value, "one two");
    EXPECT_EQ(seen.position, (LogPosition{.term = 1, .position = 1}));
    EXPECT_FALSE(seen.status.has_value());
}

// Guards against a replica that accepts writes, which would make the logs diverge.
TEST(FakeBackend, ReplicaRefusesWrites)
{
    FakeGroup group;
    EXPECT_EQ(group.sendAndWait("b", group.openWork("b"), write("put k v")).code, BackendStatusCode::NotPrimary);
    EXPECT_TRUE(group.server("b").log().empty());
}

// Guards against replicas that count as up to date because they have received an entry that they have not applied yet.
TEST(FakeBackend, ReceivedAndAppliedPositionsDifferDuringTheApplyLag)
{
    FakeGroup group({.applyLag = 200ms});
    group.sendAndWait("a", group.openWork("a"), write("put k v"));
    const auto replica = group.openWork("b");
    group.run(5ms);
    EXPECT_EQ(group.status("b").received.position, 1U);
    EXPECT_EQ(group.status("b").applied.position, 0U);
    EXPECT_EQ(group.sendAndWait("b", replica, read("get k")).value, "");
    group.run(200ms);
    EXPECT_EQ(group.sendAndWait("b", replica, read("get k")).value, "v");
}

// Guards against a write that runs twice when its caller repeats it after a lost answer.
TEST(FakeBackend, RepeatedKeyReturnsTheFirstOutcome)
{
    FakeGroup group;
    const auto work = group.openWork("a");
    const BackendAnswer first = group.sendAndWait("a", work, write("append list x", "key"));
    group.sendAndWait("a", work, write("append list y"));
    const BackendAnswer second = group.sendAndWait("a", work, write("append list x", "key"));
    EXPECT_EQ(second.code, BackendStatusCode::Duplicate);
    EXPECT_EQ(second.value, first.value);
    EXPECT_EQ(second.position, first.position);
    EXPECT_EQ(group.sendAndWait("a", work, read("count list")).value, "2");
    EXPECT_EQ(group.sendAndWait("a", work, write("append list z", "key")).code, BackendStatusCode::KeyReused);
}

// Guards against a repeated write that passes the check of its key while the first one is still running.
TEST(FakeBackend, SameKeyInTwoSlotsRunsOnce)
{
    FakeGroup group;
    const auto one = group.openWork("a");
    const auto two = group.openWork("a");
    group.send("a", one, write("append list x", "key"));
    EXPECT_EQ(group.sendAndWait("a", two, write("append list x", "key")).code, BackendStatusCode::Duplicate);
    EXPECT_EQ(group.server("a").log().size(), 1U);
}

// Guards against duplicates after a change of primary: request keys must be replicated with the log.
TEST(FakeBackend, KeysSurviveAPromotion)
{
    FakeGroup group;
    group.sendAndWait("a", group.openWork("a"), write("put k v", "key"));
    group.run(5ms);
    group.isolate("a");
    group.changePrimary("b", 2);
    const BackendAnswer found = group.sendAndWait(
        "b", group.openControl("b"), {.operation = BackendOperation::LookupKey, .requestKey = "key", .term = 2});
    EXPECT_EQ(found.code, BackendStatusCode::Ok);
    EXPECT_EQ(found.position, (LogPosition{.term = 1, .position = 1}));
    EXPECT_EQ(group.sendAndWait("b", group.openWork("b"), write("put k v", "key")).code, BackendStatusCode::Duplicate);
    EXPECT_EQ(
        group.sendAndWait("b", group.openControl("b"), {.operation = BackendOperation::LookupKey, .requestKey = "none"})
            .code,
        BackendStatusCode::KeyNotFound);
}

// Guards against more concurrent statements than the server has slots.
TEST(FakeBackend, StatementBeyondTheSlotsIsRefusedBeforeItRuns)
{
    FakeGroup group({.slots = 2});
    for (int index = 0; index < 2; ++index)
        group.send("a", group.openWork("a"), write("append list x"));
    EXPECT_EQ(group.sendAndWait("a", group.openWork("a"), write("append list x")).code, BackendStatusCode::SlotsBusy);
    group.run(10ms);
    EXPECT_EQ(group.server("a").log().size(), 2U);
    EXPECT_EQ(group.server("a").peakSlots(), 2U);
    EXPECT_EQ(group.server("a").slotRefusals(), 1U);
}

// Guards against control connections that do not count towards the limit of the server.
TEST(FakeBackend, ConnectionLimitIncludesControlConnections)
{
    FakeGroup group({.connectionLimit = 3});
    group.openWork("a"); // one control connection for the lock and one work connection
    EXPECT_TRUE(group.open("a", "p1", true).has_value());
    EXPECT_FALSE(group.open("a", "p1", true).has_value());
    EXPECT_FALSE(group.open("a", "p1", false).has_value());
    EXPECT_EQ(group.server("a").connectionRefusals(), 2U);
    EXPECT_EQ(group.server("a").peakConnections(), 3U);
}

// Guards against two proxies that send work to one server at the same time.
TEST(FakeBackend, WorkSessionNeedsTheLock)
{
    FakeGroup group;
    EXPECT_FALSE(group.open("a", "p1", false).has_value());
    const auto control = group.openControl("a", "p1");
    ASSERT_EQ(group.sendAndWait("a", control, {.operation = BackendOperation::Lock}).code, BackendStatusCode::Ok);
    const auto work = group.open("a", "p1", false);
    ASSERT_TRUE(work.has_value());
    EXPECT_FALSE(group.open("a", "p2", false).has_value());
    const auto other = group.openControl("a", "p2");
    const BackendAnswer held = group.sendAndWait("a", other, {.operation = BackendOperation::Lock});
    EXPECT_EQ(held.code, BackendStatusCode::LockHeld);
    EXPECT_EQ(held.text, "p1");

    ASSERT_EQ(group.sendAndWait("a", control, {.operation = BackendOperation::Unlock}).code, BackendStatusCode::Ok);
    EXPECT_EQ(group.sendAndWait("a", other, {.operation = BackendOperation::Lock}).code, BackendStatusCode::Ok);
    EXPECT_EQ(group.sendAndWait("a", *work, write("put k v")).code, BackendStatusCode::NotLockHolder);
    EXPECT_EQ(group.sendAndWait("a", other, {.operation = BackendOperation::TerminateOthers}).code,
              BackendStatusCode::Ok);
    EXPECT_TRUE(group.isClosed("a", *work));
}

// Guards against a lock that is not released when the connection of its holder closes or times out.
TEST(FakeBackend, LockIsReleasedWhenItsConnectionClosesOrTimesOut)
{
    FakeGroup group;
    const auto first = group.openControl("a", "p1");
    group.sendAndWait("a", first, {.operation = BackendOperation::Lock});
    group.close("a", first);
    EXPECT_EQ(group.status("a").lockHolder, "");

    const auto second = group.openControl("a", "p1");
    group.sendAndWait("a", second, {.operation = BackendOperation::Lock});
    group.run(1900ms);
    EXPECT_EQ(group.status("a").lockHolder, "p1");
    group.run(200ms);
    EXPECT_EQ(group.status("a").lockHolder, "");
    EXPECT_TRUE(group.isClosed("a", second));
}

// Guards against statements of a preempted owner that still take effect under the new owner.
TEST(FakeBackend, PreemptionEndsTheHolderAndAbortsItsStatements)
{
    FakeGroup group;
    const auto work = group.openWork("a", "p1");
    group.send("a", work, write("put k v"));
    const auto control = group.openControl("a", "p2");
    EXPECT_EQ(group.sendAndWait("a", control, {.operation = BackendOperation::PreemptLock}).code,
              BackendStatusCode::Ok);
    EXPECT_TRUE(group.isClosed("a", work));
    EXPECT_EQ(group.status("a").lockHolder, "p2");
    EXPECT_EQ(group.status("a").slotsInUse, 0U);
    group.run(10ms);
    EXPECT_TRUE(group.server("a").log().empty());
}

// Guards against a write of a failed proxy that takes effect after the new owner has looked up its key in vain.
TEST(FakeBackend, TerminationAbortsStatementsOfClosedSessions)
{
    FakeGroup group;
    const auto work = group.openWork("a", "p1");
    group.send("a", work, write("put k v"));
    group.close("a", work);
    const auto control = group.openControl("a", "p2");
    group.sendAndWait("a", control, {.operation = BackendOperation::PreemptLock});
    EXPECT_EQ(group.status("a").slotsInUse, 0U);

    // The same without preemption: the lock is free, and the new owner terminates the remaining statements.
    const auto holder = group.openControl("b", "p1");
    group.sendAndWait("b", holder, {.operation = BackendOperation::Lock});
    const auto abandoned = group.open("b", "p1", false);
    group.send("b", *abandoned, read("get k"));
    group.close("b", *abandoned);
    group.close("b", holder);
    const auto newOwner = group.openControl("b", "p2");
    ASSERT_EQ(group.sendAndWait("b", newOwner, {.operation = BackendOperation::Lock}).code, BackendStatusCode::Ok);
    EXPECT_EQ(group.status("b").slotsInUse, 1U);
    group.sendAndWait("b", newOwner, {.operation = BackendOperation::TerminateOthers});
    EXPECT_EQ(group.status("b").slotsInUse, 0U);
    group.run(10ms);
    EXPECT_TRUE(group.server("a").log().empty());
}

// Guards against a transaction whose writes are visible before Commit or are split into several log entries.
TEST(FakeBackend, TransactionBecomesOneEntryAtCommit)
{
    FakeGroup group;
    const auto work = group.openWork("a");
    const auto other = group.openWork("a");
    group.sendAndWait("a", work, {.operation = BackendOperation::Begin, .write = true, .transaction = 7, .term = 1});
    group.sendAndWait("a", work, inside("append list x", 7));
    EXPECT_EQ(group.sendAndWait("a", work, inside("append list y", 7)).value, "2");
    EXPECT_EQ(group.sendAndWait("a", other, read("count list")).value, "0");
    const BackendAnswer commit =
        group.sendAndWait("a", work, {.operation = BackendOperation::Commit, .requestKey = "key", .transaction = 7});
    EXPECT_EQ(commit.code, BackendStatusCode::Ok);
    EXPECT_EQ(commit.position.position, 1U);
    ASSERT_EQ(group.server("a").log().size(), 1U);
    EXPECT_EQ(group.server("a").log().front().statements, "append list x\nappend list y");
    EXPECT_EQ(group.sendAndWait("a", other, read("get list")).value, "x,y");
}

// Guards against mixing statements of different transactions on one connection (guarantee P3).
TEST(FakeBackend, StatementWithAnotherTransactionNumberIsRefusedAndCounted)
{
    FakeGroup group;
    const auto work = group.openWork("a");
    group.sendAndWait("a", work, {.operation = BackendOperation::Begin, .write = true, .transaction = 7});
    EXPECT_EQ(group.sendAndWait("a", work, inside("put k v", 8)).code, BackendStatusCode::NoTransaction);
    EXPECT_EQ(group.sendAndWait("a", work, write("put k v")).code, BackendStatusCode::TransactionOpen);
    EXPECT_EQ(group.server("a").transactionMismatches(), 2U);
    EXPECT_EQ(group.sendAndWait("a", work, {.operation = BackendOperation::Rollback, .transaction = 7}).code,
              BackendStatusCode::Ok);
    EXPECT_EQ(group.sendAndWait("a", work, inside("put k v", 7)).code, BackendStatusCode::NoTransaction);
    EXPECT_EQ(group.server("a").transactionMismatches(), 2U);
}

// Guards against a partly executed transaction that takes effect when its connection is lost.
TEST(FakeBackend, ClosedSessionRollsItsTransactionBack)
{
    FakeGroup group;
    const auto work = group.openWork("a");
    group.sendAndWait("a", work, {.operation = BackendOperation::Begin, .write = true, .transaction = 7});
    group.sendAndWait("a", work, inside("put k v", 7));
    group.send("a", work, inside("put l v", 7));
    group.close("a", work);
    group.run(10ms);
    EXPECT_TRUE(group.server("a").log().empty());
    EXPECT_EQ(group.status("a").slotsInUse, 0U);
    EXPECT_EQ(group.sendAndWait("a", group.openWork("a"), read("get k")).value, "");
}

// Guards against changes by a statement that fails.
TEST(FakeBackend, StatementErrorChangesNothing)
{
    FakeGroup group;
    const auto work = group.openWork("a");
    const BackendAnswer failed = group.sendAndWait("a", work, write("fail no such form", "key"));
    EXPECT_EQ(failed.code, BackendStatusCode::StatementError);
    EXPECT_EQ(failed.text, "no such form");
    EXPECT_EQ(group.sendAndWait("a", work, read("put k v")).code, BackendStatusCode::StatementError);
    EXPECT_TRUE(group.server("a").log().empty());
}

// Guards against a barrier that is confirmed by an acknowledgement of a heartbeat sent before it.
TEST(FakeBackend, BarrierNeedsAHeartbeatAfterIt)
{
    FakeGroup group;
    const auto control = group.openControl("a");
    const BackendAnswer confirmed = group.sendAndWait("a", control, barrier());
    EXPECT_EQ(confirmed.code, BackendStatusCode::Ok);
    ASSERT_TRUE(confirmed.status.has_value());
    EXPECT_EQ(confirmed.status->replicas.size(), 2U);
    group.isolate("a");
    EXPECT_EQ(group.sendAndWait("a", control, barrier()).code, BackendStatusCode::BarrierTimeout);
}

// Guards against confirming a write that only the primary holds.
TEST(FakeBackend, BarrierNeedsThePosition)
{
    FakeGroup group;
    const auto control = group.openControl("a");
    EXPECT_EQ(group.sendAndWait("a", control, barrier(1)).code, BackendStatusCode::BarrierTimeout);
    const BackendAnswer written = group.sendAndWait("a", group.openWork("a"), write("put k v"));
    const BackendAnswer confirmed = group.sendAndWait("a", control, barrier(written.position.position));
    EXPECT_EQ(confirmed.code, BackendStatusCode::Ok);
    EXPECT_EQ(confirmed.position, written.position);
}

// Guards against two promoters that both fence and promote under the same term.
TEST(FakeBackend, FenceBelongsToOnePromoter)
{
    FakeGroup group;
    const auto one = group.openControl("b", "p1");
    const auto two = group.openControl("b", "p2");
    EXPECT_EQ(group.sendAndWait("b", one, {.operation = BackendOperation::Fence, .term = 2}).code,
              BackendStatusCode::Ok);
    EXPECT_EQ(group.sendAndWait("b", one, {.operation = BackendOperation::Fence, .term = 2}).code,
              BackendStatusCode::Ok);
    EXPECT_EQ(group.sendAndWait("b", two, {.operation = BackendOperation::Fence, .term = 2}).code,
              BackendStatusCode::WrongTerm);
    EXPECT_EQ(group.sendAndWait("b", two, {.operation = BackendOperation::Promote, .term = 2}).code,
              BackendStatusCode::WrongTerm);
    EXPECT_EQ(group.sendAndWait("b", two, {.operation = BackendOperation::Fence, .term = 3}).code,
              BackendStatusCode::Ok);
    EXPECT_EQ(group.sendAndWait("b", one, {.operation = BackendOperation::Promote, .term = 2}).code,
              BackendStatusCode::WrongTerm);
    EXPECT_EQ(group.status("b").fencedBy, "p2");
}

// Guards against writes acknowledged by a primary that is being replaced (guarantee P2), including running statements.
TEST(FakeBackend, FencedPrimaryRefusesWritesAndBarriers)
{
    FakeGroup group;
    const auto work = group.openWork("a");
    const auto control = group.openControl("a");
    const auto running = group.send("a", work, write("put k v"));
    const auto waiting = group.send("a", control, barrier(1));
    group.sendAndWait("a", control, {.operation = BackendOperation::Fence, .term = 2});
    group.run(10ms);
    EXPECT_EQ(group.answer("a", running)->code, BackendStatusCode::WrongTerm);
    EXPECT_EQ(group.answer("a", waiting)->code, BackendStatusCode::WrongTerm);
    EXPECT_EQ(group.sendAndWait("a", work, write("put k v")).code, BackendStatusCode::WrongTerm);
    EXPECT_EQ(group.sendAndWait("a", control, barrier()).code, BackendStatusCode::WrongTerm);
    EXPECT_TRUE(group.server("a").log().empty());
}

// Guards against a primary that still accepts writes after a replica has reported a newer term to it.
TEST(FakeBackend, PrimaryRefusedByAFencedReplicaRefusesWrites)
{
    FakeGroup group;
    const auto work = group.openWork("a");
    group.sendAndWait("b", group.openControl("b"), {.operation = BackendOperation::Fence, .term = 5});
    group.run(100ms);
    EXPECT_EQ(group.sendAndWait("a", work, write("put k v")).code, BackendStatusCode::WrongTerm);
    EXPECT_EQ(group.status("a").fencedTerm, 5U);
    // The promoter of that term must still be able to fence this server.
    EXPECT_EQ(group.sendAndWait("a", group.openControl("a"), {.operation = BackendOperation::Fence, .term = 5}).code,
              BackendStatusCode::Ok);
}

// Guards against executing a write that expects the primary of another term.
TEST(FakeBackend, WriteUnderAnotherTermIsRefused)
{
    FakeGroup group;
    const auto work = group.openWork("a");
    EXPECT_EQ(group.sendAndWait("a", work, write("put k v", "", 2)).code, BackendStatusCode::WrongTerm);
    EXPECT_EQ(group.sendAndWait("a", work, write("put k v", "", 1)).code, BackendStatusCode::Ok);
}

// Guards against a transaction that was opened under an old term and is committed under a new one.
TEST(FakeBackend, CommitUnderANewerTermIsRefused)
{
    FakeGroup group;
    const auto work = group.openWork("a");
    group.sendAndWait("a", work, {.operation = BackendOperation::Begin, .write = true, .transaction = 7});
    group.sendAndWait("a", work, inside("put k v", 7));
    group.changePrimary("a", 2);
    EXPECT_EQ(group.sendAndWait("a", work, {.operation = BackendOperation::Commit, .transaction = 7}).code,
              BackendStatusCode::WrongTerm);
    EXPECT_TRUE(group.server("a").log().empty());
}

// Guards against reads at a new primary that miss entries which it had received but not applied.
TEST(FakeBackend, PromotionAppliesReceivedEntriesAndRecordsTheTermStart)
{
    FakeGroup group({.applyLag = 10s});
    group.sendAndWait("a", group.openWork("a"), write("put k v"));
    group.run(5ms);
    ASSERT_EQ(group.status("b").applied.position, 0U);
    group.changePrimary("b", 2);
    EXPECT_EQ(group.sendAndWait("b", group.openWork("b"), read("get k")).value, "v");
    const ServerStatus status = group.status("b");
    EXPECT_EQ(status.role, BackendRole::Primary);
    ASSERT_EQ(status.history.starts().size(), 2U);
    EXPECT_EQ(status.history.starts()[1], (TermStart{.term = 2, .start = 1}));
    EXPECT_EQ(group.status("c").history, status.history);
}

// Guards against diverged logs in one group: writes that a promotion discarded must not reappear.
TEST(FakeBackend, FollowTruncatesADivergedTail)
{
    FakeGroup group;
    const auto old = group.openWork("a");
    group.sendAndWait("a", old, write("put k shared"));
    group.run(5ms);
    group.isolate("a");
    group.sendAndWait("a", old, write("put k lost", "lost-key"));
    group.sendAndWait("a", old, write("put l lost"));
    group.changePrimary("b", 2);
    group.sendAndWait("b", group.openWork("b"), write("put m new"));

    group.heal("a");
    group.sendAndWait("a", group.openControl("a"), {.operation = BackendOperation::Follow, .term = 2, .primary = "b"});
    group.run(200ms);
    const ServerStatus status = group.status("a");
    EXPECT_EQ(status.role, BackendRole::Replica);
    EXPECT_EQ(status.received, (LogPosition{.term = 2, .position = 2}));
    EXPECT_EQ(group.sendAndWait("a", old, read("get k")).value, "shared");
    EXPECT_EQ(group.sendAndWait("a", old, read("get l")).value, "");
    EXPECT_EQ(group.sendAndWait("a", old, read("get m")).value, "new");
    EXPECT_EQ(group
                  .sendAndWait("a", group.openControl("a"),
                               {.operation = BackendOperation::LookupKey, .requestKey = "lost-key"})
                  .code,
              BackendStatusCode::KeyNotFound);
}

// Guards against diverged entries that remain below the start of the newest term. It happens when a promoted server
// wrote unconfirmed entries and was replaced by a server that never received its term.
TEST(FakeBackend, EntriesOfATermUnknownToThePrimaryAreTruncated)
{
    FakeGroup group;
    const auto old = group.openWork("a");
    group.isolate("b");
    group.sendAndWait("b", group.openControl("b"), {.operation = BackendOperation::Fence, .term = 2});
    group.sendAndWait("b", group.openControl("b"), {.operation = BackendOperation::Promote, .term = 2});
    group.sendAndWait("b", group.openWork("b"), write("put k fork"));
    group.sendAndWait("a", old, write("put k main"));
    group.sendAndWait("a", old, write("put l main"));
    group.run(20ms);
    group.changePrimary("c", 3);
    group.heal("b");
    group.run(200ms);
    ASSERT_EQ(group.status("b").received, (LogPosition{.term = 3, .position = 2}));
    EXPECT_EQ(group.server("b").log().front().statements, "put k main");
}

// Guards against the loss of a confirmed write: a replica that has adopted a new term but lacks entries before its
// start must not compare as newer than a server that holds them.
TEST(FakeBackend, ReplicaShortOfTheTermStartReportsTheOlderTerm)
{
    FakeGroup group({.appendBatch = 1});
    const auto old = group.openWork("a");
    group.isolate("b");
    for (int index = 0; index < 40; ++index)
        group.sendAndWait("a", old, write("append list x"));
    group.run(5ms);
    group.isolate("a");
    group.heal("b");
    group.sendAndWait("c", group.openControl("c"), {.operation = BackendOperation::Fence, .term = 2});
    group.sendAndWait("c", group.openControl("c"), {.operation = BackendOperation::Promote, .term = 2});
    group.run(6ms);
    const ServerStatus behind = group.status("b");
    ASSERT_GT(behind.received.position, 0U);
    ASSERT_LT(behind.received.position, 40U);
    EXPECT_EQ(behind.fencedTerm, 2U);
    EXPECT_LT(behind.received, group.status("a").received);

    // Its acknowledgement must not confirm a barrier either, whatever the position of the barrier is.
    const auto serial = group.send("c", group.openControl("c"), barrier(0));
    group.run(4ms);
    EXPECT_FALSE(group.answer("c", serial).has_value());
    group.run(145ms);
    EXPECT_EQ(group.answer("c", serial)->code, BackendStatusCode::Ok);
    EXPECT_EQ(group.status("b").received, (LogPosition{.term = 2, .position = 40}));
}

// Guards against an unbounded message after a long outage of a replica, and against gaps in its log.
TEST(FakeBackend, CatchUpIsSentInBoundedBatches)
{
    FakeGroup group({.appendBatch = 16});
    const auto work = group.openWork("a");
    group.isolate("b");
    for (int index = 0; index < 100; ++index)
        group.sendAndWait("a", work, write("append list " + std::to_string(index)));
    group.heal("b");
    group.run(100ms);
    EXPECT_EQ(group.status("b").received.position, 100U);
    EXPECT_EQ(group.largestAppend(), 16U);
    for (std::size_t index = 0; index < 100; ++index)
        ASSERT_EQ(group.server("b").log()[index].statements, "append list " + std::to_string(index));
}

// Guards against a silent primary that is not reported by its replicas.
TEST(FakeBackend, ReplicaReportsTheSilenceOfItsPrimary)
{
    FakeGroup group;
    group.run(200ms);
    EXPECT_LE(group.status("b").primarySilence, 60ms);
    group.isolate("a");
    group.run(500ms);
    EXPECT_GE(group.status("b").primarySilence, 400ms);
    EXPECT_EQ(group.status("b").primary, "a");
}

// Guards against a fake that is more lenient than a real server, where a write whose client has disconnected may still
// take effect.
TEST(FakeBackend, WriteOfAClosedSessionStillTakesEffect)
{
    FakeGroup group;
    const auto work = group.openWork("a");
    group.send("a", work, write("put k v"));
    group.close("a", work);
    group.run(10ms);
    EXPECT_EQ(group.server("a").log().size(), 1U);
}

} // namespace

} // namespace Jujubekeel
