#pragma once

#include "core/world.h"
#include "net/peersocket.h"

#include <span>
#include <string>

namespace Jujubekeel {

/// JSON response to `GET /v1/status`. Must run on the core thread, between two steps.
[[nodiscard]] std::string statusToJson(const World &world, std::span<const PeerLinkState> links);

/// JSON response to `GET /v1/rules`. Must run on the core thread, between two steps.
[[nodiscard]] std::string rulesToJson(const World &world);

} // namespace Jujubekeel
