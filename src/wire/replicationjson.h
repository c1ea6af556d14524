#pragma once

#include "core/failurereason.h"
#include "fakes/fakebackend.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

/// JSON forms of the messages between the fake backend servers of a group; docs/fakes.md describes them. Separate from
/// backendjson.h, because the daemon does not use them.
namespace Jujubekeel {

[[nodiscard]] nlohmann::json toJson(const ReplicationMessage &message);
/// Returns an empty value with MalformedRequest or BadField as reason if the message is not valid.
[[nodiscard]] std::optional<ReplicationMessage> replicationMessageFromJson(const nlohmann::json &json,
                                                                           FailureReason &reason);

} // namespace Jujubekeel
