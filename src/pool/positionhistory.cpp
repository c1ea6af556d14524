#include "pool/positionhistory.h"

#include <algorithm>

namespace Jujubekeel {

void PositionHistory::add(TimePoint askedAt, LogPosition position, TimePoint now)
{
    while (!this->samples.empty() && now - this->samples.front().askedAt > this->options.keep)
        this->samples.pop_front();

    // An answer to an older question tells nothing that a newer sample does not cover.
    if (!this->samples.empty() && askedAt <= this->samples.back().askedAt)
        return;
    position = this->samples.empty() ? position : std::max(position, this->samples.back().position);
    const bool dense =
        this->samples.size() >= 2 && askedAt - this->samples[this->samples.size() - 2].askedAt < this->options.interval;
    if (dense)
        this->samples.back() = Sample{.askedAt = askedAt, .position = position};
    else
        this->samples.push_back(Sample{.askedAt = askedAt, .position = position});
}

std::optional<LogPosition> PositionHistory::covering(TimePoint moment) const
{
    const auto found = std::lower_bound(this->samples.begin(), this->samples.end(), moment,
                                        [](const Sample &sample, TimePoint time) { return sample.askedAt < time; });
    if (found == this->samples.end())
        return std::nullopt;
    return found->position;
}

std::optional<LogPosition> PositionHistory::newest() const
{
    return this->samples.empty() ? std::nullopt : std::optional(this->samples.back().position);
}

std::optional<TimePoint> PositionHistory::newestAskedAt() const
{
    return this->samples.empty() ? std::nullopt : std::optional(this->samples.back().askedAt);
}

} // namespace Jujubekeel
