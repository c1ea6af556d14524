#pragma once

#include "core/time.h"

#include <cstdint>

namespace Jujubekeel {

/// Limits retries to a share of all requests, so that a failover does not multiply the load. Owned by World; used by
/// RequestSystem.
class RetryBudget final
{
public:
    /// Adds \a percent hundredths of an attempt to the budget; called once for each new request.
    void deposit(std::uint32_t percent);
    /// Takes one attempt from the budget. \a floorPerSecond attempts in each second are always allowed. Returns false
    /// if the budget is exhausted.
    bool tryWithdraw(TimePoint now, std::uint32_t floorPerSecond);

private:
    std::uint64_t credit = 0;    ///< hundredths of an attempt
    std::uint32_t floorUsed = 0; ///< attempts within the floor in the current second
    TimePoint floorStart{0};     ///< start of the current second
};

} // namespace Jujubekeel
