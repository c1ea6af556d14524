#pragma once

#include "core/time.h"

#include <cstdint>

namespace Jujubekeel {

enum class RateVerdict : std::uint8_t {
    Taken,   ///< the operation may run
    Wait,    ///< members are being asked
    Refused, ///< the limit is reached
};

/// Whether an operation of a limited organisation may run.
struct RateDecision
{
    RateVerdict verdict = RateVerdict::Wait;
    Duration retryAfter{0}; ///< Refused: time after which the caller should try again
};

} // namespace Jujubekeel
