#include "pool/poolsupport.h"

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Session : testing::Test
{
    Session() : pool({}) { this->pool.run(seconds(2)); }

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

} // namespace

} // namespace Jujubekeel
