#include "support/corefleet.h"

#include <gtest/gtest.h>

#include <string>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs a fleet until every server has an owner, with a rule that makes the operations `pay.*` non-idempotent.
void settle(CoreFleet &fleet)
{
    ASSERT_TRUE(fleet.runUntil(seconds(3), [&] { return fleet.allOwned() && fleet.allKnowPrimary(0); }));
    for (std::uint32_t index = 0; index < 3; ++index) {
        fleet.input(index,
                    PeerMessageArrived{.from = InstanceId{.index = (index + 1) % 3, .generation = 0},
                                       .message = RulesUpdate{.version = 1, .text = "no-repeat db pay.* # test\n"}});
    }
    fleet.run(milliseconds(500));
}

void sendWrite(CoreFleet &fleet, std::uint32_t instance, const std::string &operation)
{
    fleet.input(instance, CallerRequestArrived{.request = {.ticket = 1,
                                                           .database = "db",
                                                           .caller = "caller",
                                                           .operation = operation,
                                                           .kind = RequestKind::Write,
                                                           .statement = "append k 1",
                                                           .timeout = seconds(2)}});
}

/// Runs until a work connection of an instance waits for an answer.
bool waitForBusy(CoreFleet &fleet, std::uint32_t instance, ConnectionId &busy, std::uint64_t &serial)
{
    return fleet.runUntil(seconds(1), [&] {
        fleet.world(instance).connections.forEach([&](ConnectionId id, const ConnectionRow &row) {
            if (row.purpose == ConnectionPurpose::Work && row.execution.isValid()) {
                busy = id;
                serial = row.serial;
            }
        });
        return busy.isValid();
    });
}

// Guards against a caller that gets the answer to another request because a late answer arrives on a connection that
// is busy again: the serial number must match, and the connection must be closed.
TEST(RequestOutcome, AnswerWithAnotherSerialIsNotPassedOn)
{
    CoreFleet fleet;
    settle(fleet);
    const auto owner = static_cast<std::uint32_t>(fleet.holder(0));
    fleet.delayAnswers(0, milliseconds(100));
    sendWrite(fleet, owner, "note.add");
    ConnectionId busy;
    std::uint64_t serial = 0;
    ASSERT_TRUE(waitForBusy(fleet, owner, busy, serial));

    fleet.input(owner, BackendAnswered{.connection = busy, .answer = {.serial = serial + 1000, .value = "foreign"}});
    fleet.run(milliseconds(1));
    EXPECT_EQ(fleet.counter("jujubekeel_unexpected_answers_total"), 1U);
    EXPECT_EQ(fleet.world(owner).connections.find(busy), nullptr) << "the connection in doubt is still in use";
    fleet.delayAnswers(0, Duration{0});
    ASSERT_TRUE(fleet.runUntil(seconds(4), [&] { return !fleet.answers().empty(); }));
    EXPECT_EQ(fleet.answers().front().code, ResultCode::Ok) << fleet.answers().front().text;
    EXPECT_NE(fleet.answers().front().value, "foreign");
    EXPECT_EQ(fleet.server(0).log().size(), 1U) << "the write is repeated with its key and must run once";
}

// Guards against a non-idempotent write that is sent a second time after its first attempt was lost. The request key
// hides this from servers that retain keys, so the test looks at a write that never arrived: under the same term it
// must stay unknown, because the first attempt may still be on its way.
TEST(RequestOutcome, LostWriteThatMustNotRepeatIsOnlyLookedUp)
{
    CoreFleet fleet;
    settle(fleet);
    const auto owner = static_cast<std::uint32_t>(fleet.holder(0));
    const std::string ownerName = "i" + std::to_string(owner);
    sendWrite(fleet, owner, "pay.add");
    ConnectionId busy;
    std::uint64_t serial = 0;
    ASSERT_TRUE(waitForBusy(fleet, owner, busy, serial));

    // The request is dropped on the way, then the connection fails.
    fleet.cut(ownerName, "b0");
    fleet.run(milliseconds(2));
    fleet.heal();
    fleet.input(owner, ConnectionLost{.connection = busy});
    ASSERT_TRUE(fleet.runUntil(seconds(4), [&] { return !fleet.answers().empty(); }));
    EXPECT_EQ(fleet.answers().front().code, ResultCode::OutcomeUnknown) << fleet.answers().front().text;
    EXPECT_EQ(fleet.server(0).log().size(), 0U) << "the write was sent a second time";
}

// Guards against work at a leaving primary that nothing can replace: its proxies reach no other server of the group, so
// that only the refusal of new work keeps it free. The same write is served before the rule.
TEST(RequestOutcome, LeavingPrimaryWithoutASuccessorGetsNoNewWork)
{
    CoreFleet fleet;
    settle(fleet);
    const auto owner = static_cast<std::uint32_t>(fleet.holder(0));
    for (const std::string proxy : {"i0", "i1", "i2"}) {
        fleet.cut(proxy, "b1");
        fleet.cut(proxy, "b2");
    }
    sendWrite(fleet, owner, "note.add");
    ASSERT_TRUE(fleet.runUntil(seconds(3), [&] { return fleet.answers().size() == 1; }));
    ASSERT_EQ(fleet.answers().front().code, ResultCode::Ok) << fleet.answers().front().text;

    for (std::uint32_t index = 0; index < 3; ++index) {
        fleet.input(index,
                    PeerMessageArrived{.from = InstanceId{.index = (index + 1) % 3, .generation = 0},
                                       .message = RulesUpdate{.version = 2, .text = "leaving backend b0 # test\n"}});
    }
    fleet.run(seconds(6));
    ASSERT_EQ(fleet.knownPrimary(owner), 0);
    sendWrite(fleet, owner, "note.add");
    ASSERT_TRUE(fleet.runUntil(seconds(4), [&] { return fleet.answers().size() == 2; }));
    EXPECT_EQ(executionName(resultCodeInfo(fleet.answers().back().code).execution), executionName(Execution::NotRun))
        << fleet.answers().back().text;
    EXPECT_EQ(fleet.server(0).log().size(), 1U) << "the leaving server got a write";
}

/// Sends a request of one session and returns its answer.
CallerAnswer ask(CoreFleet &fleet, std::uint32_t instance, RequestKind kind, const std::string &transaction)
{
    const std::size_t before = fleet.answers().size();
    fleet.input(instance, CallerRequestArrived{.request = {.ticket = 100 + before,
                                                           .database = "db",
                                                           .caller = "caller",
                                                           .session = "session-1",
                                                           .kind = kind,
                                                           .transaction = transaction,
                                                           .timeout = seconds(2)}});
    if (!fleet.runUntil(seconds(3), [&] { return fleet.answers().size() > before; }))
        return CallerAnswer{.code = ResultCode::OutcomeUnknown, .text = "no answer"};
    return fleet.answers().back();
}

// Guards against a planned stop that keeps an open transaction from being committed.
TEST(RequestOutcome, OpenTransactionCommitsDuringAPlannedStop)
{
    CoreFleet fleet;
    settle(fleet);
    const auto owner = static_cast<std::uint32_t>(fleet.holder(0));
    const CallerAnswer begun = ask(fleet, owner, RequestKind::Begin, {});
    ASSERT_EQ(begun.code, ResultCode::Ok) << begun.text;
    fleet.input(owner, StopRequested{});
    fleet.run(milliseconds(20));
    const CallerAnswer committed = ask(fleet, owner, RequestKind::Commit, begun.transaction);
    EXPECT_EQ(committed.code, ResultCode::Ok) << committed.text;
}

// Guards against two statements of one transaction that run on its connection at the same time.
TEST(RequestOutcome, TransactionRunsOneStatementAtATime)
{
    CoreFleet fleet;
    settle(fleet);
    const auto owner = static_cast<std::uint32_t>(fleet.holder(0));
    const CallerAnswer begun = ask(fleet, owner, RequestKind::Begin, {});
    ASSERT_EQ(begun.code, ResultCode::Ok) << begun.text;
    for (const std::uint64_t ticket : {1U, 2U}) {
        fleet.input(owner, CallerRequestArrived{.request = {.ticket = ticket,
                                                            .database = "db",
                                                            .caller = "caller",
                                                            .session = "session-1",
                                                            .operation = "note.add",
                                                            .kind = RequestKind::Write,
                                                            .statement = "append k 1",
                                                            .transaction = begun.transaction,
                                                            .timeout = seconds(2)}});
    }
    ASSERT_TRUE(fleet.runUntil(seconds(3), [&] { return fleet.answers().size() == 3; }));
    const bool firstRefused = fleet.answers()[1].code == ResultCode::TransactionBusy;
    EXPECT_EQ(fleet.answers()[firstRefused ? 1 : 2].code, ResultCode::TransactionBusy);
    EXPECT_EQ(fleet.answers()[firstRefused ? 2 : 1].code, ResultCode::Ok);
}

// Guards against reads that are sent to a leaving replica, whose owner refuses them until their time is over.
TEST(RequestOutcome, LeavingReplicaGetsNoReads)
{
    CoreFleet fleet;
    settle(fleet);
    const std::string rules = "read-age db lookup.* 30s # test\n";
    const auto setRules = [&](std::uint64_t version, const std::string &text) {
        for (std::uint32_t index = 0; index < 3; ++index) {
            fleet.input(index, PeerMessageArrived{.from = InstanceId{.index = (index + 1) % 3, .generation = 0},
                                                  .message = RulesUpdate{.version = version, .text = text}});
        }
    };
    const auto read = [&]() -> CallerAnswer {
        const std::size_t before = fleet.answers().size();
        fleet.input(1, CallerRequestArrived{.request = {.ticket = 1 + before,
                                                        .database = "db",
                                                        .caller = "caller",
                                                        .operation = "lookup.list",
                                                        .statement = "get k",
                                                        .timeout = seconds(2)}});
        if (!fleet.runUntil(seconds(3), [&] { return fleet.answers().size() > before; }))
            return CallerAnswer{.code = ResultCode::OutcomeUnknown, .text = "no answer"};
        return fleet.answers().back();
    };
    setRules(2, rules);
    fleet.run(seconds(1));
    const CallerAnswer before = read();
    ASSERT_EQ(before.code, ResultCode::Ok) << before.text;
    ASSERT_EQ(before.decision.backend, "b1");

    setRules(3, rules + "leaving backend b1 # test\n");
    fleet.run(seconds(6));
    const CallerAnswer after = read();
    EXPECT_EQ(after.code, ResultCode::Ok) << after.text;
    EXPECT_NE(after.decision.backend, "b1");
}

} // namespace

} // namespace Jujubekeel
