#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Jujubekeel {

/// Limit on the operations of an organisation, summed over all instances.
struct RateLimit
{
    double operationsPerSecond = 0;
    double burst = 0; ///< operations above the rate that may follow a quiet time
    bool operator==(const RateLimit &) const = default;
};

/// A customer whose callers share keys, connections to backend servers and a limit.
struct Organisation
{
    std::string name;
    std::uint32_t priority = 0;     ///< 0 is the highest
    std::optional<RateLimit> limit; ///< empty: unlimited
    bool operator==(const Organisation &) const = default;
};

} // namespace Jujubekeel
