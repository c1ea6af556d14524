#pragma once

#include "core/failurereason.h"
#include "core/fleetlayout.h"
#include "core/peermessages.h"

#include <optional>
#include <string>
#include <string_view>

/// CBOR forms of the messages between proxies. Ids are sent as names, because two instances may list the same servers
/// in a different order in their settings.
namespace Jujubekeel {

/// Returns the name of the kind of a message, for example "heartbeat" or "forward-request".
[[nodiscard]] std::string_view peerMessageKind(const PeerMessage &message);

/// Returns the CBOR bytes of a message. The ids in \a message must be those of \a layout.
[[nodiscard]] std::string encodePeerMessage(const PeerMessage &message, const FleetLayout &layout);

/// Returns an empty value if \a bytes is not a complete message of a known kind, or if it names an instance, database
/// or backend server that is not in \a layout; the reason names the field or the byte. Reports about unknown backend
/// servers in a heartbeat are skipped instead: during a rollout of new settings, heartbeats must be accepted although
/// the settings of sender and receiver list different servers.
[[nodiscard]] std::optional<PeerMessage> decodePeerMessage(std::string_view bytes, const FleetLayout &layout,
                                                           FailureReason &reason);

} // namespace Jujubekeel
