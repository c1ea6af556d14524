#include "rules/ruleupdate.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Jujubekeel {

namespace {

/// The object of an answer; an empty one if there is none or if it is damaged, so that a damaged one can be replaced.
RulesObject decodeObject(const PlatformAnswer &answer)
{
    if (answer.code == PlatformStatusCode::NotFound || answer.version == 0)
        return {};
    FailureReason reason;
    return RulesObject::decode(answer.value, reason).value_or(RulesObject{});
}

} // namespace

RuleUpdate::RuleUpdate(RuleUpdateOptions updateOptions) : options(std::move(updateOptions))
{
    assert(!this->options.user.empty());
    assert(!this->options.object.writer.empty());
    assert(this->options.attempts > 0);
}

RuleUpdateCall RuleUpdate::start()
{
    assert(this->lastCall == 0);
    return this->makeCall(Step::Reading);
}

RuleUpdateCall RuleUpdate::makeCall(Step nextStep)
{
    this->step = nextStep;
    this->lastCall = this->nextCall++;
    RuleUpdateCall next;
    next.pause = std::exchange(this->pause, Duration{0});
    next.call.call = this->lastCall;
    next.call.key = RulesObject::key(this->options.user);
    if (nextStep == Step::Writing) {
        next.call.operation = PlatformOperation::Put;
        next.call.expectedVersion = this->readVersion;
        next.call.value = this->options.object.encode();
    }
    return next;
}

std::optional<RuleUpdateCall> RuleUpdate::handle(const PlatformAnswer &answer)
{
    assert(this->step != Step::Over);
    assert(answer.call == this->lastCall);
    switch (this->step) {
    case Step::Reading:
        return this->handleRead(answer);
    case Step::Writing:
        return this->handleWrite(answer);
    case Step::ReadingBack:
        return this->handleReadBack(answer);
    case Step::Over:
        break;
    }
    return std::nullopt;
}

std::optional<RuleUpdateCall> RuleUpdate::handleRead(const PlatformAnswer &answer)
{
    if (answer.code != PlatformStatusCode::Ok && answer.code != PlatformStatusCode::NotFound)
        return this->handleUnanswered();
    this->readVersion = answer.code == PlatformStatusCode::Ok ? answer.version : 0;
    this->readObject = decodeObject(answer);

    if (this->readVersion != 0 && this->readObject.text == this->options.object.text
        && !this->readObject.writer.empty()) {
        this->step = Step::Over;
        this->updateResult.outcome = RuleUpdateOutcome::Unchanged;
        this->updateResult.version = this->readVersion;
        this->updateResult.replacedVersion = this->readVersion;
        this->updateResult.other = this->readObject;
        return std::nullopt;
    }
    // The text was edited from an older version: writing it would undo the edit that came between.
    if (this->options.baseVersion && *this->options.baseVersion != this->readVersion) {
        this->finishWithOther(answer);
        return std::nullopt;
    }
    return this->makeCall(Step::Writing);
}

std::optional<RuleUpdateCall> RuleUpdate::handleWrite(const PlatformAnswer &answer)
{
    if (answer.code == PlatformStatusCode::Ok) {
        this->finishApplied(answer.version);
        return std::nullopt;
    }
    if (answer.code == PlatformStatusCode::Conflict) {
        // The own write of an earlier attempt may be what this one collides with.
        if (this->isOwn(decodeObject(answer))) {
            this->updateResult.answerWasLost = true;
            this->finishApplied(answer.version);
        } else {
            this->finishWithOther(answer);
        }
        return std::nullopt;
    }
    this->writeUnanswered = true;
    return this->handleUnanswered();
}

std::optional<RuleUpdateCall> RuleUpdate::handleReadBack(const PlatformAnswer &answer)
{
    if (answer.code != PlatformStatusCode::Ok && answer.code != PlatformStatusCode::NotFound)
        return this->handleUnanswered();
    const std::uint64_t version = answer.code == PlatformStatusCode::Ok ? answer.version : 0;
    if (this->isOwn(decodeObject(answer))) {
        this->updateResult.answerWasLost = true;
        this->finishApplied(version);
        return std::nullopt;
    }
    // The same conditional write again: if the earlier one is still on its way, only one of the two can take effect.
    if (version == this->readVersion)
        return this->makeCall(Step::Writing);
    this->finishWithOther(answer);
    return std::nullopt;
}

std::optional<RuleUpdateCall> RuleUpdate::handleUnanswered()
{
    this->unanswered += 1;
    if (this->unanswered >= this->options.attempts) {
        this->step = Step::Over;
        this->updateResult.code = ResultCode::PlatformUnavailable;
        this->updateResult.outcome = this->writeUnanswered ? RuleUpdateOutcome::Unknown : RuleUpdateOutcome::NotApplied;
        return std::nullopt;
    }
    const Duration factor{std::int64_t{1} << std::min<std::uint32_t>(this->unanswered - 1, 20)};
    this->pause = std::min(this->options.retryPause * factor.count(), this->options.maxRetryPause);
    return this->makeCall(this->writeUnanswered ? Step::ReadingBack : Step::Reading);
}

bool RuleUpdate::isOwn(const RulesObject &object) const
{
    return object.writer == this->options.object.writer && object.sequence == this->options.object.sequence;
}

void RuleUpdate::finishApplied(std::uint64_t version)
{
    this->step = Step::Over;
    this->updateResult.outcome = RuleUpdateOutcome::Applied;
    this->updateResult.version = version;
    this->updateResult.replacedVersion = this->readVersion;
    this->updateResult.other = this->readObject;
    this->updateResult.differences = diffLines(this->readObject.text, this->options.object.text);
}

void RuleUpdate::finishWithOther(const PlatformAnswer &answer)
{
    this->step = Step::Over;
    RuleUpdateResult &result = this->updateResult;
    result.code = ResultCode::RulesConflict;
    result.version = answer.code == PlatformStatusCode::NotFound ? 0 : answer.version;
    result.replacedVersion = this->readVersion;
    result.other = decodeObject(answer);
    result.differences = diffLines(result.other.text, this->options.object.text);
    // Each update raises the version, so the own write can precede the other one only if there is room for two.
    const bool mayHaveApplied = this->writeUnanswered && result.version != this->readVersion + 1;
    result.outcome = mayHaveApplied ? RuleUpdateOutcome::ConflictUnknown : RuleUpdateOutcome::Conflict;
}

} // namespace Jujubekeel
