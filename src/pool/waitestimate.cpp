#include "pool/waitestimate.h"

#include <algorithm>

namespace Jujubekeel {

namespace {

/// Divisor of the moving average of the interval at which work leaves a queue; as many samples make an estimate.
constexpr std::uint32_t samples = 8;
/// Work is refused at once if its expected wait exceeds the time left by this factor, in halves: the estimate is rough,
/// and work that could be served must not be refused.
constexpr std::int64_t hopelessHalves = 3;

} // namespace

void WaitEstimate::served(TimePoint now)
{
    if (this->count > 0)
        this->interval += (now - this->servedAt - this->interval) / std::min<std::int64_t>(this->count, samples);
    this->servedAt = now;
    this->count += 1;
}

std::optional<Duration> WaitEstimate::wait(std::size_t before) const
{
    if (this->count < samples)
        return std::nullopt;
    return this->interval * static_cast<std::int64_t>(before + 1);
}

bool WaitEstimate::isHopeless(Duration wait, Duration left)
{
    return wait * 2 > left * hopelessHalves;
}

} // namespace Jujubekeel
