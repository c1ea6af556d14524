#pragma once

#include <chrono>

namespace Jujubekeel {

using Duration = std::chrono::microseconds;

/// A point in time: microseconds since an arbitrary origin of the process's monotonic clock.
/// Points of different processes are never compared.
using TimePoint = std::chrono::microseconds;

} // namespace Jujubekeel
