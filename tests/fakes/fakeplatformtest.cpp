#include "fakes/fakeplatform.h"

#include <gtest/gtest.h>

#include <optional>

namespace Jujubekeel {

namespace {

using namespace std::chrono_literals;

PlatformCall put(const std::string &key, std::uint64_t expected, const std::string &value)
{
    return {.operation = PlatformOperation::Put, .key = key, .expectedVersion = expected, .value = value};
}

/// One client of a fake platform, on a simulated clock.
class FakePlatformTest : public testing::Test
{
protected:
    void run(Duration duration)
    {
        const TimePoint end = this->now + duration;
        while (this->platform.nextEvent() <= end) {
            this->now = std::max(this->now, this->platform.nextEvent());
            this->platform.advance(this->now);
        }
        this->now = end;
        this->platform.advance(end);
        for (FakePlatformOutput &output : this->platform.takeOutputs())
            this->answers.push_back(std::move(output.answer));
    }

    /// Makes a call and returns the first answer within \a wait; std::nullopt if there is none.
    std::optional<PlatformAnswer> call(const PlatformCall &call, Duration wait = 10ms)
    {
        this->platform.call(this->now, 1, call);
        this->answers.clear();
        this->run(wait);
        return this->answers.empty() ? std::nullopt : std::optional(this->answers.front());
    }

    TimePoint now{0};
    FakePlatform platform{FakePlatformOptions{}};
    std::vector<PlatformAnswer> answers;
};

// Guards against concurrent writers that overwrite each other's value.
TEST_F(FakePlatformTest, PutNeedsTheCurrentVersion)
{
    EXPECT_EQ(this->call({.operation = PlatformOperation::Get, .key = "k"})->code, PlatformStatusCode::NotFound);
    EXPECT_EQ(this->call(put("k", 0, "one"))->version, 1U);
    const auto conflict = this->call(put("k", 0, "two"));
    EXPECT_EQ(conflict->code, PlatformStatusCode::Conflict);
    EXPECT_EQ(conflict->version, 1U);
    EXPECT_EQ(conflict->value, "one");
    EXPECT_EQ(this->call(put("k", 1, "two"))->version, 2U);
    EXPECT_EQ(this->call({.operation = PlatformOperation::Get, .key = "k"})->value, "two");
    EXPECT_EQ(this->platform.writes(), 3U);
    EXPECT_EQ(this->platform.reads(), 2U);
}

// Guards against watches that miss a change or are not answered at the end of their wait.
TEST_F(FakePlatformTest, WatchAnswersAtAChangeOrAfterItsWait)
{
    const PlatformCall watch{.operation = PlatformOperation::Watch, .key = "k", .wait = 1s};
    EXPECT_FALSE(this->call(watch, 500ms).has_value());
    EXPECT_EQ(this->platform.waitingWatches(), 1U);
    this->call(put("k", 0, "one"));
    ASSERT_EQ(this->answers.size(), 2U);
    EXPECT_EQ(this->answers[0].value, "one");
    EXPECT_EQ(this->platform.waitingWatches(), 0U);

    EXPECT_EQ(this->call(watch)->version, 1U);
    PlatformCall current = watch;
    current.expectedVersion = 1;
    EXPECT_FALSE(this->call(current, 900ms).has_value());
    this->run(200ms);
    ASSERT_EQ(this->answers.size(), 1U);
    EXPECT_EQ(this->answers[0].code, PlatformStatusCode::Unchanged);
}

// Guards against a fake whose instance list is always current: callers must cope with a list that lags.
TEST_F(FakePlatformTest, InstanceListLags)
{
    const PlatformCall list{.operation = PlatformOperation::ListInstances};
    this->platform.setInstance(-5s, "p1", false);
    this->platform.setInstance(this->now, "p2", true);
    EXPECT_EQ(this->call(list)->instances.size(), 1U);
    this->run(5s);
    const auto both = this->call(list);
    ASSERT_EQ(both->instances.size(), 2U);
    EXPECT_TRUE(both->instances[1].leaving);
    this->platform.removeInstance(this->now, "p1");
    this->run(4900ms);
    EXPECT_EQ(this->call(list)->instances.size(), 2U);
    this->run(200ms);
    EXPECT_EQ(this->call(list)->instances.size(), 1U);
}

// Guards against a lost answer that also undoes the write: callers must not treat a lost answer as a failed write.
TEST_F(FakePlatformTest, WriteTakesEffectAlthoughItsAnswerIsLost)
{
    this->platform.loseAnswers(1);
    EXPECT_FALSE(this->call(put("k", 0, "one")).has_value());
    EXPECT_EQ(this->platform.version("k"), 1U);
    EXPECT_EQ(this->call(put("k", 1, "two"))->version, 2U);
}

// Guards against calls that still take effect during an outage.
TEST_F(FakePlatformTest, CallsHaveNoEffectDuringAnOutage)
{
    this->platform.call(this->now, 1, put("k", 0, "under way"));
    this->platform.setDown(true);
    EXPECT_FALSE(this->call(put("k", 0, "one"), 1s).has_value());
    this->platform.setDown(false);
    this->run(1s);
    EXPECT_EQ(this->platform.version("k"), 0U);
    EXPECT_TRUE(this->call(put("k", 0, "one")).has_value());
}

// Guards against a configured latency that does not delay the answers.
TEST_F(FakePlatformTest, LatencyDelaysAnswers)
{
    this->platform.setLatency(2s);
    EXPECT_FALSE(this->call(put("k", 0, "one"), 1900ms).has_value());
    this->run(200ms);
    EXPECT_EQ(this->answers.size(), 1U);
}

} // namespace

} // namespace Jujubekeel
