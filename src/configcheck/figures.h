#pragma once

#include "core/time.h"

#include <string>

namespace Jujubekeel {

/// Shortest text of a number with at most three decimals, for example `12.5`.
[[nodiscard]] std::string numberText(double number);
/// A duration in milliseconds, for example `0.5 ms`.
[[nodiscard]] std::string millisecondsText(Duration duration);

} // namespace Jujubekeel
