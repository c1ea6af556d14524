#include "pace/serverpace.h"

#include <algorithm>
#include <cmath>

namespace Jujubekeel {

namespace {

/// The window is multiplied by 7/10 after a rejection or slow answers.
constexpr std::uint32_t shrinkNumerator = 7;
constexpr std::uint32_t shrinkDenominator = 10;
/// The ceiling of the window no longer holds when the durations have fallen by this factor.
constexpr std::int64_t fasterFactor = 2;
/// Parts into which the variation of a time is divided.
constexpr std::uint64_t variationSteps = 1024;

} // namespace

ServerPace::ServerPace(ServerPaceOptions paceOptions)
    : options(paceOptions), random(paceOptions.seed), limit(paceOptions.initialWindow), ceiling(paceOptions.maxWindow),
      latencies(paceOptions), successes(paceOptions.settledSuccesses)
{
}

bool ServerPace::allows(TimePoint now, std::uint32_t handshakes) const
{
    if (this->suspended)
        return now >= this->trialAt;
    return this->running + handshakes < this->limit && now >= this->notBefore;
}

bool ServerPace::allowsLastResort(TimePoint now, std::uint32_t handshakes) const
{
    return this->isTrialDue(now) || (this->running + handshakes < this->limit && now >= this->notBefore);
}

TimePoint ServerPace::allowedAt(TimePoint now, bool lastResort) const
{
    TimePoint at = now;
    if (this->running < this->limit && (!this->suspended || lastResort))
        at = std::max(now, this->notBefore);
    else if (this->suspended)
        at = std::max(now, this->trialAt);
    return this->suspended ? std::min(at, std::max(now, this->trialAt)) : at;
}

void ServerPace::started(TimePoint now)
{
    this->running += 1;
    // The time of the next trial does not depend on the answer, which may not come.
    if (this->isTrialDue(now)) {
        this->trialDelay = std::min(this->trialDelay * 2, this->options.maxTrial);
        this->trialAt = now + this->varied(this->trialDelay);
    }
}

void ServerPace::finished(PaceOutcome outcome, Duration took, TimePoint now, Duration kind)
{
    const TimePoint startedAt = now - took;
    if (outcome != PaceOutcome::Ignored)
        this->finishedAt = now;
    switch (outcome) {
    case PaceOutcome::Succeeded:
        this->latencies.record(kind, took, now);
        this->succeeded(took, now);
        break;
    case PaceOutcome::SucceededUntimed:
        this->succeeded(took, now);
        break;
    case PaceOutcome::Rejected:
        this->rejected(startedAt, now);
        break;
    case PaceOutcome::Failed:
        this->failed(startedAt, now);
        break;
    case PaceOutcome::Ignored:
        break;
    }
    this->running -= this->running > 0 ? 1 : 0;
}

void ServerPace::reset(TimePoint now)
{
    const std::uint32_t inProgress = this->running;
    const std::uint64_t state = this->random;
    *this = ServerPace(this->options);
    this->running = inProgress;
    this->random = state;
    // Statements that were sent to the earlier process say nothing about the new one.
    this->shrunkAt = now;
    this->suspendedAt = now;
}

void ServerPace::succeeded(Duration took, TimePoint now)
{
    const TimePoint startedAt = now - took;
    if (this->suspended) {
        // Answers to statements from before the suspension do not show that the server works again.
        if (startedAt >= this->suspendedAt)
            this->resume(now);
        return;
    }
    this->failures = 0;
    this->rejections = 0;
    if (this->successes < this->options.settledSuccesses) {
        this->successes += 1;
        if (this->successes == this->options.settledSuccesses)
            this->trialDelay = Duration{0};
    }
    const Duration wait = this->decayedPause(now);
    if (wait.count() > 0) {
        this->notBefore = std::max(this->notBefore, now + this->varied(wait));
        return;
    }
    this->pause = Duration{0};
    if (this->latencies.isSlow())
        this->shrinkWindow(this->limit * shrinkNumerator / shrinkDenominator, startedAt, now);
    else
        this->growWindow(now);
}

void ServerPace::rejected(TimePoint startedAt, TimePoint now)
{
    this->rejections += 1;
    if (this->suspended) {
        if (startedAt >= this->suspendedAt)
            this->lengthenPause(now);
        return;
    }
    if (this->rejections >= this->options.suspendRejections) {
        this->suspend(now);
        return;
    }
    if (startedAt < this->shrunkAt)
        return;
    if (this->limit > 1) {
        this->ceiling = this->limit - 1;
        this->ceilingLatency = this->averageLatency();
        this->grewAt = now;
        this->shrinkWindow(this->limit * shrinkNumerator / shrinkDenominator, startedAt, now);
        return;
    }
    this->shrunkAt = now;
    this->lengthenPause(now);
}

void ServerPace::failed(TimePoint startedAt, TimePoint now)
{
    this->rejections = 0;
    if (startedAt < this->suspendedAt)
        return;
    this->failures += 1;
    if (this->suspended) {
        this->lengthenPause(now);
        return;
    }
    this->shrinkWindow(this->limit / 2, startedAt, now);
    const bool settled = this->successes >= this->options.settledSuccesses;
    if (this->failures >= (settled ? this->options.suspendFailures : this->options.resuspendFailures))
        this->suspend(now);
}

void ServerPace::growWindow(TimePoint now)
{
    const bool isFull = this->running >= this->limit;
    if (!isFull || !this->latencies.isNearBest() || this->limit >= this->options.maxWindow)
        return;
    // A server that has become much faster can run more than it could when it rejected.
    if (this->averageLatency() * fasterFactor < this->ceilingLatency) {
        this->ceiling = this->options.maxWindow;
        this->ceilingLatency = Duration{0};
    }
    if (this->limit >= this->ceiling) {
        if (now - this->grewAt < this->options.growInterval)
            return;
        this->ceiling = this->limit + 1;
    }
    this->limit += 1;
    this->grewAt = now;
}

void ServerPace::shrinkWindow(std::uint32_t target, TimePoint startedAt, TimePoint now)
{
    if (startedAt < this->shrunkAt || this->limit <= 1)
        return;
    this->limit = std::max<std::uint32_t>(target, 1);
    this->shrunkAt = now;
}

void ServerPace::suspend(TimePoint now)
{
    this->suspended = true;
    this->suspendedAt = now;
    this->limit = 1;
    this->trialDelay = std::clamp(this->trialDelay, this->options.firstTrial, this->options.maxTrial);
    this->trialAt = now + this->varied(this->trialDelay);
}

void ServerPace::resume(TimePoint now)
{
    this->suspended = false;
    this->failures = 0;
    this->rejections = 0;
    this->successes = 1;
    this->limit = 1;
    this->pause = Duration{0};
    this->notBefore = TimePoint{0};
    this->shrunkAt = now;
    // Durations from before the suspension describe another condition of the server.
    this->latencies.forgetAverages();
}

void ServerPace::lengthenPause(TimePoint now)
{
    this->pause = std::clamp(this->decayedPause(now) * 2, this->options.minPause, this->options.maxPause);
    this->pauseSetAt = now;
    this->notBefore = std::max(this->notBefore, now + this->varied(this->pause));
}

Duration ServerPace::decayedPause(TimePoint now) const
{
    if (this->pause.count() == 0)
        return Duration{0};
    const double halfLives = static_cast<double>((now - this->pauseSetAt).count())
                             / static_cast<double>(this->options.pauseHalfLife.count());
    const Duration left(static_cast<std::int64_t>(static_cast<double>(this->pause.count()) * std::exp2(-halfLives)));
    return left * 2 < this->options.minPause ? Duration{0} : left;
}

Duration ServerPace::varied(Duration duration)
{
    // The step of a linear congruential generator; its upper bits are used.
    this->random = this->random * 6364136223846793005U + 1442695040888963407U;
    const auto step = static_cast<std::int64_t>((this->random >> 33U) % variationSteps);
    return duration * 3 / 4 + duration * step / static_cast<std::int64_t>(2 * variationSteps);
}

} // namespace Jujubekeel
