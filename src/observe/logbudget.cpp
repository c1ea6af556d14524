#include "observe/logbudget.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Jujubekeel {

bool LogBudget::take(TimePoint now)
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

std::uint64_t LogBudget::takeDropped()
{
    return std::exchange(this->dropped, 0);
}

} // namespace Jujubekeel
