#include "observe/logratelimiter.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Jujubekeel {

bool LogRateLimiter::tryAcquire(TimePoint now)
{
    const std::chrono::duration<double> passed = now - this->refilledAt;
    this->refilledAt = now;
    this->tokens = std::min<double>(this->options.burst, this->tokens + passed.count() * this->options.linesPerSecond);
    if (this->tokens < 1) {
        this->dropped += 1;
        return false;
    }
    this->tokens -= 1;
    return true;
}

std::uint64_t LogRateLimiter::takeDroppedCount()
{
    return std::exchange(this->dropped, 0);
}

} // namespace Jujubekeel
