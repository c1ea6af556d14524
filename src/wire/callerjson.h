#pragma once

#include "core/callermessages.h"
#include "core/failurereason.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

/// JSON forms of the callers' protocol; docs/api.md describes them.
namespace Jujubekeel {

/// Returns a request with operation, kind, statement, transaction and timeout from the body of an HTTP request. Empty
/// on an error; the reason names the field or the byte.
[[nodiscard]] std::optional<CallerRequest> callerRequestFromJson(std::string_view body, FailureReason &reason);

[[nodiscard]] nlohmann::ordered_json decisionToJson(const Decision &decision);
[[nodiscard]] std::string callerAnswerToJson(const CallerAnswer &answer);

/// HTTP status for a result code.
[[nodiscard]] int httpStatus(ResultCode code);

[[nodiscard]] std::string_view requestKindName(RequestKind kind);

/// Parses a W3C `traceparent` header. Empty if it is not valid; the standard requires that such a header is ignored.
[[nodiscard]] std::optional<TraceContext> parseTraceparent(std::string_view text);
[[nodiscard]] std::string formatTraceparent(const TraceContext &trace);

/// Text of a JSON value; bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string dumpJson(const nlohmann::ordered_json &json);

} // namespace Jujubekeel
