#pragma once

#include "core/time.h"

namespace Jujubekeel {

/// Monotonic time that also advances while the machine is suspended (CLOCK_BOOTTIME), so that a resumed process sees
/// at once that its deadlines have passed. Any thread.
[[nodiscard]] TimePoint bootTime();

/// Microseconds of wall-clock time since 1970; used for incarnations and log lines only.
[[nodiscard]] Duration wallClockTime();

} // namespace Jujubekeel
