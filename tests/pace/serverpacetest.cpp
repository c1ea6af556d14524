#include "pace/serverpace.h"
#include "virtualfleet/seededrandom.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Condition of the server at one time.
struct Condition
{
    std::int64_t workMs = 8;         ///< time of a statement in a slot
    std::uint32_t failedPercent = 0; ///< statements that fail after 1 ms
    bool hangs = false;              ///< statements get no answer until the member's time-out
};

/// One backend server and members that always have work for it, in steps of 1 ms.
struct PacedServer
{
    struct Settings
    {
        std::uint32_t members = 1;
        std::uint32_t slots = 4;
        std::uint32_t queueLimit = 24;
        std::function<Condition(std::int64_t ms)> condition = [](std::int64_t) { return Condition{}; };
    };
    struct Totals
    {
        std::uint32_t sent = 0;
        std::uint32_t succeeded = 0;
        std::uint32_t rejected = 0;
        std::uint32_t failed = 0;
    };
    struct Running
    {
        std::size_t member = 0;
        TimePoint startedAt{0};
        TimePoint endsAt{0};
        PaceOutcome outcome = PaceOutcome::Succeeded;
    };

    explicit PacedServer(Settings runSettings) : settings(std::move(runSettings))
    {
        for (std::uint32_t member = 0; member < this->settings.members; ++member)
            this->paces.emplace_back(ServerPaceOptions{.seed = member + 1});
    }

    /// Plays for \a duration and returns what happened in it.
    Totals run(Duration duration)
    {
        this->totals = {};
        const TimePoint end = this->now + duration;
        for (; this->now < end; this->now += milliseconds(1))
            this->step();
        return this->totals;
    }
    void step()
    {
        const Condition condition = this->settings.condition(this->now.count() / 1000);
        std::erase_if(this->others, [&](const Running &entry) { return this->endIfDue(entry); });
        std::erase_if(this->slots, [&](const Running &entry) { return this->endIfDue(entry); });
        while (this->slots.size() < this->settings.slots && !this->queue.empty()) {
            this->slots.push_back(this->queue.front());
            this->slots.back().endsAt = this->now + this->work(condition);
            this->queue.pop_front();
        }
        // Members take turns, so that none is always first.
        for (std::size_t turn = 0; turn < this->paces.size(); ++turn) {
            const std::size_t member = (turn + static_cast<std::size_t>(this->now.count() / 1000)) % this->paces.size();
            while (this->paces[member].allows(this->now))
                this->send(member, condition);
        }
    }
    void send(std::size_t member, const Condition &condition)
    {
        this->paces[member].started(this->now);
        this->totals.sent += 1;
        Running entry{.member = member, .startedAt = this->now, .endsAt = this->now + milliseconds(1)};
        if (condition.hangs) {
            entry.outcome = PaceOutcome::Failed;
            entry.endsAt = this->now + milliseconds(400);
            this->others.push_back(entry);
        } else if (this->random.chance(condition.failedPercent)) {
            entry.outcome = PaceOutcome::Failed;
            this->others.push_back(entry);
        } else if (this->slots.size() < this->settings.slots) {
            entry.endsAt = this->now + this->work(condition);
            this->slots.push_back(entry);
        } else if (this->queue.size() < this->settings.queueLimit) {
            this->queue.push_back(entry);
        } else {
            entry.outcome = PaceOutcome::Rejected;
            this->others.push_back(entry);
        }
    }
    bool endIfDue(const Running &entry)
    {
        if (this->now < entry.endsAt)
            return false;
        this->totals.succeeded += entry.outcome == PaceOutcome::Succeeded ? 1 : 0;
        this->totals.rejected += entry.outcome == PaceOutcome::Rejected ? 1 : 0;
        this->totals.failed += entry.outcome == PaceOutcome::Failed ? 1 : 0;
        this->paces[entry.member].finished(entry.outcome, this->now - entry.startedAt, this->now);
        return true;
    }
    /// Between half and one and a half of the mean.
    Duration work(const Condition &condition)
    {
        return Duration(condition.workMs * (500 + static_cast<std::int64_t>(this->random.below(1001))));
    }

    Settings settings;
    TimePoint now = seconds(1);
    std::vector<ServerPace> paces;
    std::vector<Running> slots;
    std::vector<Running> others; ///< that use no slot
    std::deque<Running> queue;
    SeededRandom random{1};
    Totals totals;
};

/// 8 ms of work over 4 slots.
constexpr std::uint32_t capacityPerSecond = 500;

Condition during(std::int64_t ms, std::int64_t from, std::int64_t to, Condition within)
{
    return ms >= from && ms < to ? within : Condition{};
}

// Guards against a member that starts with a small window and stays below what the server can do.
TEST(ServerPace, FillsTheSlotsOfANewServerWithinOneSecond)
{
    for (const std::uint32_t members : {1U, 3U, 16U}) {
        PacedServer run({.members = members});
        run.run(seconds(1));
        const auto after = run.run(seconds(1));
        EXPECT_GE(after.succeeded, capacityPerSecond * 9 / 10) << members << " members";
        EXPECT_LT(after.rejected * 20, after.sent) << members << " members";
    }
}

// Guards against a flood of rejections when the server has no queue, or a short one, and members do not know of each
// other; a member's window cannot fall below 1.
TEST(ServerPace, KeepsBelowTheLimitOfAServerThatRejects)
{
    struct Case
    {
        std::uint32_t members;
        std::uint32_t queueLimit;
    };
    for (const Case entry : {Case{1, 0}, Case{1, 4}, Case{4, 4}, Case{16, 4}, Case{16, 12}}) {
        PacedServer run({.members = entry.members, .queueLimit = entry.queueLimit});
        run.run(seconds(2));
        const auto after = run.run(seconds(10));
        EXPECT_LT(after.rejected * 20, after.sent) << entry.members << " members, queue " << entry.queueLimit;
        EXPECT_GE(after.succeeded, capacityPerSecond * 10 * 9 / 10)
            << entry.members << " members, queue " << entry.queueLimit;
    }
}

// Guards against a slow server being kept full of statements, and against it being left idle when it is fast again.
TEST(ServerPace, ShrinksWhileTheServerIsSlowAndFillsItAfterwards)
{
    PacedServer run({.condition = [](std::int64_t ms) { return during(ms, 6000, 9000, {.workMs = 64}); }});
    run.run(seconds(5));
    run.run(seconds(2));
    run.run(seconds(1));
    EXPECT_LE(run.paces[0].window(), 4U);
    run.run(seconds(2)); // fast again since 1 s
    const auto after = run.run(seconds(1));
    EXPECT_GE(after.succeeded, capacityPerSecond * 9 / 10);
}

// Guards against a cold server being held at the window that fitted its first answers.
TEST(ServerPace, FollowsAColdServerThatGetsFaster)
{
    PacedServer run({.members = 4, .condition = [](std::int64_t ms) {
                         return Condition{.workMs = ms < 6000 ? 80 - 72 * (ms - 1000) / 5000 : 8};
                     }});
    const auto cold = run.run(seconds(5));
    EXPECT_LT(cold.rejected * 20, cold.sent);
    run.run(seconds(2));
    const auto after = run.run(seconds(1));
    EXPECT_GE(after.succeeded, capacityPerSecond * 9 / 10);
}

// Guards against a server that fails everything still getting work while its probe succeeds.
TEST(ServerPace, StopsAServerThatFailsEverything)
{
    for (const bool hangs : {false, true}) {
        const Condition broken{.failedPercent = 100, .hangs = hangs};
        PacedServer run({.condition = [&](std::int64_t ms) { return during(ms, 3000, 13000, broken); }});
        run.run(seconds(2));
        const auto first = run.run(seconds(1));
        EXPECT_LE(first.sent, 20U) << "hangs " << hangs;
        const auto failing = run.run(seconds(9));
        EXPECT_LT(failing.sent * 100, capacityPerSecond * 9) << "hangs " << hangs;
        EXPECT_TRUE(run.paces[0].isSuspended());

        run.run(seconds(2)); // it serves again
        const auto after = run.run(seconds(1));
        EXPECT_GE(after.succeeded, capacityPerSecond * 9 / 10) << "hangs " << hangs;
    }
}

// Guards against the trials of many members adding up to a load. Each member tries about once in 1.2 s, so that 16 get
// about 13 failures per second, above 1 % of this share; longer intervals would miss the return within 2 s.
TEST(ServerPace, TrialsOfManyMembersStayFew)
{
    PacedServer run(
        {.members = 16, .condition = [](std::int64_t ms) { return during(ms, 3000, 60000, {.failedPercent = 100}); }});
    run.run(seconds(2));
    EXPECT_LE(run.run(seconds(1)).sent, 200U);
    EXPECT_LE(run.run(seconds(10)).sent, 180U);
}

// Guards against the members flooding a server that has just returned.
TEST(ServerPace, ReturnOfAServerCausesFewRejectionsAndErrors)
{
    for (const std::uint32_t members : {1U, 16U}) {
        PacedServer run({.members = members, .queueLimit = 12, .condition = [](std::int64_t ms) {
                             return during(ms, 3000, 8000, {.failedPercent = 100});
                         }});
        run.run(seconds(7));
        const auto back = run.run(seconds(2));
        EXPECT_LT((back.rejected + back.failed) * 20, back.sent) << members << " members";
        const auto after = run.run(seconds(1));
        EXPECT_GE(after.succeeded, capacityPerSecond * 9 / 10) << members << " members";
    }
}

// Guards against a flapping server getting a flood each time it returns, and against never using it.
TEST(ServerPace, FlappingServerIsUsedWhileItIsUp)
{
    PacedServer run({.members = 4, .condition = [](std::int64_t ms) {
                         return Condition{.failedPercent = (ms / 1400) % 2 == 0 ? 0U : 100U};
                     }});
    const auto all = run.run(seconds(28));
    EXPECT_LT(all.failed * 20, all.sent);
    EXPECT_GE(all.succeeded, capacityPerSecond * 14 / 3);
}

// Guards against a partly failing server being stopped for good, or getting as much as a sound one.
TEST(ServerPace, PartlyFailingServerGetsLessButIsNotStopped)
{
    PacedServer run({.condition = [](std::int64_t ms) { return during(ms, 3000, 60000, {.failedPercent = 40}); }});
    run.run(seconds(2));
    for (int period = 0; period < 10; ++period) {
        const auto some = run.run(seconds(5));
        EXPECT_GT(some.succeeded, 5U);
        EXPECT_LT(some.succeeded, capacityPerSecond * 5 / 2);
    }
}

TEST(ServerPace, SingleBadAnswerDoesNotStopTheServer)
{
    for (const PaceOutcome bad : {PaceOutcome::Failed, PaceOutcome::Rejected}) {
        ServerPace pace;
        TimePoint now = seconds(1);
        for (int round = 0; round < 20; ++round, now += milliseconds(10)) {
            pace.started(now);
            pace.finished(round == 10 ? bad : PaceOutcome::Succeeded, milliseconds(8), now + milliseconds(8));
            EXPECT_FALSE(pace.isSuspended());
        }
        EXPECT_TRUE(pace.allows(now));
    }
}

// Guards against statements that were under way before the suspension ending it.
TEST(ServerPace, OnlyStatementsOfTheSuspensionEndIt)
{
    ServerPace pace;
    TimePoint now = seconds(1);
    pace.started(now);
    for (int round = 0; round < 3; ++round) {
        now += milliseconds(10);
        pace.started(now);
        pace.finished(PaceOutcome::Failed, milliseconds(1), now + milliseconds(1));
    }
    ASSERT_TRUE(pace.isSuspended());
    now += milliseconds(10);
    pace.finished(PaceOutcome::Succeeded, now - seconds(1), now);
    EXPECT_TRUE(pace.isSuspended());
    EXPECT_FALSE(pace.allows(now));
    EXPECT_TRUE(pace.allowsLastResort(now));

    now = pace.allowedAt(now, false);
    ASSERT_TRUE(pace.allows(now));
    pace.started(now);
    EXPECT_FALSE(pace.allows(now)) << "one trial at a time";
    pace.finished(PaceOutcome::Succeeded, milliseconds(8), now + milliseconds(8));
    EXPECT_FALSE(pace.isSuspended());
}

// Guards against the verdict on an earlier process being applied to the one that replaced it.
TEST(ServerPace, RestartedServerStartsAnew)
{
    ServerPace pace;
    const TimePoint now = seconds(1);
    for (int round = 0; round < 4; ++round)
        pace.started(now);
    for (int round = 0; round < 3; ++round)
        pace.finished(PaceOutcome::Failed, milliseconds(5), now + milliseconds(5));
    ASSERT_TRUE(pace.isSuspended());
    pace.reset(now + milliseconds(10));
    EXPECT_FALSE(pace.isSuspended());
    EXPECT_EQ(pace.inFlight(), 1U);
    pace.finished(PaceOutcome::Failed, milliseconds(15), now + milliseconds(15));
    EXPECT_EQ(pace.failureRun(), 0U);
    EXPECT_TRUE(pace.allows(now + milliseconds(15)));
}

/// Window after 5 s of statements of 4.5 ms and 1 s of statements of 22 ms, which \a kind names. Eight run at a time, or
/// as many as the window allows.
std::uint32_t windowAfterLongStatements(Duration kind)
{
    ServerPace pace;
    TimePoint now = seconds(1);
    const auto serve = [&](Duration of, Duration took, Duration time) {
        for (const TimePoint end = now + time; now < end;) {
            std::uint32_t running = 0;
            for (; running < 8 && pace.allows(now); ++running)
                pace.started(now);
            for (now += took; running > 0; --running)
                pace.finished(PaceOutcome::Succeeded, took, now, of);
        }
    };
    serve(milliseconds(250), Duration(4500), seconds(5));
    serve(kind, milliseconds(22), seconds(1));
    return pace.window();
}

// Load: a server that has run short statements gets long ones, as when one kind of request or an organisation sends a
// multiple of its usual load. Guards against the change being taken for an overloaded server.
TEST(ServerPace, LongerStatementsAreNoSignOfLoad)
{
    EXPECT_GE(windowAfterLongStatements(milliseconds(1200)), 8U);
    EXPECT_LT(windowAfterLongStatements(milliseconds(250)), 4U) << "of the same kind they are one";
}

// Load: connections of many organisations, of which each handshake takes a slot for longer than a statement. Guards
// against handshakes being sent beside a full window.
TEST(ServerPace, HandshakesTakeTheirPlaceInTheWindow)
{
    ServerPace pace;
    const TimePoint now = seconds(1);
    EXPECT_TRUE(pace.allows(now));
    EXPECT_FALSE(pace.allows(now, 1));
    EXPECT_FALSE(pace.allowsLastResort(now, 1));
    for (int failure = 0; failure < 3; ++failure) {
        pace.started(now);
        pace.finished(PaceOutcome::Failed, Duration{0}, now);
    }
    ASSERT_TRUE(pace.isSuspended());
    EXPECT_TRUE(pace.allows(now + seconds(1), 1)) << "a trial does not wait for a greeting without an answer";
}

} // namespace

} // namespace Jujubekeel
