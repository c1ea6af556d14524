#pragma once

#include "core/time.h"

#include <cstdint>

namespace Jujubekeel {

/// Answer of a member to a request for operations of an organisation.
struct RateGrant
{
    std::uint32_t granted = 0;
    Duration retryAfter{0}; ///< if less was granted than requested: time before the next request makes sense
    bool operator==(const RateGrant &) const = default;
};

} // namespace Jujubekeel
