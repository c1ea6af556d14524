#pragma once

#include "core/time.h"

namespace Jujubekeel {

/// Seconds and their fraction, for rates.
[[nodiscard]] constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace Jujubekeel
