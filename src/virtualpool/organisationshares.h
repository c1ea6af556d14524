#pragma once

#include <cstddef>
#include <vector>

namespace Jujubekeel {

/// Exponent of the demand of organisations by rank. With 86 of them the largest sends 28 % of all work.
inline constexpr double organisationSkew = 1.2;

/// Shares of organisations in the demand, the largest first; their sum is 1.
[[nodiscard]] std::vector<double> organisationShares(std::size_t count);

} // namespace Jujubekeel
