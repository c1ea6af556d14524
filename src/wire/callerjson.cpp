#include "wire/callerjson.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdint>
#include <utility>

namespace Jujubekeel {

namespace {

constexpr std::array<std::pair<std::string_view, RequestKind>, 5> kindNames{{
    {"read", RequestKind::Read},
    {"write", RequestKind::Write},
    {"begin", RequestKind::Begin},
    {"commit", RequestKind::Commit},
    {"rollback", RequestKind::Rollback},
}};

/// Longest timeout accepted from callers; the decision library applies a lower limit of its own.
constexpr std::int64_t maxTimeoutMs = std::int64_t{24} * 3600 * 1000;

std::optional<std::string> textField(const nlohmann::json &body, const char *name, FailureReason &reason)
{
    const auto found = body.find(name);
    if (found == body.end())
        return std::string{};
    if (!found->is_string()) {
        reason.set(ResultCode::BadField, std::string("field ") + name + ": a string is expected");
        return std::nullopt;
    }
    return found->get<std::string>();
}

bool isLowerHex(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool isAllZero(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) { return c == '0'; });
}

} // namespace

std::optional<CallerRequest> callerRequestFromJson(std::string_view body, FailureReason &reason)
{
    nlohmann::json json;
    try {
        json = nlohmann::json::parse(body);
    } catch (const nlohmann::json::parse_error &error) {
        reason.set(ResultCode::MalformedRequest, "body: byte " + std::to_string(error.byte) + ": not valid JSON");
        return std::nullopt;
    }
    if (!json.is_object()) {
        reason.set(ResultCode::MalformedRequest, "body: byte 1: an object is expected");
        return std::nullopt;
    }

    // A misspelt field must not be ignored: a missing timeout or transaction changes the meaning of the request.
    static constexpr std::array<std::string_view, 5> known{"operation", "kind", "statement", "transaction",
                                                           "timeout_ms"};
    for (const auto &entry : json.items()) {
        if (std::ranges::find(known, entry.key()) == known.end()) {
            reason.set(ResultCode::BadField, "field " + entry.key() + ": no such field");
            return std::nullopt;
        }
    }

    CallerRequest request;
    auto operation = textField(json, "operation", reason);
    auto kind = textField(json, "kind", reason);
    auto statement = textField(json, "statement", reason);
    auto transaction = textField(json, "transaction", reason);
    if (!operation || !kind || !statement || !transaction)
        return std::nullopt;
    if (operation->empty()) {
        reason.set(ResultCode::BadField, "field operation: missing or empty");
        return std::nullopt;
    }
    const auto *kindRow =
        std::ranges::find(kindNames, std::string_view(*kind), [](const auto &row) { return row.first; });
    if (kindRow == kindNames.end()) {
        reason.set(ResultCode::BadField, "field kind: read, write, begin, commit or rollback is expected");
        return std::nullopt;
    }
    request.kind = kindRow->second;
    if ((request.kind == RequestKind::Read || request.kind == RequestKind::Write) && statement->empty()) {
        reason.set(ResultCode::BadField, "field statement: missing or empty");
        return std::nullopt;
    }
    if ((request.kind == RequestKind::Commit || request.kind == RequestKind::Rollback) && transaction->empty()) {
        reason.set(ResultCode::BadField, "field transaction: missing or empty");
        return std::nullopt;
    }
    request.operation = std::move(*operation);
    request.statement = std::move(*statement);
    request.transaction = std::move(*transaction);

    // Without timeout_ms the decision library applies its default.
    if (const auto timeout = json.find("timeout_ms"); timeout != json.end()) {
        if (!timeout->is_number_integer() || *timeout < 1 || *timeout > maxTimeoutMs) {
            reason.set(ResultCode::BadField,
                       "field timeout_ms: a whole number from 1 to " + std::to_string(maxTimeoutMs) + " is expected");
            return std::nullopt;
        }
        request.timeout = std::chrono::milliseconds(timeout->get<std::int64_t>());
    }
    return request;
}

nlohmann::ordered_json decisionToJson(const Decision &decision)
{
    nlohmann::ordered_json json;
    json["rules_version"] = decision.rulesVersion;
    json["rule_line"] = decision.ruleLine;
    json["rule"] = decision.rule;
    json["requester"] = decision.requester;
    json["backend"] = decision.backend;
    json["owner"] = decision.owner;
    json["reason"] = decision.reason;
    if (decision.age.count() < 0)
        json["age_ms"] = nullptr;
    else
        json["age_ms"] = std::chrono::duration<double, std::milli>(decision.age).count();
    json["attempts"] = decision.attempts;
    return json;
}

std::string callerAnswerToJson(const CallerAnswer &answer)
{
    const ResultCodeInfo &info = resultCodeInfo(answer.code);
    nlohmann::ordered_json json;
    json["id"] = answer.id;
    json["code"] = static_cast<std::uint16_t>(answer.code);
    json["name"] = info.name;
    json["execution"] = executionName(info.execution);
    json["text"] = answer.text;
    json["value"] = answer.value;
    json["session"] = answer.session;
    json["token"] = answer.token;
    json["transaction"] = answer.transaction;
    json["position"] = {{"term", answer.position.term}, {"position", answer.position.position}};
    json["from_replica"] = answer.fromReplica;
    json["repeated"] = answer.repeated;
    json["decision"] = decisionToJson(answer.decision);
    return dumpJson(json);
}

int httpStatus(ResultCode code)
{
    switch (code) {
    case ResultCode::Ok:
        return 200;
    case ResultCode::RequestTooLarge:
        return 413;
    case ResultCode::UnknownDatabase:
    case ResultCode::UnknownPath:
    case ResultCode::NotFound:
        return 404;
    case ResultCode::Unauthorized:
        return 401;
    default:
        break;
    }
    // Codes from 100 to 199 are errors in the request itself.
    if (static_cast<std::uint16_t>(code) < 200)
        return 400;
    switch (resultCodeInfo(code).execution) {
    case Execution::Ran:
        return 200;
    case Execution::NotRun:
        return 503;
    case Execution::Unknown:
        return 504;
    case Execution::Failed:
        return 422;
    }
    return 504;
}

std::string_view requestKindName(RequestKind kind)
{
    const auto *row = std::ranges::find(kindNames, kind, [](const auto &entry) { return entry.second; });
    assert(row != kindNames.end());
    return row->first;
}

std::optional<TraceContext> parseTraceparent(std::string_view text)
{
    // Form: version "-" trace id "-" parent id "-" flags. Later versions may append fields.
    if (text.size() < 55 || text[2] != '-' || text[35] != '-' || text[52] != '-')
        return std::nullopt;
    const std::string_view version = text.substr(0, 2);
    const std::string_view traceId = text.substr(3, 32);
    const std::string_view parent = text.substr(36, 16);
    const std::string_view flags = text.substr(53, 2);
    if (!isLowerHex(version) || !isLowerHex(traceId) || !isLowerHex(parent) || !isLowerHex(flags))
        return std::nullopt;
    if (version == "ff" || isAllZero(traceId) || isAllZero(parent))
        return std::nullopt;
    if ((version == "00" && text.size() != 55) || (text.size() > 55 && text[55] != '-'))
        return std::nullopt;
    const char lastFlag = flags[1];
    const int digit = lastFlag <= '9' ? lastFlag - '0' : lastFlag - 'a' + 10;
    return TraceContext{
        .traceId = std::string(traceId), .parentSpan = std::string(parent), .sampled = (digit & 1) != 0};
}

std::string formatTraceparent(const TraceContext &trace)
{
    return "00-" + trace.traceId + "-" + trace.parentSpan + (trace.sampled ? "-01" : "-00");
}

std::string dumpJson(const nlohmann::ordered_json &json)
{
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace Jujubekeel
