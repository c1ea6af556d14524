#include "virtualfleet/historychecker.h"
#include "virtualfleet/historybuilder.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace Jujubekeel {

namespace {

std::size_t countOf(const History &history, Guarantee guarantee)
{
    HistoryChecker checker(history);
    const std::vector<Violation> violations = checker.check();
    return static_cast<std::size_t>(std::ranges::count(violations, guarantee, &Violation::guarantee));
}

std::size_t countAll(const History &history)
{
    HistoryChecker checker(history);
    return checker.check().size();
}

// Guards against a checker that reports violations for a correct run.
TEST(HistoryChecker, AcceptsACorrectHistory)
{
    HistoryBuilder builder;
    builder.entry(1, "append k1 k1.1").entry(1, "append k1 k1.2\nappend k1 k1.3");
    builder.request(RequestKind::Write, "append k1 k1.1", 1, 10).answers[0].position = {.term = 1, .position = 1};
    builder.request(RequestKind::Begin, "", 11, 12).work = 50;
    for (const char *statement : {"append k1 k1.2", "append k1 k1.3"}) {
        HistoryRequest &part = builder.request(RequestKind::Write, statement, 13, 14);
        part.work = 50;
        part.request.transaction = "t";
    }
    HistoryRequest &commit = builder.request(RequestKind::Commit, "", 15, 16);
    commit.work = 50;
    commit.request.transaction = "t";
    builder.request(RequestKind::Read, "get k1", 20, 25, ResultCode::Ok, "k1.1 k1.2 k1.3");
    builder.request(RequestKind::Write, "append k1 k1.9", 30, 31, ResultCode::QueueFull);
    EXPECT_EQ(countAll(builder.history), 0U);
}

// P1: a session reads and does not see its own earlier write.
TEST(HistoryChecker, ReportsAMissingOwnWrite)
{
    HistoryBuilder builder;
    builder.entry(1, "append k1 k1.1").entry(1, "append k1 k1.2");
    builder.request(RequestKind::Write, "append k1 k1.1", 1, 10);
    builder.request(RequestKind::Write, "append k1 k1.2", 11, 20);
    builder.request(RequestKind::Read, "get k1", 21, 25, ResultCode::Ok, "k1.1").acceptedAge = std::chrono::seconds(30);
    EXPECT_EQ(countOf(builder.history, Guarantee::OwnWritesRead), 1U);
}

// P1: the same for a write inside a committed transaction of the session.
TEST(HistoryChecker, ReportsAMissingOwnTransaction)
{
    HistoryBuilder builder;
    builder.entry(1, "append k1 k1.1");
    for (const RequestKind kind : {RequestKind::Begin, RequestKind::Write, RequestKind::Commit}) {
        HistoryRequest &part = builder.request(kind, kind == RequestKind::Write ? "append k1 k1.1" : "", 1, 2);
        part.work = 50;
        part.request.transaction = kind == RequestKind::Begin ? "" : "t";
    }
    builder.request(RequestKind::Read, "get k1", 21, 25, ResultCode::Ok, "").acceptedAge = std::chrono::seconds(30);
    EXPECT_EQ(countOf(builder.history, Guarantee::OwnWritesRead), 1U);
}

// P2: an acknowledged write was discarded by a promotion.
TEST(HistoryChecker, ReportsALostAcknowledgedWrite)
{
    HistoryBuilder builder;
    builder.request(RequestKind::Write, "append k1 k1.1", 1, 10);
    HistoryChecker checker(builder.history);
    EXPECT_EQ(checker.check().size(), 1U);
    EXPECT_EQ(checker.writeStatistics().lost, 1U);
    EXPECT_EQ(countOf(builder.history, Guarantee::AcknowledgedWritesSurvive), 1U);
}

// P2: an entry that is only in the log of a replaced primary does not count as surviving.
TEST(HistoryChecker, TakesTheLogOfTheNewestTermAsSurviving)
{
    HistoryBuilder builder;
    builder.entry(1, "append k1 k1.1").entry(1, "append k1 k1.2");
    HistoryBackend &replacement = builder.server("s2");
    ReplicationAppend::Entry entry;
    entry.term = 2;
    entry.statements = "append k2 k2.1";
    replacement.log.push_back(entry);
    builder.request(RequestKind::Write, "append k2 k2.1", 1, 10);
    builder.request(RequestKind::Write, "append k1 k1.1", 1, 10);
    builder.request(RequestKind::Write, "append k1 k1.2", 1, 10, ResultCode::OutcomeUnknown);
    EXPECT_EQ(countOf(builder.history, Guarantee::AcknowledgedWritesSurvive), 1U);
}

// P2: an acknowledgement under an older term has another position than the surviving entry.
TEST(HistoryChecker, ReportsAnAcknowledgementUnderAReplacedTerm)
{
    HistoryBuilder builder;
    builder.entry(2, "append k1 k1.1");
    builder.request(RequestKind::Write, "append k1 k1.1", 1, 10).answers[0].position = {.term = 1, .position = 1};
    EXPECT_EQ(countOf(builder.history, Guarantee::AcknowledgedWritesSurvive), 1U);
}

// P3: statements of two transactions in one entry.
TEST(HistoryChecker, ReportsMixedTransactions)
{
    HistoryBuilder builder;
    builder.entry(1, "append k1 k1.1\nappend k2 k2.1");
    builder.request(RequestKind::Write, "append k1 k1.1", 1, 10);
    builder.request(RequestKind::Write, "append k2 k2.1", 1, 10);
    EXPECT_EQ(countOf(builder.history, Guarantee::TransactionsNotMixed), 1U);
}

// P3: an entry of a transaction lacks one of its acknowledged statements.
TEST(HistoryChecker, ReportsAnIncompleteTransaction)
{
    HistoryBuilder builder;
    builder.entry(1, "append k1 k1.1");
    for (const char *statement : {"append k1 k1.1", "append k1 k1.2"}) {
        HistoryRequest &part = builder.request(RequestKind::Write, statement, 1, 2);
        part.work = 50;
        part.request.transaction = "t";
    }
    HistoryRequest &commit = builder.request(RequestKind::Commit, "", 3, 4, ResultCode::OutcomeUnknown);
    commit.work = 50;
    commit.request.transaction = "t";
    EXPECT_EQ(countOf(builder.history, Guarantee::TransactionsNotMixed), 1U);
}

// P3: a server counted statements on a connection with another open transaction.
TEST(HistoryChecker, ReportsTransactionMismatchesCountedByAServer)
{
    HistoryBuilder builder;
    builder.history.backends[0].transactionMismatches = 1;
    EXPECT_EQ(countOf(builder.history, Guarantee::TransactionsNotMixed), 1U);
}

// P4: the answer has the id of another request.
TEST(HistoryChecker, ReportsAnAnswerToAnotherRequest)
{
    HistoryBuilder builder;
    builder.request(RequestKind::Read, "get k1", 1, 10).answers[0].id = "r9";
    EXPECT_EQ(countOf(builder.history, Guarantee::OwnAnswerOnce), 1U);
}

// P4: the answer has the right request id and the result of another statement.
TEST(HistoryChecker, ReportsAValueOfAnotherList)
{
    HistoryBuilder builder;
    builder.request(RequestKind::Read, "get k1", 1, 10, ResultCode::Ok, "k2.1");
    EXPECT_EQ(countOf(builder.history, Guarantee::OwnAnswerOnce), 1U);
}

// P4: two answers, or none from a proxy that was up.
TEST(HistoryChecker, ReportsDoubleAndMissingAnswers)
{
    HistoryBuilder builder;
    HistoryRequest &twice = builder.request(RequestKind::Read, "get k1", 1, 10);
    twice.answers.push_back(twice.answers.front());
    HistoryRequest &missing = builder.request(RequestKind::Read, "get k1", 1, 5000);
    missing.answers.clear();
    missing.outcome = CallerOutcome::TimedOut;
    EXPECT_EQ(countOf(builder.history, Guarantee::OwnAnswerOnce), 2U);

    // A missing answer is allowed if the proxy was paused during the request.
    builder.history.outages.push_back(
        {.proxy = 0, .from = std::chrono::milliseconds(100), .to = std::chrono::seconds(1)});
    EXPECT_EQ(countOf(builder.history, Guarantee::OwnAnswerOnce), 1U);
}

// P5: a write runs although its caller was told that it did not.
TEST(HistoryChecker, ReportsARefusedWriteThatRan)
{
    HistoryBuilder builder;
    builder.entry(1, "append k1 k1.1");
    builder.request(RequestKind::Write, "append k1 k1.1", 1, 10, ResultCode::WriteNotTaken);
    EXPECT_EQ(countOf(builder.history, Guarantee::NotRunDidNotRun), 1U);

    // If a retry has an unknown outcome, either attempt may have run.
    builder.request(RequestKind::Write, "append k1 k1.1", 11, 20, ResultCode::OutcomeUnknown).work = 1;
    EXPECT_EQ(countOf(builder.history, Guarantee::NotRunDidNotRun), 0U);
}

// P5: a transaction without a Commit left an entry in the log.
TEST(HistoryChecker, ReportsATransactionThatRanWithoutCommit)
{
    HistoryBuilder builder;
    builder.entry(1, "append k1 k1.1");
    HistoryRequest &part = builder.request(RequestKind::Write, "append k1 k1.1", 1, 2);
    part.request.transaction = "t";
    EXPECT_EQ(countOf(builder.history, Guarantee::NotRunDidNotRun), 1U);
}

// P6: a write that ran twice.
TEST(HistoryChecker, ReportsAWriteThatRanTwice)
{
    HistoryBuilder builder;
    builder.entry(1, "append k1 k1.1").entry(1, "append k1 k1.1");
    builder.request(RequestKind::Write, "append k1 k1.1", 1, 10).notRepeatable = true;
    EXPECT_EQ(countOf(builder.history, Guarantee::NoRepeat), 1U);
}

// P7: a leaving server got new work after the limit. Work before the limit is allowed.
TEST(HistoryChecker, ReportsWorkAtALeavingServer)
{
    HistoryBuilder builder;
    builder.history.ruleChanges.push_back({.version = 2, .acceptedAt = std::chrono::seconds(10), .leaving = {"s1"}});
    builder.history.backends[0].workStarts = {std::chrono::seconds(9), std::chrono::seconds(14)};
    EXPECT_EQ(countOf(builder.history, Guarantee::LeavingGetsNoWork), 0U);
    builder.history.backends[0].workStarts.push_back(std::chrono::seconds(16));
    EXPECT_EQ(countOf(builder.history, Guarantee::LeavingGetsNoWork), 1U);
}

// P8: a planned stop closes the connection of a waiting caller, makes the outcome of a request unknown, or never ends.
TEST(HistoryChecker, ReportsAPlannedStopThatIsNotGraceful)
{
    HistoryBuilder builder;
    builder.history.stops.push_back(
        {.proxy = 0, .requestedAt = std::chrono::milliseconds(5), .stoppedAt = std::chrono::milliseconds(50)});
    builder.history.outages.push_back(
        {.proxy = 0, .from = std::chrono::milliseconds(50), .to = std::chrono::seconds(9)});
    EXPECT_EQ(countAll(builder.history), 0U);
    HistoryRequest &cut = builder.request(RequestKind::Read, "get k1", 1, 51);
    cut.answers.clear();
    cut.outcome = CallerOutcome::ConnectionLost;
    EXPECT_EQ(countOf(builder.history, Guarantee::PlannedStopIsGraceful), 1U);
    builder.request(RequestKind::Write, "append k1 k1.1", 1, 30, ResultCode::OutcomeUnknown).proxy = 1;
    EXPECT_EQ(countOf(builder.history, Guarantee::PlannedStopIsGraceful), 2U);
    builder.history.stops.push_back({.proxy = 2, .requestedAt = std::chrono::seconds(20)});
    EXPECT_EQ(countOf(builder.history, Guarantee::PlannedStopIsGraceful), 3U);

    // A request that is never answered is reported as well, unless the proxy was paused before the stop ended.
    HistoryRequest &missing = builder.request(RequestKind::Read, "get k1", 1, 5001);
    missing.answers.clear();
    missing.outcome = CallerOutcome::TimedOut;
    EXPECT_EQ(countOf(builder.history, Guarantee::PlannedStopIsGraceful), 4U);
    builder.history.outages.push_back(
        {.proxy = 0, .from = std::chrono::milliseconds(2), .to = std::chrono::milliseconds(40)});
    EXPECT_EQ(countOf(builder.history, Guarantee::PlannedStopIsGraceful), 3U);
}

// P9: a proxy goes back to an older rules version, or uses an accepted version too late.
TEST(HistoryChecker, ReportsOutdatedRules)
{
    HistoryBuilder builder;
    builder.history.ruleChanges.push_back({.version = 2, .acceptedAt = std::chrono::seconds(10), .leaving = {}});
    const auto use = [&](std::uint64_t version, int second) {
        builder.history.ruleUses.push_back({.proxy = 0,
                                            .incarnation = 1,
                                            .version = version,
                                            .requestAt = std::chrono::seconds(second),
                                            .seenAt = std::chrono::seconds(second) + std::chrono::milliseconds(5)});
    };
    use(1, 12);
    use(2, 13);
    EXPECT_EQ(countOf(builder.history, Guarantee::RulesInForce), 0U);
    use(1, 14);
    EXPECT_EQ(countOf(builder.history, Guarantee::RulesInForce), 1U);
    builder.history.ruleUses.clear();
    use(1, 19);
    EXPECT_EQ(countOf(builder.history, Guarantee::RulesInForce), 1U);

    // A proxy that was disconnected from the platform may be late.
    builder.history.disconnections.push_back(
        {.proxy = 0, .from = std::chrono::seconds(11), .to = std::chrono::seconds(15)});
    EXPECT_EQ(countOf(builder.history, Guarantee::RulesInForce), 0U);
}

// A server exceeded its limits of statements and connections.
TEST(HistoryChecker, ReportsExceededLimits)
{
    HistoryBuilder builder;
    builder.history.backends[0].peakSlots = 4;
    builder.history.backends[0].peakConnections = 21;
    EXPECT_EQ(countOf(builder.history, Guarantee::LimitsKept), 2U);
}

// A read returned data older than its rule accepts, for example from a replaced primary.
TEST(HistoryChecker, ReportsReadsOlderThanAccepted)
{
    HistoryBuilder builder;
    builder.entry(1, "append k1 k1.1");
    builder.request(RequestKind::Write, "append k1 k1.1", 1, 10);
    HistoryRequest &read = builder.request(RequestKind::Read, "get k1", 1500, 1510, ResultCode::Ok, "");
    read.session = 7;
    EXPECT_EQ(countOf(builder.history, Guarantee::AcceptedAgeKept), 1U);
    builder.history.requests[1].acceptedAge = std::chrono::seconds(2);
    EXPECT_EQ(countOf(builder.history, Guarantee::AcceptedAgeKept), 0U);
}

} // namespace

} // namespace Jujubekeel
