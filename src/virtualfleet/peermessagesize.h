#pragma once

#include "core/peermessages.h"

#include <cstdint>

namespace Jujubekeel {

/// Estimated size of a peer message on the wire: the lengths of its texts and eight bytes for each number.
[[nodiscard]] std::uint64_t estimateBytes(const PeerMessage &message);

} // namespace Jujubekeel
