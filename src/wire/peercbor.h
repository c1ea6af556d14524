#pragma once

#include "core/failurereason.h"
#include "core/fleetlayout.h"
#include "core/peermessages.h"

#include <optional>
#include <string>
#include <string_view>

/// CBOR forms of the messages between proxies. Ids travel as names, because two instances may number the rows of their
/// settings differently.
namespace Jujubekeel {

/// Name of the kind of a message, for example "heartbeat" or "forward-request".
[[nodiscard]] std::string_view peerMessageKind(const PeerMessage &message);

/// Ids in \a message must be those of \a layout.
[[nodiscard]] std::string encodePeerMessage(const PeerMessage &message, const FleetLayout &layout);

/// Empty if \a bytes is not a complete message of a known kind, or if it names what \a layout does not hold; the reason
/// names the place. In a heartbeat, reports about unknown backend servers are left out instead: while new settings are
/// rolled out, instances must not lose sight of each other because one of them knows a server more.
[[nodiscard]] std::optional<PeerMessage> decodePeerMessage(std::string_view bytes, const FleetLayout &layout,
                                                           FailureReason &reason);

} // namespace Jujubekeel
