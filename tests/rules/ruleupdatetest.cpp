#include "rules/ruleupdate.h"

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

/// Drives updates against the fake platform, one call at a time.
class RuleUpdateTest : public testing::Test
{
protected:
    PlatformAnswer ask(const PlatformCall &call)
    {
        this->platform.call(TimePoint{0}, client, call);
        const auto outputs = this->platform.takeOutputs();
        if (outputs.empty())
            return PlatformAnswer{.call = call.call, .code = PlatformStatusCode::Unavailable};
        return outputs.front().answer;
    }

    /// Runs until the end; counts the calls.
    RuleUpdateResult run(RuleUpdate &update, RuleUpdateCall next)
    {
        while (true) {
            this->calls += 1;
            EXPECT_LT(this->calls, 100U);
            const auto following = update.handle(this->ask(next.call));
            if (!following)
                return update.result();
            this->pauses += following->pause;
            next = *following;
        }
    }

    RuleUpdateResult apply(const RulesObject &object, std::optional<std::uint64_t> base = std::nullopt)
    {
        RuleUpdate update({.user = "association", .object = object, .baseVersion = base});
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

// Guards against updates that cannot create the first version or do not say what they replaced.
TEST_F(RuleUpdateTest, WritesTheFirstAndTheNextVersion)
{
    RuleUpdateResult result = this->apply(objectOf("w1", "a\n"));
    EXPECT_EQ(result.outcome, RuleUpdateOutcome::Applied);
    EXPECT_EQ(result.version, 1U);
    EXPECT_EQ(result.replacedVersion, 0U);

    result = this->apply(objectOf("w2", "a\nb\n"));
    EXPECT_EQ(result.version, 2U);
    EXPECT_EQ(result.replacedVersion, 1U);
    EXPECT_EQ(result.other.author, "author of w1");
    EXPECT_EQ(result.differences, (std::vector<LineDifference>{{.side = LineSide::NewOnly, .line = 2, .text = "b"}}));
    EXPECT_EQ(this->storedText(), "a\nb\n");
}

// Guards against new versions without a change, which every proxy of the fleet would have to fetch.
TEST_F(RuleUpdateTest, DoesNotWriteTheSameTextAgain)
{
    (void)this->apply(objectOf("w1", "a\n"));
    const RuleUpdateResult result = this->apply(objectOf("w2", "a\n"), 7);
    EXPECT_EQ(result.outcome, RuleUpdateOutcome::Unchanged);
    EXPECT_EQ(result.version, 1U);
    EXPECT_EQ(this->version(), 1U);
}

// Guards against an edit that silently undoes one made between its read and its write.
TEST_F(RuleUpdateTest, LoserOfAConflictLearnsWhoseEditWonAndWhatDiffers)
{
    (void)this->apply(objectOf("w0", "a\n"));
    RuleUpdate update({.user = "association", .object = objectOf("w1", "a\nmine\n")});
    const auto write = update.handle(this->ask(update.start().call));
    ASSERT_TRUE(write.has_value());
    (void)this->apply(objectOf("w2", "a\ntheirs\n"));
    const RuleUpdateResult result = this->run(update, *write);
    EXPECT_EQ(result.outcome, RuleUpdateOutcome::Conflict);
    EXPECT_EQ(result.code, ResultCode::RulesConflict);
    EXPECT_EQ(result.version, 2U);
    EXPECT_EQ(result.other.author, "author of w2");
    EXPECT_EQ(result.differences,
              (std::vector<LineDifference>{{.side = LineSide::OldOnly, .line = 2, .text = "theirs"},
                                           {.side = LineSide::NewOnly, .line = 2, .text = "mine"}}));
    EXPECT_EQ(this->storedText(), "a\ntheirs\n");
}

// Guards against an edit that silently undoes one made while the text was being edited.
TEST_F(RuleUpdateTest, ATextEditedFromAnOlderVersionIsNotWritten)
{
    (void)this->apply(objectOf("w0", "a\n"));
    (void)this->apply(objectOf("w1", "b\n"));
    const RuleUpdateResult result = this->apply(objectOf("w2", "c\n"), 1);
    EXPECT_EQ(result.outcome, RuleUpdateOutcome::Conflict);
    EXPECT_EQ(result.other.author, "author of w1");
    EXPECT_EQ(this->platform.writes(), 2U);
    EXPECT_EQ(this->apply(objectOf("w2", "c\n"), 2).outcome, RuleUpdateOutcome::Applied);
}

// Guards against applying an edit twice or reporting a failure when only the answer was lost.
TEST_F(RuleUpdateTest, LostAnswerIsRecognizedByReadingBack)
{
    (void)this->apply(objectOf("w0", "a\n"));
    this->platform.loseAnswers(1);
    const RuleUpdateResult result = this->apply(objectOf("w1", "b\n"));
    EXPECT_EQ(result.outcome, RuleUpdateOutcome::Applied);
    EXPECT_TRUE(result.answerWasLost);
    EXPECT_EQ(result.version, 2U);
    EXPECT_EQ(this->version(), 2U);
    EXPECT_EQ(this->platform.writes(), 2U);
}

// Guards against a write that was delayed past the read-back and would then be applied a second time.
TEST_F(RuleUpdateTest, DelayedWriteAndItsRepetitionTakeEffectOnce)
{
    RuleUpdate update({.user = "association", .object = objectOf("w1", "b\n")});
    const auto write = update.handle(this->ask(update.start().call));
    ASSERT_TRUE(write.has_value());
    // The write hangs; the read-back sees nothing yet; the write arrives before its repetition.
    const auto readBack = update.handle({.call = write->call.call, .code = PlatformStatusCode::Unavailable});
    ASSERT_TRUE(readBack.has_value());
    const auto repetition = update.handle(this->ask(readBack->call));
    ASSERT_TRUE(repetition.has_value());
    EXPECT_EQ(repetition->call.operation, PlatformOperation::Put);
    (void)this->ask(write->call);
    EXPECT_FALSE(update.handle(this->ask(repetition->call)).has_value());
    EXPECT_EQ(update.result().outcome, RuleUpdateOutcome::Applied);
    EXPECT_TRUE(update.result().answerWasLost);
    EXPECT_EQ(this->version(), 1U);
}

// Guards against claiming "not applied" when a lost write was in force until another edit replaced it.
TEST_F(RuleUpdateTest, AnEditAfterALostAnswerLeavesTheOutcomeOpen)
{
    RuleUpdate update({.user = "association", .object = objectOf("w1", "b\n")});
    const auto write = update.handle(this->ask(update.start().call));
    ASSERT_TRUE(write.has_value());
    (void)this->ask(write->call);
    const auto readBack = update.handle({.call = write->call.call, .code = PlatformStatusCode::Unavailable});
    ASSERT_TRUE(readBack.has_value());
    (void)this->apply(objectOf("w2", "c\n"));
    EXPECT_FALSE(update.handle(this->ask(readBack->call)).has_value());
    EXPECT_EQ(update.result().outcome, RuleUpdateOutcome::ConflictUnknown);
    EXPECT_EQ(this->storedText(), "c\n");
}

// Guards against the weaker statement "may have been in force" when the versions prove that the write was lost.
TEST_F(RuleUpdateTest, AnEditOnTheVersionReadProvesThatTheLostWriteDidNotApply)
{
    RuleUpdate update({.user = "association", .object = objectOf("w1", "b\n")});
    const auto write = update.handle(this->ask(update.start().call));
    ASSERT_TRUE(write.has_value());
    const auto readBack = update.handle({.call = write->call.call, .code = PlatformStatusCode::Unavailable});
    ASSERT_TRUE(readBack.has_value());
    (void)this->apply(objectOf("w2", "c\n"));
    EXPECT_FALSE(update.handle(this->ask(readBack->call)).has_value());
    EXPECT_EQ(update.result().outcome, RuleUpdateOutcome::Conflict);
}

// Guards against a command that never ends or that claims an outcome it does not know in an outage.
TEST_F(RuleUpdateTest, OutageEndsWithTheOutcomeThatIsKnown)
{
    this->platform.setDown(true);
    RuleUpdateResult result = this->apply(objectOf("w1", "a\n"));
    EXPECT_EQ(result.outcome, RuleUpdateOutcome::NotApplied);
    EXPECT_EQ(result.code, ResultCode::PlatformUnavailable);
    EXPECT_EQ(this->calls, 6U);
    EXPECT_EQ(this->pauses, std::chrono::milliseconds(200 + 400 + 800 + 1600 + 2000));

    this->platform.setDown(false);
    RuleUpdate update({.user = "association", .object = objectOf("w1", "a\n")});
    const auto write = update.handle(this->ask(update.start().call));
    ASSERT_TRUE(write.has_value());
    this->platform.setDown(true);
    result = this->run(update, *write);
    EXPECT_EQ(result.outcome, RuleUpdateOutcome::Unknown);
    EXPECT_EQ(this->version(), 0U);
}

// Guards against an outage that ends in time but still fails the command.
TEST_F(RuleUpdateTest, GoesOnWhenThePlatformComesBack)
{
    this->platform.setDown(true);
    RuleUpdate update({.user = "association", .object = objectOf("w1", "a\n")});
    const auto again = update.handle(this->ask(update.start().call));
    ASSERT_TRUE(again.has_value());
    EXPECT_EQ(again->call.operation, PlatformOperation::Get);
    this->platform.setDown(false);
    EXPECT_EQ(this->run(update, *again).outcome, RuleUpdateOutcome::Applied);
}

// Guards against a damaged object that operators cannot replace.
TEST_F(RuleUpdateTest, ReplacesADamagedObject)
{
    (void)this->ask({.operation = PlatformOperation::Put, .key = "rules/association", .value = "not json"});
    const RuleUpdateResult result = this->apply(objectOf("w1", ""));
    EXPECT_EQ(result.outcome, RuleUpdateOutcome::Applied);
    EXPECT_EQ(result.version, 2U);
}

// Guards against differences that hide a change of order: the first matching rule wins.
TEST(LineDiff, OrderCounts)
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

// Guards against unbounded memory for two large texts without a common line.
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
