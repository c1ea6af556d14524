#include "rules/rulesobjectupdate.h"

#include "fakes/fakeplatform.h"

#include <gtest/gtest.h>

#include <string>

namespace Jujubekeel {

namespace {

constexpr std::uint64_t client = 1;

RulesObject objectOf(const std::string &writer, const std::string &text)
{
    return RulesObject{
        .writer = writer, .sequence = 1, .author = "author of " + writer, .time = "2026-12-04T05:30:00Z", .text = text};
}

/// Runs updates against a fake platform, one call at a time.
class RulesObjectUpdateTest : public testing::Test
{
protected:
    PlatformAnswer callPlatform(const PlatformCall &call)
    {
        this->platform.call(TimePoint{0}, client, call);
        const auto outputs = this->platform.takeOutputs();
        if (outputs.empty())
            return PlatformAnswer{.call = call.call, .code = PlatformStatusCode::Unavailable};
        return outputs.front().answer;
    }

    /// Runs an update to its end; counts calls and adds up pauses.
    RulesObjectUpdateResult run(RulesObjectUpdate &update, RulesObjectUpdateCall next)
    {
        while (true) {
            this->calls += 1;
            EXPECT_LT(this->calls, 100U);
            const auto following = update.handle(this->callPlatform(next.call));
            if (!following)
                return update.result();
            this->pauses += following->pause;
            next = *following;
        }
    }

    RulesObjectUpdateResult apply(const RulesObject &object, std::optional<std::uint64_t> base = std::nullopt)
    {
        RulesObjectUpdate update({.user = "association", .object = object, .baseVersion = base});
        return this->run(update, update.start());
    }

    [[nodiscard]] std::uint64_t version() const { return this->platform.version("rules/association"); }
    [[nodiscard]] std::string storedText() const
    {
        FailureReason reason;
        return RulesObject::decode(this->platform.value("rules/association"), reason).value_or(RulesObject{}).text;
    }

    FakePlatform platform{FakePlatformOptions{.latency = Duration{0}}};
    std::uint32_t calls = 0;
    Duration pauses{0};
};

// Guards against updates that cannot create the first version, or whose result does not name the replaced version.
TEST_F(RulesObjectUpdateTest, WritesTheFirstAndTheNextVersion)
{
    RulesObjectUpdateResult result = this->apply(objectOf("w1", "a\n"));
    EXPECT_EQ(result.outcome, RulesObjectUpdateOutcome::Applied);
    EXPECT_EQ(result.version, 1U);
    EXPECT_EQ(result.replacedVersion, 0U);

    result = this->apply(objectOf("w2", "a\nb\n"));
    EXPECT_EQ(result.version, 2U);
    EXPECT_EQ(result.replacedVersion, 1U);
    EXPECT_EQ(result.otherObject.author, "author of w1");
    EXPECT_EQ(result.differences, (std::vector<LineDifference>{{.side = LineSide::NewOnly, .line = 2, .text = "b"}}));
    EXPECT_EQ(this->storedText(), "a\nb\n");
}

// Guards against new versions without a change of the text, which every proxy of the fleet would have to fetch.
TEST_F(RulesObjectUpdateTest, DoesNotWriteTheSameTextAgain)
{
    (void)this->apply(objectOf("w1", "a\n"));
    const RulesObjectUpdateResult result = this->apply(objectOf("w2", "a\n"), 7);
    EXPECT_EQ(result.outcome, RulesObjectUpdateOutcome::Unchanged);
    EXPECT_EQ(result.version, 1U);
    EXPECT_EQ(this->version(), 1U);
}

// Guards against an update that silently undoes an edit made between its read and its write.
TEST_F(RulesObjectUpdateTest, ConflictNamesTheOtherEditAndTheDifferences)
{
    (void)this->apply(objectOf("w0", "a\n"));
    RulesObjectUpdate update({.user = "association", .object = objectOf("w1", "a\nmine\n")});
    const auto write = update.handle(this->callPlatform(update.start().call));
    ASSERT_TRUE(write.has_value());
    (void)this->apply(objectOf("w2", "a\ntheirs\n"));
    const RulesObjectUpdateResult result = this->run(update, *write);
    EXPECT_EQ(result.outcome, RulesObjectUpdateOutcome::Conflict);
    EXPECT_EQ(result.code, ResultCode::RulesConflict);
    EXPECT_EQ(result.version, 2U);
    EXPECT_EQ(result.otherObject.author, "author of w2");
    EXPECT_EQ(result.differences,
              (std::vector<LineDifference>{{.side = LineSide::OldOnly, .line = 2, .text = "theirs"},
                                           {.side = LineSide::NewOnly, .line = 2, .text = "mine"}}));
    EXPECT_EQ(this->storedText(), "a\ntheirs\n");
}

// Guards against an update that silently undoes an edit made since the version that its text was edited from.
TEST_F(RulesObjectUpdateTest, TextEditedFromAnOlderVersionIsNotWritten)
{
    (void)this->apply(objectOf("w0", "a\n"));
    (void)this->apply(objectOf("w1", "b\n"));
    const RulesObjectUpdateResult result = this->apply(objectOf("w2", "c\n"), 1);
    EXPECT_EQ(result.outcome, RulesObjectUpdateOutcome::Conflict);
    EXPECT_EQ(result.otherObject.author, "author of w1");
    EXPECT_EQ(this->platform.writes(), 2U);
    EXPECT_EQ(this->apply(objectOf("w2", "c\n"), 2).outcome, RulesObjectUpdateOutcome::Applied);
}

// Guards against applying an update twice, or reporting a failure, when only the answer to its write was lost.
TEST_F(RulesObjectUpdateTest, LostAnswerIsRecognizedByReadingBack)
{
    (void)this->apply(objectOf("w0", "a\n"));
    this->platform.loseAnswers(1);
    const RulesObjectUpdateResult result = this->apply(objectOf("w1", "b\n"));
    EXPECT_EQ(result.outcome, RulesObjectUpdateOutcome::Applied);
    EXPECT_TRUE(result.answerWasLost);
    EXPECT_EQ(result.version, 2U);
    EXPECT_EQ(this->version(), 2U);
    EXPECT_EQ(this->platform.writes(), 2U);
}

// Guards against applying an update twice when its write is delayed until after the read-back, which then leads to a
// second write.
TEST_F(RulesObjectUpdateTest, DelayedWriteAndItsRetryTakeEffectOnce)
{
    RulesObjectUpdate update({.user = "association", .object = objectOf("w1", "b\n")});
    const auto write = update.handle(this->callPlatform(update.start().call));
    ASSERT_TRUE(write.has_value());
    // The write is delayed; the read-back does not see it yet; it arrives before its retry.
    const auto readBack = update.handle({.call = write->call.call, .code = PlatformStatusCode::Unavailable});
    ASSERT_TRUE(readBack.has_value());
    const auto retry = update.handle(this->callPlatform(readBack->call));
    ASSERT_TRUE(retry.has_value());
    EXPECT_EQ(retry->call.operation, PlatformOperation::Put);
    (void)this->callPlatform(write->call);
    EXPECT_FALSE(update.handle(this->callPlatform(retry->call)).has_value());
    EXPECT_EQ(update.result().outcome, RulesObjectUpdateOutcome::Applied);
    EXPECT_TRUE(update.result().answerWasLost);
    EXPECT_EQ(this->version(), 1U);
}

// Guards against reporting "not applied" when the answer to the write was lost and the write was in force until another
// edit replaced it.
TEST_F(RulesObjectUpdateTest, EditAfterALostAnswerLeavesTheOutcomeUnknown)
{
    RulesObjectUpdate update({.user = "association", .object = objectOf("w1", "b\n")});
    const auto write = update.handle(this->callPlatform(update.start().call));
    ASSERT_TRUE(write.has_value());
    (void)this->callPlatform(write->call);
    const auto readBack = update.handle({.call = write->call.call, .code = PlatformStatusCode::Unavailable});
    ASSERT_TRUE(readBack.has_value());
    (void)this->apply(objectOf("w2", "c\n"));
    EXPECT_FALSE(update.handle(this->callPlatform(readBack->call)).has_value());
    EXPECT_EQ(update.result().outcome, RulesObjectUpdateOutcome::ConflictUnknown);
    EXPECT_EQ(this->storedText(), "c\n");
}

// Guards against reporting "may have been in force" when the versions prove that the write did not take effect.
TEST_F(RulesObjectUpdateTest, EditOfTheReadVersionProvesThatTheLostWriteDidNotApply)
{
    RulesObjectUpdate update({.user = "association", .object = objectOf("w1", "b\n")});
    const auto write = update.handle(this->callPlatform(update.start().call));
    ASSERT_TRUE(write.has_value());
    const auto readBack = update.handle({.call = write->call.call, .code = PlatformStatusCode::Unavailable});
    ASSERT_TRUE(readBack.has_value());
    (void)this->apply(objectOf("w2", "c\n"));
    EXPECT_FALSE(update.handle(this->callPlatform(readBack->call)).has_value());
    EXPECT_EQ(update.result().outcome, RulesObjectUpdateOutcome::Conflict);
}

// Guards against an update that does not end during an outage, or that reports a definite outcome after an unanswered
// write.
TEST_F(RulesObjectUpdateTest, OutageEndsTheUpdateWithTheKnownOutcome)
{
    this->platform.setDown(true);
    RulesObjectUpdateResult result = this->apply(objectOf("w1", "a\n"));
    EXPECT_EQ(result.outcome, RulesObjectUpdateOutcome::NotApplied);
    EXPECT_EQ(result.code, ResultCode::PlatformUnavailable);
    EXPECT_EQ(this->calls, 6U);
    EXPECT_EQ(this->pauses, std::chrono::milliseconds(200 + 400 + 800 + 1600 + 2000));

    this->platform.setDown(false);
    RulesObjectUpdate update({.user = "association", .object = objectOf("w1", "a\n")});
    const auto write = update.handle(this->callPlatform(update.start().call));
    ASSERT_TRUE(write.has_value());
    this->platform.setDown(true);
    result = this->run(update, *write);
    EXPECT_EQ(result.outcome, RulesObjectUpdateOutcome::Unknown);
    EXPECT_EQ(this->version(), 0U);
}

// Guards against an update that fails although the outage ends before the last attempt.
TEST_F(RulesObjectUpdateTest, ContinuesWhenThePlatformIsBack)
{
    this->platform.setDown(true);
    RulesObjectUpdate update({.user = "association", .object = objectOf("w1", "a\n")});
    const auto again = update.handle(this->callPlatform(update.start().call));
    ASSERT_TRUE(again.has_value());
    EXPECT_EQ(again->call.operation, PlatformOperation::Get);
    this->platform.setDown(false);
    EXPECT_EQ(this->run(update, *again).outcome, RulesObjectUpdateOutcome::Applied);
}

// Guards against a damaged rules object that operators cannot replace.
TEST_F(RulesObjectUpdateTest, ReplacesADamagedObject)
{
    (void)this->callPlatform({.operation = PlatformOperation::Put, .key = "rules/association", .value = "not json"});
    const RulesObjectUpdateResult result = this->apply(objectOf("w1", ""));
    EXPECT_EQ(result.outcome, RulesObjectUpdateOutcome::Applied);
    EXPECT_EQ(result.version, 2U);
}

// Guards against differences that omit a change of order: the first matching rule takes effect.
TEST(LineDiff, ChangedOrderIsADifference)
{
    using Differences = std::vector<LineDifference>;
    EXPECT_EQ(diffLines("a\nb\n", "b\na\n"), (Differences{{.side = LineSide::OldOnly, .line = 1, .text = "a"},
                                                          {.side = LineSide::NewOnly, .line = 2, .text = "a"}}));
    EXPECT_TRUE(diffLines("a\r\nb", "a\nb\n").empty());
    EXPECT_EQ(diffLines("", "a").size(), 1U);
    EXPECT_EQ(diffLines("x\na\nb\nc\nz", "x\nb\nd\nc\nz"),
              (Differences{{.side = LineSide::OldOnly, .line = 2, .text = "a"},
                           {.side = LineSide::NewOnly, .line = 3, .text = "d"}}));
}

// Guards against unbounded use of memory for two large texts without a common line.
TEST(LineDiff, LargeTextsAreListedAsReplaced)
{
    std::string left;
    std::string right;
    for (int index = 0; index < 3000; ++index) {
        left.append("l").append(std::to_string(index)).append("\n");
        right.append("r").append(std::to_string(index)).append("\n");
    }
    EXPECT_EQ(diffLines(left, right).size(), 6000U);
}

} // namespace

} // namespace Jujubekeel
