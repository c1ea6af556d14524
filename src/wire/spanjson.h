#pragma once

#include "core/action.h"

#include <nlohmann/json.hpp>

namespace Jujubekeel {

/// JSON form of a span in log lines and in answers to `GET /v1/trace/{trace id}`. Times are microseconds of the
/// instance's monotonic clock.
[[nodiscard]] nlohmann::ordered_json spanToJson(const Span &span);

} // namespace Jujubekeel
