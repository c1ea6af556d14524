#include "wire/backendjson.h"

#include "wire/jsonfields.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>
#include <vector>

namespace Jujubekeel {

namespace {

using Operation = BackendOperation;
using Code = BackendStatusCode;

constexpr std::array<std::pair<std::string_view, Operation>, 15> operationNames{{
    {"status", Operation::Status},
    {"barrier", Operation::Barrier},
    {"lock", Operation::Lock},
    {"preempt-lock", Operation::PreemptLock},
    {"unlock", Operation::Unlock},
    {"terminate-others", Operation::TerminateOthers},
    {"fence", Operation::Fence},
    {"promote", Operation::Promote},
    {"follow", Operation::Follow},
    {"lookup-key", Operation::LookupKey},
    {"execute", Operation::Execute},
    {"begin", Operation::Begin},
    {"execute-inside", Operation::ExecuteInside},
    {"commit", Operation::Commit},
    {"rollback", Operation::Rollback},
}};

constexpr std::array<std::pair<std::string_view, Code>, 13> codeNames{{
    {"ok", Code::Ok},
    {"duplicate", Code::Duplicate},
    {"key-reused", Code::KeyReused},
    {"not-primary", Code::NotPrimary},
    {"wrong-term", Code::WrongTerm},
    {"lock-held", Code::LockHeld},
    {"not-lock-holder", Code::NotLockHolder},
    {"no-transaction", Code::NoTransaction},
    {"transaction-open", Code::TransactionOpen},
    {"barrier-timeout", Code::BarrierTimeout},
    {"key-not-found", Code::KeyNotFound},
    {"statement-error", Code::StatementError},
    {"slots-busy", Code::SlotsBusy},
}};

constexpr std::array<std::pair<std::string_view, BackendRole>, 3> roleNames{{
    {"unknown", BackendRole::Unknown},
    {"primary", BackendRole::Primary},
    {"replica", BackendRole::Replica},
}};

template <typename Names, typename Enum>
std::string_view nameOf(const Names &names, Enum value)
{
    const auto *row = std::ranges::find_if(names, [&](const auto &item) { return item.second == value; });
    assert(row != names.end());
    return row->first;
}

void readPosition(JsonFields &fields, const char *name, LogPosition &target, FailureReason &reason)
{
    const nlohmann::json *value = fields.object(name);
    if (value == nullptr)
        return;
    const auto position = logPositionFromJson(*value, fields.pathOf(name), reason);
    fields.requireNested(position.has_value());
    target = position.value_or(LogPosition{});
}

} // namespace

std::string_view backendOperationName(BackendOperation operation)
{
    return nameOf(operationNames, operation);
}

std::string_view backendStatusCodeName(BackendStatusCode code)
{
    return nameOf(codeNames, code);
}

std::string_view backendRoleName(BackendRole role)
{
    return nameOf(roleNames, role);
}

nlohmann::json toJson(LogPosition position)
{
    return {{"term", position.term}, {"position", position.position}};
}

nlohmann::json toJson(const TermHistory &history)
{
    nlohmann::json json = nlohmann::json::array();
    for (const TermStart &start : history.starts())
        json.push_back({{"term", start.term}, {"start", start.start}});
    return json;
}

nlohmann::json toJson(const ServerStatus &status)
{
    nlohmann::json replicas = nlohmann::json::array();
    for (const ReplicaAcknowledgement &replica : status.replicas)
        replicas.push_back({{"server", replica.server}, {"received", toJson(replica.received)}});
    return {{"role", backendRoleName(status.role)},
            {"fenced_term", status.fencedTerm},
            {"fenced_by", status.fencedBy},
            {"received", toJson(status.received)},
            {"applied", toJson(status.applied)},
            {"history", toJson(status.history)},
            {"primary", status.primary},
            {"primary_silence_us", status.primarySilence.count()},
            {"replicas", std::move(replicas)},
            {"connections", status.connections},
            {"slots_in_use", status.slotsInUse},
            {"lock_holder", status.lockHolder}};
}

nlohmann::json toJson(const BackendRequest &request)
{
    return {{"serial", request.serial},
            {"operation", backendOperationName(request.operation)},
            {"instance", request.instance},
            {"statement", request.statement},
            {"write", request.write},
            {"request_key", request.requestKey},
            {"transaction", request.transaction},
            {"term", request.term},
            {"position", request.position},
            {"primary", request.primary},
            {"wait_us", request.wait.count()}};
}

nlohmann::json toJson(const BackendAnswer &answer)
{
    nlohmann::json json{
        {"serial", answer.serial}, {"code", backendStatusCodeName(answer.code)}, {"value", answer.value},
        {"text", answer.text},     {"position", toJson(answer.position)},        {"transaction", answer.transaction}};
    if (answer.status)
        json["status"] = toJson(*answer.status);
    return json;
}

nlohmann::json toJson(const BackendLogin &login)
{
    return {{"instance", login.instance}, {"control", login.control}};
}

std::optional<LogPosition> logPositionFromJson(const nlohmann::json &json, const std::string &path,
                                               FailureReason &reason)
{
    JsonFields fields(json, path, reason);
    LogPosition position;
    fields.read("term", position.term, FieldPresence::Required);
    fields.read("position", position.position, FieldPresence::Required);
    return fields.isOk() ? std::optional(position) : std::nullopt;
}

std::optional<TermHistory> termHistoryFromJson(const nlohmann::json &json, const std::string &path,
                                               FailureReason &reason)
{
    if (!json.is_array()) {
        reason.set(ResultCode::BadField, "field " + path + ": an array is expected");
        return std::nullopt;
    }
    std::vector<TermStart> starts;
    for (const nlohmann::json &item : json) {
        JsonFields fields(item, path + "[" + std::to_string(starts.size()) + "]", reason);
        TermStart start;
        fields.read("term", start.term, FieldPresence::Required);
        fields.read("start", start.start, FieldPresence::Required);
        // With a history out of order, a discarded write could be taken for one that survived.
        const bool ascending =
            starts.empty() || (start.term > starts.back().term && start.start >= starts.back().start);
        if (start.term == 0 || !ascending)
            fields.fail({}, "terms must rise from 1 and starts must not fall");
        if (!fields.isOk())
            return std::nullopt;
        starts.push_back(start);
    }
    return TermHistory(starts);
}

std::optional<ServerStatus> serverStatusFromJson(const nlohmann::json &json, const std::string &path,
                                                 FailureReason &reason)
{
    JsonFields fields(json, path, reason);
    ServerStatus status;
    fields.read<BackendRole>("role", status.role, roleNames, FieldPresence::Required);
    fields.read("fenced_term", status.fencedTerm, FieldPresence::Required);
    fields.read("fenced_by", status.fencedBy);
    readPosition(fields, "received", status.received, reason);
    readPosition(fields, "applied", status.applied, reason);
    if (const nlohmann::json *history = fields.array("history")) {
        auto starts = termHistoryFromJson(*history, fields.pathOf("history"), reason);
        fields.requireNested(starts.has_value());
        status.history = std::move(starts).value_or(TermHistory{});
    }
    fields.read("primary", status.primary);
    fields.read("primary_silence_us", status.primarySilence);
    if (const nlohmann::json *replicas = fields.array("replicas")) {
        for (const nlohmann::json &item : *replicas) {
            const std::string itemPath = fields.pathOf("replicas") + "[" + std::to_string(status.replicas.size()) + "]";
            JsonFields itemFields(item, itemPath, reason);
            ReplicaAcknowledgement replica;
            itemFields.read("server", replica.server, FieldPresence::Required);
            readPosition(itemFields, "received", replica.received, reason);
            fields.requireNested(itemFields.isOk());
            if (!fields.isOk())
                break;
            status.replicas.push_back(std::move(replica));
        }
    }
    fields.read("connections", status.connections);
    fields.read("slots_in_use", status.slotsInUse);
    fields.read("lock_holder", status.lockHolder);
    return fields.isOk() ? std::optional(std::move(status)) : std::nullopt;
}

std::optional<BackendRequest> backendRequestFromJson(const nlohmann::json &json, FailureReason &reason)
{
    JsonFields fields(json, {}, reason);
    BackendRequest request;
    fields.read("serial", request.serial, FieldPresence::Required);
    fields.read<BackendOperation>("operation", request.operation, operationNames, FieldPresence::Required);
    fields.read("instance", request.instance);
    fields.read("statement", request.statement);
    fields.read("write", request.write);
    fields.read("request_key", request.requestKey);
    fields.read("transaction", request.transaction);
    fields.read("term", request.term);
    fields.read("position", request.position);
    fields.read("primary", request.primary);
    fields.read("wait_us", request.wait);
    return fields.isOk() ? std::optional(std::move(request)) : std::nullopt;
}

std::optional<BackendAnswer> backendAnswerFromJson(const nlohmann::json &json, FailureReason &reason)
{
    JsonFields fields(json, {}, reason);
    BackendAnswer answer;
    fields.read("serial", answer.serial, FieldPresence::Required);
    fields.read<BackendStatusCode>("code", answer.code, codeNames, FieldPresence::Required);
    fields.read("value", answer.value);
    fields.read("text", answer.text);
    readPosition(fields, "position", answer.position, reason);
    fields.read("transaction", answer.transaction);
    if (const nlohmann::json *status = fields.object("status")) {
        answer.status = serverStatusFromJson(*status, "status", reason);
        fields.requireNested(answer.status.has_value());
    }
    return fields.isOk() ? std::optional(std::move(answer)) : std::nullopt;
}

std::optional<BackendLogin> backendLoginFromJson(const nlohmann::json &json, FailureReason &reason)
{
    JsonFields fields(json, {}, reason);
    BackendLogin login;
    fields.read("instance", login.instance, FieldPresence::Required);
    fields.read("control", login.control);
    return fields.isOk() ? std::optional(std::move(login)) : std::nullopt;
}

std::string toJsonText(const BackendRequest &request)
{
    return dumpJson(toJson(request));
}

std::string toJsonText(const BackendAnswer &answer)
{
    return dumpJson(toJson(answer));
}

std::string toJsonText(const BackendLogin &login)
{
    return dumpJson(toJson(login));
}

std::optional<BackendRequest> backendRequestFromText(std::string_view text, FailureReason &reason)
{
    const auto json = parseJsonText(text, reason);
    return json ? backendRequestFromJson(*json, reason) : std::nullopt;
}

std::optional<BackendAnswer> backendAnswerFromText(std::string_view text, FailureReason &reason)
{
    const auto json = parseJsonText(text, reason);
    return json ? backendAnswerFromJson(*json, reason) : std::nullopt;
}

std::optional<BackendLogin> backendLoginFromText(std::string_view text, FailureReason &reason)
{
    const auto json = parseJsonText(text, reason);
    return json ? backendLoginFromJson(*json, reason) : std::nullopt;
}

} // namespace Jujubekeel
