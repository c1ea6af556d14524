#include "pool/positionhistory.h"

#include <algorithm>

namespace Jujubekeel {

void PositionHistory::add(TimePoint requestedAt, LogPosition position, TimePoint now)
{
    while (!this->samples.empty() && now - this->samples.front().requestedAt > this->options.retention)
        this->samples.pop_front();

    // A position that was requested earlier than the newest sample covers nothing that the sample does not.
    if (!this->samples.empty() && requestedAt <= this->samples.back().requestedAt)
        return;
    position = this->samples.empty() ? position : std::max(position, this->samples.back().position);
    const bool dense = this->samples.size() >= 2
                       && requestedAt - this->samples[this->samples.size() - 2].requestedAt < this->options.interval;
    if (dense)
        this->samples.back() = Sample{.requestedAt = requestedAt, .position = position};
    else
        this->samples.push_back(Sample{.requestedAt = requestedAt, .position = position});
}

std::optional<LogPosition> PositionHistory::covering(TimePoint moment) const
{
    const auto found = std::lower_bound(this->samples.begin(), this->samples.end(), moment,
                                        [](const Sample &sample, TimePoint time) { return sample.requestedAt < time; });
    if (found == this->samples.end())
        return std::nullopt;
    return found->position;
}

std::optional<LogPosition> PositionHistory::newest() const
{
    return this->samples.empty() ? std::nullopt : std::optional(this->samples.back().position);
}

std::optional<TimePoint> PositionHistory::newestRequestedAt() const
{
    return this->samples.empty() ? std::nullopt : std::optional(this->samples.back().requestedAt);
}

} // namespace Jujubekeel
