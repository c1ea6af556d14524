#pragma once

#include "core/failurereason.h"
#include "core/platformmessages.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

/// JSON forms of the platform's messages. In the HTTP protocol (docs/fakes.md) path, query and headers carry the
/// parts of a call, and the bodies of answers are PlatformAnswer. Readers return an empty optional with
/// MalformedRequest (not JSON) or BadField (names the field) as reason.
namespace Jujubekeel {

[[nodiscard]] std::string_view platformOperationName(PlatformOperation operation);
[[nodiscard]] std::string_view platformStatusCodeName(PlatformStatusCode code);

[[nodiscard]] nlohmann::json toJson(const PlatformCall &call);
[[nodiscard]] nlohmann::json toJson(const PlatformAnswer &answer);
[[nodiscard]] std::optional<PlatformCall> platformCallFromJson(const nlohmann::json &json, FailureReason &reason);
[[nodiscard]] std::optional<PlatformAnswer> platformAnswerFromJson(const nlohmann::json &json, FailureReason &reason);

// The same as JSON texts.
[[nodiscard]] std::string toJsonText(const PlatformCall &call);
[[nodiscard]] std::string toJsonText(const PlatformAnswer &answer);
[[nodiscard]] std::optional<PlatformCall> platformCallFromText(std::string_view text, FailureReason &reason);
[[nodiscard]] std::optional<PlatformAnswer> platformAnswerFromText(std::string_view text, FailureReason &reason);

} // namespace Jujubekeel
