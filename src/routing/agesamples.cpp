#include "routing/agesamples.h"

namespace Jujubekeel {

namespace {

constexpr std::size_t maxSamples = 256;

} // namespace

void AgeSamples::record(LogPosition position, TimePoint asOf)
{
    if (!this->samples.empty()) {
        Sample &last = this->samples.back();
        if (asOf <= last.asOf || position < last.position)
            return;
        // An unchanged end of the log only updates the time of the last sample.
        if (position == last.position) {
            last.asOf = asOf;
            return;
        }
    }
    this->samples.push_back({.position = position, .asOf = asOf});

    // Drop every second sample of the older half: a large age needs a lower resolution.
    if (this->samples.size() > maxSamples) {
        std::vector<Sample> kept;
        kept.reserve(maxSamples);
        for (std::size_t index = 0; index < this->samples.size(); ++index) {
            if (index >= maxSamples / 2 || index % 2 == 0)
                kept.push_back(this->samples[index]);
        }
        this->samples = std::move(kept);
    }
}

std::optional<Duration> AgeSamples::age(LogPosition applied, const TermHistory &history, TimePoint now) const
{
    for (auto sample = this->samples.rbegin(); sample != this->samples.rend(); ++sample) {
        if (history.relation(applied, sample->position) == MarkRelation::Contained)
            return now - sample->asOf;
    }
    return std::nullopt;
}

} // namespace Jujubekeel
