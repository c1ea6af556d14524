#include "support/corefleet.h"

#include <gtest/gtest.h>

#include <string>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs a fleet until every server has an owner, with a rule that makes the operations `pay.*` non-idempotent.
void prepareFleet(CoreFleet &fleet)
{
    ASSERT_TRUE(fleet.runUntil(seconds(3), [&] { return fleet.allOwned() && fleet.allHavePrimary(0); }));
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

/// Runs until a statement is in progress on a work connection of an instance.
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

// Guards against a caller receiving the answer to another request: a late answer can arrive on a connection that
// already carries the next request. An answer with another serial must be dropped and its connection closed.
TEST(RequestOutcome, AnswerWithAnotherSerialIsNotPassedOn)
{
    CoreFleet fleet;
    prepareFleet(fleet);
    const auto owner = static_cast<std::uint32_t>(fleet.holder(0));
    fleet.delayAnswers(0, milliseconds(100));
    sendWrite(fleet, owner, "note.add");
    ConnectionId busy;
    std::uint64_t serial = 0;
    ASSERT_TRUE(waitForBusy(fleet, owner, busy, serial));

    fleet.input(owner, BackendAnswered{.connection = busy, .answer = {.serial = serial + 1000, .value = "foreign"}});
    fleet.run(milliseconds(1));
    EXPECT_EQ(fleet.counter("jujubekeel_unexpected_answers_total"), 1U);
    EXPECT_EQ(fleet.world(owner).connections.find(busy), nullptr)
        << "the connection is still in use after an answer with another serial";
    fleet.delayAnswers(0, Duration{0});
    ASSERT_TRUE(fleet.runUntil(seconds(4), [&] { return !fleet.answers().empty(); }));
    EXPECT_EQ(fleet.answers().front().code, ResultCode::Ok) << fleet.answers().front().text;
    EXPECT_NE(fleet.answers().front().value, "foreign");
    EXPECT_EQ(fleet.server(0).log().size(), 1U) << "the write is repeated with its key and must run once";
}

// Guards against sending a non-idempotent write a second time after its first attempt was lost. Servers that retain
// request keys would hide this, so the write in this test never arrives. Under the same term its outcome must stay
// unknown, because the first attempt may still arrive.
TEST(RequestOutcome, LostWriteThatMustNotRepeatIsOnlyLookedUp)
{
    CoreFleet fleet;
    prepareFleet(fleet);
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

// Guards against new work at a leaving primary that can't be replaced: the proxies reach no other server of the group,
// so only the refusal of new work keeps it idle. Before the leaving rule the same write must succeed.
TEST(RequestOutcome, LeavingPrimaryWithoutASuccessorRefusesNewWork)
{
    CoreFleet fleet;
    prepareFleet(fleet);
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
    EXPECT_EQ(fleet.server(0).log().size(), 1U) << "the leaving server executed a write";
}

/// Sends a request of one session and returns its answer.
CallerAnswer sendAndWait(CoreFleet &fleet, std::uint32_t instance, RequestKind kind, const std::string &transaction)
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

// Guards against a planned stop that rejects the commit of an open transaction.
TEST(RequestOutcome, OpenTransactionCommitsDuringAPlannedStop)
{
    CoreFleet fleet;
    prepareFleet(fleet);
    const auto owner = static_cast<std::uint32_t>(fleet.holder(0));
    const CallerAnswer begun = sendAndWait(fleet, owner, RequestKind::Begin, {});
    ASSERT_EQ(begun.code, ResultCode::Ok) << begun.text;
    fleet.input(owner, StopRequested{});
    fleet.run(milliseconds(20));
    const CallerAnswer committed = sendAndWait(fleet, owner, RequestKind::Commit, begun.transaction);
    EXPECT_EQ(committed.code, ResultCode::Ok) << committed.text;
}

// Guards against two concurrent statements on the connection of one transaction.
TEST(RequestOutcome, TransactionRunsOneStatementAtATime)
{
    CoreFleet fleet;
    prepareFleet(fleet);
    const auto owner = static_cast<std::uint32_t>(fleet.holder(0));
    const CallerAnswer begun = sendAndWait(fleet, owner, RequestKind::Begin, {});
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

// Guards against reads routed to a leaving replica: its owner refuses them, so they would be retried until their
// deadline.
TEST(RequestOutcome, LeavingReplicaGetsNoReads)
{
    CoreFleet fleet;
    prepareFleet(fleet);
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
