#include "admission/retrybudget.h"

#include <algorithm>

namespace Jujubekeel {

namespace {

constexpr std::uint64_t wholeAttempt = 100;              // hundredths of an attempt
constexpr std::uint64_t maxCredit = 1000 * wholeAttempt; // bounds the burst of retries after a time without failures

} // namespace

void RetryBudget::deposit(std::uint32_t percent)
{
    this->credit = std::min<std::uint64_t>(this->credit + percent, maxCredit);
}

bool RetryBudget::tryWithdraw(TimePoint now, std::uint32_t floorPerSecond)
{
    // The floor is renewed each second.
    if (now - this->floorStart >= std::chrono::seconds(1)) {
        this->floorStart = now;
        this->floorUsed = 0;
    }
    if (this->floorUsed < floorPerSecond) {
        this->floorUsed += 1;
        return true;
    }
    if (this->credit < wholeAttempt)
        return false;
    this->credit -= wholeAttempt;
    return true;
}

} // namespace Jujubekeel
