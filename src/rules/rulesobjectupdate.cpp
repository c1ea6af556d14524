#include "rules/rulesobjectupdate.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Jujubekeel {

namespace {

/// Returns the object of an answer, or an empty one if there is none or it is damaged: a damaged object can be
/// replaced.
RulesObject decodeObject(const PlatformAnswer &answer)
{
    if (answer.code == PlatformStatusCode::NotFound || answer.version == 0)
        return {};
    FailureReason reason;
    return RulesObject::decode(answer.value, reason).value_or(RulesObject{});
}

} // namespace

RulesObjectUpdate::RulesObjectUpdate(RulesObjectUpdateOptions updateOptions) : options(std::move(updateOptions))
{
    assert(!this->options.user.empty());
    assert(!this->options.object.writer.empty());
    assert(this->options.attempts > 0);
}

RulesObjectUpdateCall RulesObjectUpdate::start()
{
    assert(this->lastCallNumber == 0);
    return this->makeCall(Step::Reading);
}

RulesObjectUpdateCall RulesObjectUpdate::makeCall(Step nextStep)
{
    this->step = nextStep;
    this->lastCallNumber = this->nextCallNumber++;
    RulesObjectUpdateCall next;
    next.pause = std::exchange(this->pause, Duration{0});
    next.call.call = this->lastCallNumber;
    next.call.key = RulesObject::key(this->options.user);
    if (nextStep == Step::Writing) {
        next.call.operation = PlatformOperation::Put;
        next.call.expectedVersion = this->readVersion;
        next.call.value = this->options.object.encode();
    }
    return next;
}

std::optional<RulesObjectUpdateCall> RulesObjectUpdate::handle(const PlatformAnswer &answer)
{
    assert(this->step != Step::Done);
    assert(answer.call == this->lastCallNumber);
    switch (this->step) {
    case Step::Reading:
        return this->handleRead(answer);
    case Step::Writing:
        return this->handleWrite(answer);
    case Step::ReadingBack:
        return this->handleReadBack(answer);
    case Step::Done:
        break;
    }
    return std::nullopt;
}

std::optional<RulesObjectUpdateCall> RulesObjectUpdate::handleRead(const PlatformAnswer &answer)
{
    if (answer.code != PlatformStatusCode::Ok && answer.code != PlatformStatusCode::NotFound)
        return this->handleUnanswered();
    this->readVersion = answer.code == PlatformStatusCode::Ok ? answer.version : 0;
    this->readObject = decodeObject(answer);

    if (this->readVersion != 0 && this->readObject.text == this->options.object.text
        && !this->readObject.writer.empty()) {
        this->step = Step::Done;
        this->updateResult.outcome = RulesObjectUpdateOutcome::Unchanged;
        this->updateResult.version = this->readVersion;
        this->updateResult.replacedVersion = this->readVersion;
        this->updateResult.otherObject = this->readObject;
        return std::nullopt;
    }
    // The text was edited from an older version: writing it would undo the edits made since.
    if (this->options.baseVersion && *this->options.baseVersion != this->readVersion) {
        this->finishWithConflict(answer);
        return std::nullopt;
    }
    return this->makeCall(Step::Writing);
}

std::optional<RulesObjectUpdateCall> RulesObjectUpdate::handleWrite(const PlatformAnswer &answer)
{
    if (answer.code == PlatformStatusCode::Ok) {
        this->finishApplied(answer.version);
        return std::nullopt;
    }
    if (answer.code == PlatformStatusCode::Conflict) {
        // The conflicting write may be an earlier attempt of this update.
        if (this->isOwnWrite(decodeObject(answer))) {
            this->updateResult.answerWasLost = true;
            this->finishApplied(answer.version);
        } else {
            this->finishWithConflict(answer);
        }
        return std::nullopt;
    }
    this->writeUnanswered = true;
    return this->handleUnanswered();
}

std::optional<RulesObjectUpdateCall> RulesObjectUpdate::handleReadBack(const PlatformAnswer &answer)
{
    if (answer.code != PlatformStatusCode::Ok && answer.code != PlatformStatusCode::NotFound)
        return this->handleUnanswered();
    const std::uint64_t version = answer.code == PlatformStatusCode::Ok ? answer.version : 0;
    if (this->isOwnWrite(decodeObject(answer))) {
        this->updateResult.answerWasLost = true;
        this->finishApplied(version);
        return std::nullopt;
    }
    // Retry the same conditional write: if the earlier one is still in flight, only one of the two can take effect.
    if (version == this->readVersion)
        return this->makeCall(Step::Writing);
    this->finishWithConflict(answer);
    return std::nullopt;
}

std::optional<RulesObjectUpdateCall> RulesObjectUpdate::handleUnanswered()
{
    this->unansweredCalls += 1;
    if (this->unansweredCalls >= this->options.attempts) {
        this->step = Step::Done;
        this->updateResult.code = ResultCode::PlatformUnavailable;
        this->updateResult.outcome =
            this->writeUnanswered ? RulesObjectUpdateOutcome::Unknown : RulesObjectUpdateOutcome::NotApplied;
        return std::nullopt;
    }
    const Duration factor{std::int64_t{1} << std::min<std::uint32_t>(this->unansweredCalls - 1, 20)};
    this->pause = std::min(this->options.retryDelay * factor.count(), this->options.maxRetryDelay);
    return this->makeCall(this->writeUnanswered ? Step::ReadingBack : Step::Reading);
}

bool RulesObjectUpdate::isOwnWrite(const RulesObject &object) const
{
    return object.writer == this->options.object.writer && object.sequence == this->options.object.sequence;
}

void RulesObjectUpdate::finishApplied(std::uint64_t version)
{
    this->step = Step::Done;
    this->updateResult.outcome = RulesObjectUpdateOutcome::Applied;
    this->updateResult.version = version;
    this->updateResult.replacedVersion = this->readVersion;
    this->updateResult.otherObject = this->readObject;
    this->updateResult.differences = diffLines(this->readObject.text, this->options.object.text);
}

void RulesObjectUpdate::finishWithConflict(const PlatformAnswer &answer)
{
    this->step = Step::Done;
    RulesObjectUpdateResult &result = this->updateResult;
    result.code = ResultCode::RulesConflict;
    result.version = answer.code == PlatformStatusCode::NotFound ? 0 : answer.version;
    result.replacedVersion = this->readVersion;
    result.otherObject = decodeObject(answer);
    result.differences = diffLines(result.otherObject.text, this->options.object.text);
    // Each write raises the version by one, so this update's write can only have come before the other one if the
    // version rose by more than one.
    const bool mayHaveApplied = this->writeUnanswered && result.version != this->readVersion + 1;
    result.outcome = mayHaveApplied ? RulesObjectUpdateOutcome::ConflictUnknown : RulesObjectUpdateOutcome::Conflict;
}

} // namespace Jujubekeel
