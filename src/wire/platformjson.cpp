#include "wire/platformjson.h"

#include "wire/jsonfields.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace Jujubekeel {

namespace {

constexpr std::array<std::pair<std::string_view, PlatformOperation>, 4> operationNames{{
    {"get", PlatformOperation::Get},
    {"put", PlatformOperation::Put},
    {"watch", PlatformOperation::Watch},
    {"list-instances", PlatformOperation::ListInstances},
}};

constexpr std::array<std::pair<std::string_view, PlatformStatusCode>, 5> codeNames{{
    {"ok", PlatformStatusCode::Ok},
    {"unchanged", PlatformStatusCode::Unchanged},
    {"not-found", PlatformStatusCode::NotFound},
    {"conflict", PlatformStatusCode::Conflict},
    {"unavailable", PlatformStatusCode::Unavailable},
}};

template <typename Names, typename Enum>
std::string_view nameOf(const Names &names, Enum value)
{
    const auto *row = std::ranges::find_if(names, [&](const auto &item) { return item.second == value; });
    assert(row != names.end());
    return row->first;
}

} // namespace

std::string_view platformOperationName(PlatformOperation operation)
{
    return nameOf(operationNames, operation);
}

std::string_view platformStatusCodeName(PlatformStatusCode code)
{
    return nameOf(codeNames, code);
}

nlohmann::json toJson(const PlatformCall &call)
{
    return {{"call", call.call},   {"operation", platformOperationName(call.operation)},
            {"key", call.key},     {"expected_version", call.expectedVersion},
            {"value", call.value}, {"wait_us", call.wait.count()}};
}

nlohmann::json toJson(const PlatformAnswer &answer)
{
    nlohmann::json instances = nlohmann::json::array();
    for (const ListedInstance &instance : answer.instances)
        instances.push_back({{"name", instance.name}, {"leaving", instance.leaving}});
    return {{"call", answer.call},
            {"code", platformStatusCodeName(answer.code)},
            {"version", answer.version},
            {"value", answer.value},
            {"instances", std::move(instances)}};
}

std::optional<PlatformCall> platformCallFromJson(const nlohmann::json &json, FailureReason &reason)
{
    JsonFields fields(json, {}, reason);
    PlatformCall call;
    fields.read("call", call.call);
    fields.read<PlatformOperation>("operation", call.operation, operationNames, FieldPresence::Required);
    fields.read("key", call.key);
    fields.read("expected_version", call.expectedVersion);
    fields.read("value", call.value);
    fields.read("wait_us", call.wait);
    return fields.isOk() ? std::optional(std::move(call)) : std::nullopt;
}

std::optional<PlatformAnswer> platformAnswerFromJson(const nlohmann::json &json, FailureReason &reason)
{
    JsonFields fields(json, {}, reason);
    PlatformAnswer answer;
    fields.read("call", answer.call);
    fields.read<PlatformStatusCode>("code", answer.code, codeNames, FieldPresence::Required);
    fields.read("version", answer.version);
    fields.read("value", answer.value);
    if (const nlohmann::json *instances = fields.array("instances")) {
        for (const nlohmann::json &item : *instances) {
            JsonFields itemFields(item, "instances[" + std::to_string(answer.instances.size()) + "]", reason);
            ListedInstance instance;
            itemFields.read("name", instance.name, FieldPresence::Required);
            itemFields.read("leaving", instance.leaving);
            fields.requireNested(itemFields.isOk());
            if (!fields.isOk())
                break;
            answer.instances.push_back(std::move(instance));
        }
    }
    return fields.isOk() ? std::optional(std::move(answer)) : std::nullopt;
}

std::string toJsonText(const PlatformCall &call)
{
    return dumpJson(toJson(call));
}

std::string toJsonText(const PlatformAnswer &answer)
{
    return dumpJson(toJson(answer));
}

std::optional<PlatformCall> platformCallFromText(std::string_view text, FailureReason &reason)
{
    const auto json = parseJsonText(text, reason);
    return json ? platformCallFromJson(*json, reason) : std::nullopt;
}

std::optional<PlatformAnswer> platformAnswerFromText(std::string_view text, FailureReason &reason)
{
    const auto json = parseJsonText(text, reason);
    return json ? platformAnswerFromJson(*json, reason) : std::nullopt;
}

} // namespace Jujubekeel
