#include "wire/replicationjson.h"

#include "wire/backendjson.h"
#include "wire/jsonfields.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Jujubekeel {

namespace {

nlohmann::json appendToJson(const ReplicationAppend &append)
{
    nlohmann::json entries = nlohmann::json::array();
    for (const ReplicationAppend::Entry &entry : append.entries) {
        entries.push_back({{"term", entry.term},
                           {"request_key", entry.requestKey},
                           {"statements", entry.statements},
                           {"value", entry.value}});
    }
    return {{"kind", "append"},
            {"term", append.term},
            {"history", toJson(append.history)},
            {"heartbeat", append.heartbeat},
            {"previous", append.previous},
            {"entries", std::move(entries)},
            {"promoter", append.promoter}};
}

nlohmann::json acknowledgeToJson(const ReplicationAcknowledge &acknowledge)
{
    return {{"kind", "acknowledge"},
            {"term", acknowledge.term},
            {"accepted", acknowledge.accepted},
            {"heartbeat", acknowledge.heartbeat},
            {"received", toJson(acknowledge.received)}};
}

std::optional<ReplicationMessage> appendFromJson(const nlohmann::json &json, FailureReason &reason)
{
    JsonFields fields(json, {}, reason);
    ReplicationAppend append;
    fields.read("term", append.term, FieldPresence::Required);
    if (const nlohmann::json *history = fields.array("history", FieldPresence::Required)) {
        auto starts = termHistoryFromJson(*history, "history", reason);
        fields.requireNested(starts.has_value());
        append.history = std::move(starts).value_or(TermHistory{});
    }
    fields.read("heartbeat", append.heartbeat, FieldPresence::Required);
    fields.read("previous", append.previous, FieldPresence::Required);
    if (const nlohmann::json *entries = fields.array("entries", FieldPresence::Required)) {
        for (const nlohmann::json &item : *entries) {
            JsonFields itemFields(item, "entries[" + std::to_string(append.entries.size()) + "]", reason);
            ReplicationAppend::Entry entry;
            itemFields.read("term", entry.term, FieldPresence::Required);
            itemFields.read("request_key", entry.requestKey);
            itemFields.read("statements", entry.statements, FieldPresence::Required);
            itemFields.read("value", entry.value);
            fields.requireNested(itemFields.isOk());
            if (!fields.isOk())
                break;
            append.entries.push_back(std::move(entry));
        }
    }
    fields.read("promoter", append.promoter);
    return fields.isOk() ? std::optional<ReplicationMessage>(std::move(append)) : std::nullopt;
}

std::optional<ReplicationMessage> acknowledgeFromJson(const nlohmann::json &json, FailureReason &reason)
{
    JsonFields fields(json, {}, reason);
    ReplicationAcknowledge acknowledge;
    fields.read("term", acknowledge.term, FieldPresence::Required);
    fields.read("accepted", acknowledge.accepted, FieldPresence::Required);
    fields.read("heartbeat", acknowledge.heartbeat, FieldPresence::Required);
    if (const nlohmann::json *received = fields.object("received", FieldPresence::Required)) {
        const auto position = logPositionFromJson(*received, "received", reason);
        fields.requireNested(position.has_value());
        acknowledge.received = position.value_or(LogPosition{});
    }
    return fields.isOk() ? std::optional<ReplicationMessage>(acknowledge) : std::nullopt;
}

} // namespace

nlohmann::json toJson(const ReplicationMessage &message)
{
    if (const auto *append = std::get_if<ReplicationAppend>(&message))
        return appendToJson(*append);
    return acknowledgeToJson(std::get<ReplicationAcknowledge>(message));
}

std::optional<ReplicationMessage> replicationMessageFromJson(const nlohmann::json &json, FailureReason &reason)
{
    JsonFields fields(json, {}, reason);
    std::string kind;
    fields.read("kind", kind, FieldPresence::Required);
    if (kind == "append")
        return appendFromJson(json, reason);
    if (kind == "acknowledge")
        return acknowledgeFromJson(json, reason);
    fields.fail("kind", "append or acknowledge is expected");
    return std::nullopt;
}

} // namespace Jujubekeel
