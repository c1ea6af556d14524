#pragma once

#include "core/backendmessages.h"
#include "core/failurereason.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

/// JSON forms of the backend servers' protocol; docs/fakes.md describes them. Readers return an empty optional with
/// MalformedRequest (not JSON) or BadField (names the field) as reason.
namespace Jujubekeel {

[[nodiscard]] std::string_view backendOperationName(BackendOperation operation);
[[nodiscard]] std::string_view backendStatusCodeName(BackendStatusCode code);
[[nodiscard]] std::string_view backendRoleName(BackendRole role);

[[nodiscard]] nlohmann::json toJson(LogPosition position);
[[nodiscard]] nlohmann::json toJson(const TermHistory &history);
[[nodiscard]] nlohmann::json toJson(const ServerStatus &status);
[[nodiscard]] nlohmann::json toJson(const BackendRequest &request);
[[nodiscard]] nlohmann::json toJson(const BackendAnswer &answer);
[[nodiscard]] nlohmann::json toJson(const BackendLogin &login);

/// \a path is the path of the value, which the reason names.
[[nodiscard]] std::optional<LogPosition> logPositionFromJson(const nlohmann::json &json, const std::string &path,
                                                             FailureReason &reason);
[[nodiscard]] std::optional<TermHistory> termHistoryFromJson(const nlohmann::json &json, const std::string &path,
                                                             FailureReason &reason);
[[nodiscard]] std::optional<ServerStatus> serverStatusFromJson(const nlohmann::json &json, const std::string &path,
                                                               FailureReason &reason);
[[nodiscard]] std::optional<BackendRequest> backendRequestFromJson(const nlohmann::json &json, FailureReason &reason);
[[nodiscard]] std::optional<BackendAnswer> backendAnswerFromJson(const nlohmann::json &json, FailureReason &reason);
[[nodiscard]] std::optional<BackendLogin> backendLoginFromJson(const nlohmann::json &json, FailureReason &reason);

// The same as JSON texts, for bodies of HTTP messages.
[[nodiscard]] std::string toJsonText(const BackendRequest &request);
[[nodiscard]] std::string toJsonText(const BackendAnswer &answer);
[[nodiscard]] std::string toJsonText(const BackendLogin &login);
[[nodiscard]] std::optional<BackendRequest> backendRequestFromText(std::string_view text, FailureReason &reason);
[[nodiscard]] std::optional<BackendAnswer> backendAnswerFromText(std::string_view text, FailureReason &reason);
[[nodiscard]] std::optional<BackendLogin> backendLoginFromText(std::string_view text, FailureReason &reason);

} // namespace Jujubekeel
