#pragma once

#include "core/time.h"

namespace Jujubekeel {

/// Monotonic time that also advances while the machine is suspended (CLOCK_BOOTTIME), so that a deadline that expires
/// during a suspension is detected right after it. Any thread.
[[nodiscard]] TimePoint bootTime();

/// Wall-clock time since 1970 in microseconds; used for incarnations and log lines only. Any thread.
[[nodiscard]] Duration wallClockTime();

} // namespace Jujubekeel
