#pragma once

#include "core/time.h"

#include <cstdint>

namespace Jujubekeel {

/// Limits repeated attempts to a share of all requests, so that a failover does not multiply the load. Owned by World;
/// used by RequestSystem.
class RetryBudget final
{
public:
    /// Credits one new request with \a percent hundredths of an attempt.
    void deposit(std::uint32_t percent);
    /// Takes one attempt. \a floorPerSecond attempts a second are always allowed. Returns false if the budget is spent.
    bool tryWithdraw(TimePoint now, std::uint32_t floorPerSecond);

private:
    std::uint64_t credit = 0;    ///< hundredths of an attempt
    std::uint32_t floorUsed = 0; ///< attempts of the floor used in this second
    TimePoint floorStart{0};     ///< start of this second
};

} // namespace Jujubekeel
