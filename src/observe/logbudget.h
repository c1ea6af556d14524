#pragma once

#include "core/time.h"

#include <cstdint>

namespace Jujubekeel {

struct LogBudgetOptions
{
    std::uint32_t linesPerSecond = 50; ///< in the long run
    std::uint32_t burst = 200;         ///< lines that may come at once after a quiet time
};

/// Bounds the log lines about single requests, so that an overload does not grow by the lines about it. A token bucket;
/// what it refuses is counted. Owned by PoolWorld.
class LogBudget final
{
public:
    explicit LogBudget(LogBudgetOptions budgetOptions = {}) : options(budgetOptions), tokens(budgetOptions.burst) {}

    /// Returns false if the line must be dropped.
    bool take(TimePoint now);
    /// Lines dropped since the last call.
    [[nodiscard]] std::uint64_t takeDropped();

private:
    LogBudgetOptions options;
    double tokens;
    TimePoint refilledAt{0};
    std::uint64_t dropped = 0;
};

} // namespace Jujubekeel
