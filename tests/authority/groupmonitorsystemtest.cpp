#include "authority/groupmonitorsystem.h"
#include "core/world.h"

#include <gtest/gtest.h>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;

/// World of instance 0 with three servers of one database. The clock is at 100 s.
class GroupMonitor : public testing::Test
{
protected:
    GroupMonitor()
    {
        for (const char *name : {"i0", "i1", "i2"})
            this->world.layout.instances.push_back({.name = name});
        this->world.layout.databases.push_back({.name = "db", .backends = {this->first, this->second, this->third}});
        for (const char *name : {"b0", "b1", "b2"})
            this->world.layout.backends.push_back({.name = name, .database = this->database});
        this->world.instances.resize(3);
        for (InstanceRow &row : this->world.instances)
            row.live = true;
        this->world.databases.resize(1);
        this->world.databases.front().backends = this->world.layout.databases.front().backends;
        this->world.backends.resize(3);
        for (BackendRow &row : this->world.backends)
            row.database = this->database;
        this->world.self = InstanceId{.index = 0, .generation = 0};
        this->world.now = std::chrono::seconds(100);
    }

    static TermHistory historyTo(std::uint64_t term)
    {
        TermHistory history;
        for (std::uint64_t next = 1; next <= term; ++next)
            history.append({.term = next, .start = (next - 1) * 10});
        return history;
    }
    static ServerStatus primaryStatus(std::uint64_t term, std::uint64_t position)
    {
        return {.role = BackendRole::Primary,
                .received = {.term = term, .position = position},
                .applied = {.term = term, .position = position},
                .history = historyTo(term)};
    }
    BackendReport report(BackendId backend, bool primary, std::uint64_t term, std::uint64_t position,
                         Duration age) const
    {
        return {.backend = backend,
                .primary = primary,
                .applied = {.term = term, .position = position},
                .received = {.term = term, .position = position},
                .history = historyTo(term),
                .confirmedAge = age};
    }
    [[nodiscard]] const BackendRow &row(BackendId id) const { return this->world.at(id); }
    [[nodiscard]] BackendId primary() const { return this->world.at(this->database).primary; }

    DatabaseId database{.index = 0, .generation = 0};
    BackendId first{.index = 0, .generation = 0};
    BackendId second{.index = 1, .generation = 0};
    BackendId third{.index = 2, .generation = 0};
    InstanceId peer{.index = 1, .generation = 0};
    InstanceId otherPeer{.index = 2, .generation = 0};
    World world;
    GroupMonitorSystem monitor;
};

// Guards against a return to a replaced primary whose status or report arrives late.
TEST_F(GroupMonitor, PrimaryOfAnOlderTermNeverReplacesANewerOne)
{
    this->monitor.observeStatus(this->world, this->first, primaryStatus(1, 8), this->world.now);
    EXPECT_EQ(this->primary(), this->first);
    this->monitor.observeReport(this->world, this->peer, this->report(this->second, true, 2, 12, milliseconds(5)),
                                this->world.now);
    EXPECT_EQ(this->primary(), this->second);
    this->monitor.observeStatus(this->world, this->first, primaryStatus(1, 30), this->world.now);
    this->monitor.observeReport(this->world, this->peer, this->report(this->first, true, 1, 31, milliseconds(5)),
                                this->world.now);
    this->monitor.observePromotion(this->world, {.database = this->database, .primary = this->first, .start = {1, 0}});
    EXPECT_EQ(this->primary(), this->second);
    EXPECT_EQ(this->world.at(this->database).history.lastTerm(), 2U);
    EXPECT_NE(this->row(this->first).role, BackendRole::Primary);
}

// Guards against a replaced primary that keeps the age of bounded reads low although newer writes exist elsewhere.
TEST_F(GroupMonitor, ReplacedPrimaryDoesNotRefreshTheEndOfTheLog)
{
    this->monitor.observeReport(this->world, this->peer, this->report(this->second, true, 2, 12, milliseconds(500)),
                                this->world.now - milliseconds(100));
    const TimePoint asOf = this->row(this->second).confirmedEndAsOf;
    EXPECT_EQ(asOf, this->world.now - milliseconds(600));
    this->monitor.observeReport(this->world, this->otherPeer, this->report(this->first, true, 1, 9, milliseconds(1)),
                                this->world.now);
    this->monitor.observeConfirmed(this->world, this->first, {.term = 1, .position = 9}, this->world.now);
    EXPECT_EQ(this->row(this->second).confirmedEndAsOf, asOf);
    EXPECT_EQ(this->row(this->first).confirmedEndAsOf, TimePoint{0});
}

// Guards against a delayed report that moves the confirmed end of the log back.
TEST_F(GroupMonitor, EndOfTheLogNeverMovesBack)
{
    this->monitor.observeReport(this->world, this->peer, this->report(this->first, true, 1, 9, milliseconds(10)),
                                this->world.now);
    const BackendRow before = this->row(this->first);
    this->monitor.observeReport(this->world, this->peer, this->report(this->first, true, 1, 5, milliseconds(10)),
                                this->world.now - milliseconds(300));
    EXPECT_EQ(this->row(this->first).confirmedEndAsOf, before.confirmedEndAsOf);
    EXPECT_EQ(this->row(this->first).confirmedEnd, before.confirmedEnd);
    EXPECT_EQ(this->row(this->first).received, before.received);
}

// Guards against comparing the clocks of different instances: without an echo (0) or an age a report must not count as
// recent.
TEST_F(GroupMonitor, ReportWithoutEchoOrAgeGivesNoBound)
{
    this->monitor.observeReport(this->world, this->peer, this->report(this->first, true, 1, 9, milliseconds(10)),
                                TimePoint{0});
    EXPECT_EQ(this->row(this->first).confirmedEndAsOf, TimePoint{0});
    this->monitor.observeReport(this->world, this->peer, this->report(this->first, true, 1, 9, Duration{-1}),
                                this->world.now);
    EXPECT_EQ(this->row(this->first).confirmedEndAsOf, TimePoint{0});
}

// Guards against refusing bounded reads after a promotion, and against resetting their age: what is known of the
// confirmed log stays valid and keeps its age.
TEST_F(GroupMonitor, PromotionKeepsTheAgeOfTheConfirmedEnd)
{
    this->monitor.observeReport(this->world, this->peer, this->report(this->first, true, 1, 9, milliseconds(10)),
                                this->world.now);
    const TimePoint asOf = this->row(this->first).confirmedEndAsOf;
    this->world.now += milliseconds(700);
    this->monitor.observePromotion(this->world, {.database = this->database, .primary = this->second, .start = {2, 9}});
    EXPECT_EQ(this->primary(), this->second);
    EXPECT_EQ(this->row(this->second).confirmedEndAsOf, asOf);
    EXPECT_EQ(this->world.at(this->database).lastPromotion, this->world.now);
    EXPECT_NE(this->row(this->first).role, BackendRole::Primary);
}

// Guards against keeping a replaced primary when an instance first learns of the new term from a replica.
TEST_F(GroupMonitor, NewTermWithoutItsPrimaryClearsTheOldOne)
{
    this->monitor.observeReport(this->world, this->peer, this->report(this->first, true, 1, 8, milliseconds(5)),
                                this->world.now);
    const TimePoint asOf = this->row(this->first).confirmedEndAsOf;
    this->monitor.observeReport(this->world, this->peer, this->report(this->third, false, 2, 12, Duration{-1}),
                                this->world.now);
    EXPECT_FALSE(this->primary().isValid());
    this->monitor.observePromotion(this->world,
                                   {.database = this->database, .primary = this->second, .start = {2, 10}});
    EXPECT_EQ(this->primary(), this->second);
    EXPECT_EQ(this->row(this->second).confirmedEndAsOf, asOf);
}

// Guards against a term history with gaps, with which a discarded write would count as one that survived.
TEST_F(GroupMonitor, FullHistoryReplacesOneBuiltFromNotices)
{
    this->monitor.observeStatus(this->world, this->first, primaryStatus(1, 8), this->world.now);
    this->monitor.observePromotion(this->world,
                                   {.database = this->database, .primary = this->second, .start = {3, 20}});
    EXPECT_EQ(this->world.at(this->database).history.starts().size(), 2U);
    this->monitor.observeStatus(this->world, this->second, primaryStatus(3, 25), this->world.now);
    EXPECT_EQ(this->world.at(this->database).history, historyTo(3));
}

// Guards against a status that the new primary sent before its promotion and that arrives after the promotion notice.
TEST_F(GroupMonitor, LateStatusOfANewPrimaryDoesNotResetItsRole)
{
    this->monitor.observeStatus(this->world, this->first, primaryStatus(1, 8), this->world.now);
    this->monitor.observePromotion(this->world, {.database = this->database, .primary = this->second, .start = {2, 8}});
    const ServerStatus late{.role = BackendRole::Replica, .history = historyTo(1), .primary = "b0"};
    this->monitor.observeStatus(this->world, this->second, late, this->world.now);
    EXPECT_EQ(this->row(this->second).role, BackendRole::Primary);
    EXPECT_EQ(this->primary(), this->second);
}

// Guards against sending requests to an instance that has released a server or restarted.
TEST_F(GroupMonitor, ServerMissingInAHeartbeatHasNoOwner)
{
    const std::vector reports{this->report(this->first, false, 1, 1, Duration{-1})};
    this->monitor.observeReport(this->world, this->peer, reports.front(), this->world.now);
    this->monitor.observeOwned(this->world, this->peer, reports);
    EXPECT_EQ(this->row(this->first).owner, this->peer);
    this->monitor.observeOwned(this->world, this->otherPeer, {});
    EXPECT_EQ(this->row(this->first).owner, this->peer);
    this->monitor.observeOwned(this->world, this->peer, {});
    EXPECT_FALSE(this->row(this->first).owner.isValid());
}

// Guards against a paused instance that resumes and reports a server that this instance has taken over.
TEST_F(GroupMonitor, ReportOfAServerOwnedHereChangesNoOwner)
{
    this->world.at(this->first).ownership.step = OwnershipStep::Owned;
    this->monitor.observeOwnership(this->world, this->first, true);
    this->monitor.observeReport(this->world, this->peer, this->report(this->first, false, 1, 1, Duration{-1}),
                                this->world.now);
    EXPECT_EQ(this->row(this->first).owner, this->world.self);
}

// Guards against reporting a primary as confirmed although its owner has learned of its replacement.
TEST_F(GroupMonitor, ReportOnAReplacedPrimaryConfirmsNothing)
{
    this->monitor.observeStatus(this->world, this->first, primaryStatus(1, 8), this->world.now);
    this->monitor.observeConfirmed(this->world, this->first, {.term = 1, .position = 8},
                                   this->world.now - milliseconds(3));
    const BackendReport before = GroupMonitorSystem::makeReport(this->world, this->first);
    EXPECT_TRUE(before.primary);
    EXPECT_EQ(before.confirmedAge, milliseconds(3));
    this->monitor.observePromotion(this->world, {.database = this->database, .primary = this->second, .start = {2, 8}});
    const BackendReport after = GroupMonitorSystem::makeReport(this->world, this->first);
    EXPECT_FALSE(after.primary);
    EXPECT_LT(after.confirmedAge, Duration{0});
}

// Guards against reporting the age of a confirmation together with a later position: the reported end of the log is the
// one that was confirmed.
TEST_F(GroupMonitor, ReportedEndBelongsToItsAge)
{
    this->monitor.observeStatus(this->world, this->first, primaryStatus(1, 8), this->world.now);
    this->monitor.observeConfirmed(this->world, this->first, {.term = 1, .position = 8}, this->world.now);
    this->world.now += milliseconds(50);
    this->monitor.observePosition(this->world, this->first, {.term = 1, .position = 15}, this->world.now);
    const BackendReport made = GroupMonitorSystem::makeReport(this->world, this->first);
    EXPECT_EQ(made.received, (LogPosition{.term = 1, .position = 8}));
    EXPECT_EQ(made.confirmedAge, milliseconds(50));
    EXPECT_EQ(made.applied, (LogPosition{.term = 1, .position = 15}));
}

} // namespace

} // namespace Jujubekeel
