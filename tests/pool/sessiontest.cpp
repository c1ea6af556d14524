#include "pool/poolsupport.h"

#include <rapidcheck.h>

#include <algorithm>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Session : testing::Test
{
    Session() : pool({}) { this->pool.run(seconds(2)); }

    void prepare(VirtualPool::CallerId caller, const std::string &id, const std::string &name, bool writes,
                 const std::string &shape)
    {
        const std::size_t before = this->pool.caller(caller).replies.size();
        this->pool.send(caller, Statement{.kind = StatementKind::Prepare,
                                          .id = id,
                                          .text = "PREPARE " + name + (writes ? " WRITE " : " READ ") + shape,
                                          .name = name,
                                          .argument = shape,
                                          .preparesWrite = writes});
        for (int step = 0; step < 8000 && this->pool.caller(caller).replies.size() == before; ++step)
            this->pool.run(milliseconds(1));
    }
    CallerReply execute(VirtualPool::CallerId caller, const std::string &id, const std::string &name,
                        const std::string &parameters)
    {
        return runStatement(this->pool, caller, StatementKind::Execute, id, "EXECUTE " + name + ' ' + parameters, name,
                            parameters);
    }
    /// The last run of the prepared statement \a id, or an empty one.
    GroupHistory::Execution executionOf(const std::string &id)
    {
        const auto &all = this->pool.group().history().executions;
        const auto found = std::find_if(all.rbegin(), all.rend(), [&](const auto &entry) { return entry.id == id; });
        return found == all.rend() ? GroupHistory::Execution{} : *found;
    }

    VirtualPool pool;
};

// Guards against a session on an unknown database being opened, or refused with another code.
TEST_F(Session, UnknownDatabaseIsRefusedAtOnce)
{
    const auto caller = this->pool.openCaller(0, "nowhere");
    ASSERT_TRUE(this->pool.caller(*caller).refusal.has_value());
    EXPECT_EQ(this->pool.caller(*caller).refusal->code, OutcomeCode::NoDatabase);
}

// Guards against session values of one caller being in force for another caller on the same connection.
TEST_F(Session, ValuesFollowTheSessionAcrossSharedConnections)
{
    const auto first = *this->pool.openCaller(0, VirtualPool::primaryRoute);
    const auto second = *this->pool.openCaller(0, VirtualPool::primaryRoute);
    runStatement(this->pool, first, StatementKind::SetValue, "a1", "SET who one", "who", "one");
    runStatement(this->pool, second, StatementKind::SetValue, "b1", "SET other two", "other", "two");
    for (int round = 0; round < 4; ++round) {
        const std::string number = std::to_string(round);
        EXPECT_EQ(runStatement(this->pool, first, StatementKind::Read, "a" + number + "x", "READ 1").rows,
                  std::vector<std::string>{"who=one;"});
        EXPECT_EQ(runStatement(this->pool, second, StatementKind::Read, "b" + number + "x", "READ 1").rows,
                  std::vector<std::string>{"other=two;"});
    }
}

// Guards against a session that keeps values or prepared statements without limit, and against counting replaced ones.
TEST_F(Session, WhatASessionKeepsIsLimited)
{
    const auto caller = *this->pool.openCaller(0, VirtualPool::primaryRoute);
    const std::string value(900'000, 'x');
    const auto set = [&](const std::string &id, const std::string &name) {
        return runStatement(this->pool, caller, StatementKind::SetValue, id, "SET " + name + ' ' + value, name, value);
    };
    EXPECT_FALSE(set("1", "a").error.has_value());
    EXPECT_FALSE(set("2", "a").error.has_value());
    EXPECT_FALSE(set("3", "b").error.has_value());
    const CallerReply refused = set("4", "c");
    ASSERT_TRUE(refused.error.has_value());
    EXPECT_EQ(refused.error->code, OutcomeCode::TooLarge);
    EXPECT_EQ(refused.state, SessionState::Idle);
    EXPECT_FALSE(set("5", "b").error.has_value());
}

// Guards against statements running for a caller that does not take its replies, and against losing or reordering them.
TEST_F(Session, StatementsWaitWhileRepliesAreUnread)
{
    PoolCore core(PoolOptions{.instance = "i-1"});
    core.start(seconds(1), 1);
    const SessionId session = core.callerConnected(seconds(1));
    core.relayOpenedSession(seconds(1), session, "i-1");
    const auto replies = [&] {
        std::size_t count = 0;
        for (const PoolAction &action : core.takeActions())
            count += std::holds_alternative<ReplyToCaller>(action) ? 1 : 0;
        return count;
    };
    const Statement value{.kind = StatementKind::SetValue, .text = "SET a b", .name = "a", .argument = "b"};
    core.callerUnread(seconds(1), session, true);
    core.statementReceived(seconds(1), session, value);
    core.statementReceived(seconds(1), session, value);
    EXPECT_EQ(replies(), 0U);
    core.callerUnread(seconds(2), session, false);
    EXPECT_EQ(replies(), 2U);
    EXPECT_EQ(core.state().sessions.find(session)->backlogBytes, 0U);
}

// Guards against two callers with the same prepared name running each other's statement.
TEST_F(Session, PreparedNamesAreSeparateForEachSession)
{
    const auto reader = *this->pool.openCaller(0, VirtualPool::ownRoute);
    const auto writer = *this->pool.openCaller(0, VirtualPool::ownRoute);
    runStatement(this->pool, reader, StatementKind::Prepare, "a1", "PREPARE s READ q", "s", "q");
    this->pool.send(
        writer,
        Statement{.kind = StatementKind::Prepare, .id = "b1", .name = "s", .argument = "q", .preparesWrite = true});
    this->pool.run(milliseconds(20));
    const std::size_t commits = this->pool.group().history().commits.size();
    EXPECT_FALSE(runStatement(this->pool, reader, StatementKind::Execute, "a2", "", "s", "1").error.has_value());
    EXPECT_EQ(this->pool.group().history().commits.size(), commits);
    EXPECT_FALSE(runStatement(this->pool, writer, StatementKind::Execute, "b2", "", "s", "1 x").error.has_value());
    EXPECT_EQ(this->pool.group().history().commits.size(), commits + 1);
}

// Guards against a statement running the shape of another session: names on shared links were made from the shape, and a
// blank in it moved the fields of the line (review case 2).
TEST_F(Session, ShapeWithABlankRunsAsItWasPrepared)
{
    const auto first = *this->pool.openCaller(0, VirtualPool::ownRoute);
    const auto second = *this->pool.openCaller(0, VirtualPool::ownRoute);
    this->prepare(first, "a1", "s1", true, "fee");
    this->prepare(second, "b1", "s1", true, "fee due");
    for (int round = 0; round < 6; ++round) {
        const std::string suffix = std::to_string(round);
        EXPECT_FALSE(this->execute(first, "a-" + suffix, "s1", "stall-1 17").error.has_value());
        EXPECT_FALSE(this->execute(second, "b-" + suffix, "s1", "stall-1 18").error.has_value());
        EXPECT_EQ(this->executionOf("a-" + suffix).shape, "fee");
        EXPECT_EQ(this->executionOf("b-" + suffix).shape, "fee due");
        EXPECT_EQ(this->executionOf("b-" + suffix).parameters, "stall-1 18");
    }
    EXPECT_EQ(joined(this->pool.group().history().misuse), "");
}

// Guards against two shapes sharing a name on a link, whatever characters they consist of.
TEST_F(Session, AnyShapeRunsAsItWasPrepared)
{
    std::size_t run = 0;
    EXPECT_TRUE(rc::check([&] {
        run += 1;
        const auto shapes = *rc::gen::container<std::vector<std::pair<bool, std::string>>>(
            4, rc::gen::pair(rc::gen::arbitrary<bool>(),
                             rc::gen::container<std::string>(rc::gen::element(' ', 'a', 'b', '_', '"', '\\', '\t', '\0',
                                                                              '\n', '\r', '%', '\xff'))));
        std::vector<VirtualPool::CallerId> sessions;
        for (std::size_t index = 0; index < shapes.size(); ++index) {
            const std::string id = std::to_string(run) + "-" + std::to_string(index);
            sessions.push_back(*this->pool.openCaller(0, VirtualPool::ownRoute));
            this->prepare(sessions.back(), "p" + id, "s", shapes[index].first, shapes[index].second);
            const CallerReply reply = this->execute(sessions.back(), "x" + id, "s", "item data");
            RC_ASSERT(!reply.error.has_value());
            RC_ASSERT(this->executionOf("x" + id).shape == shapes[index].second);
            RC_ASSERT(this->executionOf("x" + id).writes == shapes[index].first);
            RC_ASSERT(this->executionOf("x" + id).parameters == "item data");
        }
        for (const auto session : sessions)
            this->pool.closeCaller(session);
    }));
    EXPECT_EQ(joined(this->pool.group().history().misuse), "");
}

// Guards against an EXECUTE that is sent before the answer to its PREPARE running anything if the server refuses that,
// and against a write that has not run being reported as possibly run.
TEST_F(Session, RefusedPreparationRunsNothingElse)
{
    const auto caller = *this->pool.openCaller(0, VirtualPool::ownRoute);
    this->prepare(caller, "a1", "s", true, "q");
    this->pool.group().setRefusedPreparations(0, 2);
    const CallerReply reply = this->execute(caller, "a2", "s", "1 x");
    EXPECT_FALSE(reply.error.has_value());
    EXPECT_EQ(this->executionOf("a2").shape, "q");
    EXPECT_EQ(this->pool.group().history().commits.size(), 1U);
    EXPECT_EQ(this->pool.countLogs("prepare-refused"), 2U);
}

// Guards against a caller being told that a statement whose preparation was acknowledged is unknown, and against the
// refused name being used again on the link.
TEST_F(Session, RefusedPreparationInATransactionAbortsIt)
{
    const auto caller = *this->pool.openCaller(0, VirtualPool::ownRoute);
    this->prepare(caller, "a1", "s", true, "q");
    runStatement(this->pool, caller, StatementKind::Begin, "a2", "BEGIN");
    this->pool.group().setRefusedPreparations(0, 1);
    const CallerReply refused = this->execute(caller, "a3", "s", "1 x");
    ASSERT_TRUE(refused.error.has_value());
    EXPECT_EQ(refused.error->code, OutcomeCode::Aborted);
    runStatement(this->pool, caller, StatementKind::Rollback, "a4", "ROLLBACK");
    runStatement(this->pool, caller, StatementKind::Begin, "a5", "BEGIN");
    EXPECT_FALSE(this->execute(caller, "a6", "s", "1 x").error.has_value());
    EXPECT_FALSE(runStatement(this->pool, caller, StatementKind::Commit, "a7", "COMMIT").error.has_value());
    EXPECT_EQ(this->executionOf("a6").shape, "q");
}

// Guards against prepared statements that nobody uses any more filling the memory of a link, and against a statement being
// sent on in a message that is too long for the server.
TEST_F(Session, LargeShapesAreBounded)
{
    const auto caller = *this->pool.openCaller(0, VirtualPool::ownRoute);
    const std::size_t large = PoolOptions{}.preparedBytes / 2 + 1;
    for (int round = 0; round < 12; ++round) {
        const std::string shape(large, static_cast<char>('a' + round));
        const std::string suffix = std::to_string(round);
        this->prepare(caller, "p" + suffix, "s", false, shape);
        EXPECT_FALSE(this->execute(caller, "x" + suffix, "s", "1").error.has_value());
        EXPECT_EQ(this->executionOf("x" + suffix).shape, shape);
    }
    this->pool.core(0)->state().links.forEach(
        [&](LinkId, const LinkRow &link) { EXPECT_LE(link.prepared.textBytes(), 2 * large); });
    this->prepare(caller, "p", "t", true, std::string(PoolOptions{}.preparedTextLimit, 'x'));
    ASSERT_TRUE(this->pool.caller(caller).replies.back().error.has_value());
    EXPECT_EQ(this->pool.caller(caller).replies.back().error->code, OutcomeCode::TooLarge);
    EXPECT_EQ(joined(this->pool.group().history().misuse), "");
}

// Guards against EXECUTE running a statement under a name that was deallocated.
TEST_F(Session, UnknownPreparedNameIsAnError)
{
    const auto caller = *this->pool.openCaller(0, VirtualPool::ownRoute);
    runStatement(this->pool, caller, StatementKind::Prepare, "a1", "PREPARE s READ q", "s", "q");
    runStatement(this->pool, caller, StatementKind::Deallocate, "a2", "DEALLOC s", "s");
    const CallerReply reply = runStatement(this->pool, caller, StatementKind::Execute, "a3", "", "s", "1");
    ASSERT_TRUE(reply.error.has_value());
    ASSERT_TRUE(reply.error.has_value());
    EXPECT_EQ(reply.error->code, OutcomeCode::UnknownName);
    EXPECT_EQ(reply.state, SessionState::Idle);
}

// Guards against a failed transaction running further statements, or its COMMIT keeping changes.
TEST_F(Session, FailedTransactionCanOnlyBeEnded)
{
    const auto caller = *this->pool.openCaller(0, VirtualPool::primaryRoute);
    EXPECT_EQ(runStatement(this->pool, caller, StatementKind::Begin, "a1", "BEGIN").state, SessionState::InTransaction);
    runStatement(this->pool, caller, StatementKind::Write, "a2", "WRITE 1 x");
    EXPECT_EQ(runStatement(this->pool, caller, StatementKind::Malformed, "a3", "NONSENSE").state, SessionState::Failed);
    const CallerReply refused = runStatement(this->pool, caller, StatementKind::Read, "a4", "READ 1");
    ASSERT_TRUE(refused.error.has_value());
    EXPECT_EQ(refused.error->code, OutcomeCode::Malformed);
    const CallerReply ended = runStatement(this->pool, caller, StatementKind::Commit, "a5", "COMMIT");
    ASSERT_TRUE(ended.error.has_value());
    EXPECT_EQ(ended.error->code, OutcomeCode::Aborted);
    EXPECT_EQ(ended.state, SessionState::Idle);
    EXPECT_TRUE(this->pool.group().history().commits.empty());
}

// Guards against a caller that disconnects inside a transaction leaving a connection in use or its writes committed.
TEST_F(Session, DisconnectInsideATransactionRollsBack)
{
    const auto caller = *this->pool.openCaller(0, VirtualPool::primaryRoute);
    runStatement(this->pool, caller, StatementKind::Begin, "a1", "BEGIN");
    runStatement(this->pool, caller, StatementKind::Write, "a2", "WRITE 1 x");
    this->pool.closeCaller(caller);
    this->pool.run(seconds(1));
    EXPECT_TRUE(this->pool.group().history().commits.empty());
    std::size_t used = 0;
    this->pool.core(0)->state().links.forEach([&](LinkId, const LinkRow &link) { used += link.isFree() ? 0 : 1; });
    EXPECT_EQ(used, 0U);
}

// Guards against idle transactions occupying connections without limit.
TEST_F(Session, IdleTransactionIsRolledBackAndItsCommitAborted)
{
    const auto caller = *this->pool.openCaller(0, VirtualPool::primaryRoute);
    runStatement(this->pool, caller, StatementKind::Begin, "a1", "BEGIN");
    runStatement(this->pool, caller, StatementKind::Write, "a2", "WRITE 1 x");
    this->pool.run(seconds(4));
    const CallerReply reply = runStatement(this->pool, caller, StatementKind::Commit, "a3", "COMMIT");
    ASSERT_TRUE(reply.error.has_value());
    EXPECT_EQ(reply.error->code, OutcomeCode::Aborted);
    EXPECT_TRUE(this->pool.group().history().commits.empty());
}

// Guards against a database being served after its route was removed, and against an older configuration replacing a
// newer one.
TEST_F(Session, RemovedRouteIsRefusedAndOlderVersionsAreIgnored)
{
    const auto caller = *this->pool.openCaller(0, VirtualPool::boundedRoute);
    this->pool.publishRoutes(5, {VirtualPool::primaryRoute});
    this->pool.run(milliseconds(100));
    const auto isRefused = [&](const std::string &id) {
        const CallerReply reply = runStatement(this->pool, caller, StatementKind::Read, id, "READ 1");
        return reply.error && reply.error->code == OutcomeCode::NoDatabase;
    };
    EXPECT_TRUE(isRefused("a1"));
    this->pool.publishRoutes(4, {VirtualPool::primaryRoute, VirtualPool::boundedRoute});
    this->pool.run(milliseconds(100));
    EXPECT_TRUE(isRefused("a2"));
}

// Guards against a read that fails at a faulty server being given up because another server had refused it before.
TEST(FailedRead, IsRepeatedAfterItsFirstFailureOnly)
{
    VirtualPool pool({.instances = 1, .instanceDomains = {"d1"}});
    pool.group().setApplyLag(1, std::chrono::seconds(5));
    pool.run(std::chrono::seconds(2));
    const auto caller = *pool.openCaller(0, VirtualPool::boundedRoute);
    runStatement(pool, caller, StatementKind::Write, "w", "WRITE 1");
    pool.run(std::chrono::seconds(2));
    runStatement(pool, caller, StatementKind::Read, "p", "READ 1"); // the instance learns the primary's position
    pool.group().setImpairment(2, {.failedPercent = 100});
    EXPECT_FALSE(runStatement(pool, caller, StatementKind::Read, "r", "READ 1").error.has_value());
    EXPECT_EQ(pool.group().tally(2).failed, 1U) << "the lagging server refused it first";
    pool.group().setImpairment(0, {.failedPercent = 100});
    EXPECT_EQ(runStatement(pool, caller, StatementKind::Read, "s", "READ 1").error->code, OutcomeCode::Failed);
}

} // namespace

} // namespace Jujubekeel
