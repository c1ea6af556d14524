#include "wire/peercbor.h"

#include "wire/cborcheck.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <type_traits>
#include <utility>
#include <vector>

namespace Jujubekeel {

namespace {

using Json = nlohmann::json;

/// Accepted levels of nesting; the deepest message has four: heartbeat, reports, report, history.
constexpr std::size_t maxDepth = 6;
/// Largest accepted number of terms in a history.
constexpr std::size_t maxHistoryTerms = 4096;
/// Largest accepted time in microseconds; the sum of two times stays within 64 bits.
constexpr std::int64_t maxTimeUs = std::int64_t{1} << 53U;

constexpr std::array<std::string_view, std::variant_size_v<PeerMessage>> kindNames{
    "heartbeat",      "rules-update", "rules-query",   "promotion-notice", "handover",      "forward-request",
    "forward-answer", "holder-query", "holder-answer", "write-pause",      "writes-drained"};

/// Writes the fields of a message. Omits fields with their default value, because heartbeats are most of the control
/// traffic.
class FieldWriter final
{
public:
    FieldWriter(Json &target, const FleetLayout &fleetLayout) : object(target), layout(fleetLayout)
    {
        this->object = Json::object();
    }

    void number(const char *name, std::uint64_t value)
    {
        if (value != 0)
            this->object[name] = value;
    }
    void duration(const char *name, Duration value)
    {
        if (value.count() != 0)
            this->object[name] = value.count();
    }
    void text(const char *name, const std::string &value)
    {
        if (!value.empty())
            this->object[name] = value;
    }
    void flag(const char *name, bool value)
    {
        if (value)
            this->object[name] = true;
    }
    void position(const char *name, LogPosition value)
    {
        if (value != LogPosition{})
            this->object[name] = Json::array({value.term, value.position});
    }
    void history(const char *name, const TermHistory &value)
    {
        if (value.starts().empty())
            return;
        Json list = Json::array();
        for (const TermStart &start : value.starts()) {
            list.push_back(start.term);
            list.push_back(start.start);
        }
        this->object[name] = std::move(list);
    }
    void backend(const char *name, BackendId id)
    {
        if (id.isValid())
            this->object[name] = this->layout.at(id).name;
    }
    void database(const char *name, DatabaseId id)
    {
        if (id.isValid())
            this->object[name] = this->layout.at(id).name;
    }
    void instance(const char *name, InstanceId id)
    {
        if (id.isValid())
            this->object[name] = this->layout.at(id).name;
    }

private:
    Json &object;
    const FleetLayout &layout;
};

/// Reads the fields of a message. The first error sets the reason, and all later reads return default values. Unknown
/// fields are ignored, so that a later version can add some.
class FieldReader final
{
public:
    FieldReader(const Json &source, const FleetLayout &fleetLayout, FailureReason &failureReason)
        : object(source), layout(fleetLayout), reason(failureReason)
    {
        if (!source.is_object())
            this->fail("message", "a map is expected");
    }

    [[nodiscard]] bool ok() const { return this->valid; }

    std::uint64_t number(const char *name)
    {
        const Json *value = this->find(name);
        if (value == nullptr)
            return 0;
        if (!value->is_number_unsigned()) {
            this->fail(name, "a whole number is expected");
            return 0;
        }
        return value->get<std::uint64_t>();
    }
    std::uint32_t smallNumber(const char *name)
    {
        const std::uint64_t value = this->number(name);
        if (value > UINT32_MAX) {
            this->fail(name, "number is out of range");
            return 0;
        }
        return static_cast<std::uint32_t>(value);
    }
    Duration duration(const char *name)
    {
        const Json *value = this->find(name);
        if (value == nullptr)
            return Duration{0};
        if (!value->is_number_integer()
            || (value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(maxTimeUs))
            || value->get<std::int64_t>() < -maxTimeUs) {
            this->fail(name, "a time in microseconds is expected");
            return Duration{0};
        }
        return Duration{value->get<std::int64_t>()};
    }
    std::string text(const char *name)
    {
        const Json *value = this->find(name);
        if (value == nullptr)
            return {};
        if (!value->is_string()) {
            this->fail(name, "a string is expected");
            return {};
        }
        return value->get<std::string>();
    }
    bool flag(const char *name)
    {
        const Json *value = this->find(name);
        if (value == nullptr)
            return false;
        if (!value->is_boolean()) {
            this->fail(name, "true or false is expected");
            return false;
        }
        return value->get<bool>();
    }
    LogPosition position(const char *name)
    {
        const std::vector<std::uint64_t> list = this->numbers(name);
        if (list.empty())
            return {};
        if (list.size() != 2) {
            this->fail(name, "term and position are expected");
            return {};
        }
        return LogPosition{.term = list[0], .position = list[1]};
    }
    TermHistory history(const char *name)
    {
        const std::vector<std::uint64_t> list = this->numbers(name);
        if (list.size() % 2 != 0 || list.size() > maxHistoryTerms * 2) {
            this->fail(name, "pairs of term and start are expected");
            return {};
        }
        std::vector<TermStart> starts;
        for (std::size_t index = 0; index < list.size(); index += 2) {
            if (!starts.empty() && (list[index] <= starts.back().term || list[index + 1] < starts.back().start)) {
                this->fail(name, "terms must ascend");
                return {};
            }
            starts.push_back(TermStart{.term = list[index], .start = list[index + 1]});
        }
        return TermHistory(starts);
    }
    BackendId optionalBackend(const char *name)
    {
        const std::string value = this->text(name);
        if (value.empty())
            return {};
        const BackendId id = this->layout.findBackend(value);
        if (!id.isValid())
            this->fail(name, "backend server is not in the settings");
        return id;
    }
    BackendId backend(const char *name)
    {
        const BackendId id = this->optionalBackend(name);
        if (this->valid && !id.isValid())
            this->fail(name, "missing");
        return id;
    }
    DatabaseId database(const char *name)
    {
        const DatabaseId id = this->layout.findDatabase(this->text(name));
        if (this->valid && !id.isValid())
            this->fail(name, "database is not in the settings");
        return id;
    }
    InstanceId instance(const char *name)
    {
        const InstanceId id = this->layout.findInstance(this->text(name));
        if (this->valid && !id.isValid())
            this->fail(name, "instance is not in the settings");
        return id;
    }
    const Json *find(const char *name) const
    {
        if (!this->valid)
            return nullptr;
        const auto found = this->object.find(name);
        return found == this->object.end() ? nullptr : &*found;
    }
    void fail(const char *name, const char *text)
    {
        if (!this->valid)
            return;
        this->valid = false;
        this->reason.set(ResultCode::BadField, std::string("field ") + name + ": " + text);
    }

private:
    std::vector<std::uint64_t> numbers(const char *name)
    {
        const Json *value = this->find(name);
        if (value == nullptr)
            return {};
        std::vector<std::uint64_t> list;
        if (value->is_array()) {
            for (const Json &item : *value) {
                if (!item.is_number_unsigned())
                    break;
                list.push_back(item.get<std::uint64_t>());
            }
        }
        if (list.empty() || list.size() != value->size()) {
            this->fail(name, "a list of whole numbers is expected");
            return {};
        }
        return list;
    }

    const Json &object;
    const FleetLayout &layout;
    FailureReason &reason;
    bool valid = true;
};

// Heartbeat

void write(FieldWriter &fields, Json &object, const FleetLayout &layout, const Heartbeat &message)
{
    fields.number("inc", message.incarnation);
    fields.duration("at", message.sentAt);
    fields.duration("echo", message.echo);
    fields.number("echoinc", message.echoIncarnation);
    fields.number("rules", message.rulesVersion);
    fields.flag("leaving", message.leaving);
    if (message.owned.empty())
        return;
    Json owned = Json::array();
    for (const BackendReport &report : message.owned) {
        Json row;
        FieldWriter rowFields(row, layout);
        rowFields.backend("b", report.backend);
        rowFields.flag("p", report.primary);
        rowFields.position("a", report.applied);
        rowFields.position("r", report.received);
        rowFields.history("h", report.history);
        if (report.confirmedAge.count() >= 0)
            row["age"] = report.confirmedAge.count();
        rowFields.number("q", report.queueLength);
        rowFields.flag("c", report.closing);
        owned.push_back(std::move(row));
    }
    object["owned"] = std::move(owned);
}

void read(FieldReader &fields, const FleetLayout &layout, FailureReason &reason, Heartbeat &message)
{
    message.incarnation = fields.number("inc");
    message.sentAt = fields.duration("at");
    message.echo = fields.duration("echo");
    message.echoIncarnation = fields.number("echoinc");
    message.rulesVersion = fields.number("rules");
    message.leaving = fields.flag("leaving");
    const Json *owned = fields.find("owned");
    if (owned == nullptr)
        return;
    if (!owned->is_array()) {
        fields.fail("owned", "a list is expected");
        return;
    }
    for (const Json &row : *owned) {
        FieldReader rowFields(row, layout, reason);
        BackendReport report;
        report.backend = layout.findBackend(rowFields.text("b"));
        report.primary = rowFields.flag("p");
        report.applied = rowFields.position("a");
        report.received = rowFields.position("r");
        report.history = rowFields.history("h");
        report.confirmedAge = rowFields.find("age") == nullptr ? Duration{-1} : rowFields.duration("age");
        report.queueLength = rowFields.smallNumber("q");
        report.closing = rowFields.flag("c");
        if (!rowFields.ok()) {
            fields.fail("owned", reason.text().c_str());
            return;
        }
        if (report.backend.isValid())
            message.owned.push_back(std::move(report));
    }
}

// Rules, promotion, handover

void write(FieldWriter &fields, Json &, const FleetLayout &, const RulesUpdate &message)
{
    fields.number("version", message.version);
    fields.text("text", message.text);
}

void read(FieldReader &fields, const FleetLayout &, FailureReason &, RulesUpdate &message)
{
    message.version = fields.number("version");
    message.text = fields.text("text");
}

void write(FieldWriter &fields, Json &, const FleetLayout &, const RulesQuery &message)
{
    fields.number("have", message.knownVersion);
}

void read(FieldReader &fields, const FleetLayout &, FailureReason &, RulesQuery &message)
{
    message.knownVersion = fields.number("have");
}

void write(FieldWriter &fields, Json &, const FleetLayout &, const PromotionNotice &message)
{
    fields.database("database", message.database);
    fields.backend("primary", message.primary);
    fields.number("term", message.start.term);
    fields.number("start", message.start.start);
}

void read(FieldReader &fields, const FleetLayout &layout, FailureReason &, PromotionNotice &message)
{
    message.database = fields.database("database");
    message.primary = fields.backend("primary");
    message.start.term = fields.number("term");
    message.start.start = fields.number("start");
    if (fields.ok() && layout.at(message.primary).database != message.database)
        fields.fail("primary", "backend server belongs to another database");
}

void write(FieldWriter &fields, Json &, const FleetLayout &, const Handover &message)
{
    fields.backend("backend", message.backend);
}

void read(FieldReader &fields, const FleetLayout &, FailureReason &, Handover &message)
{
    message.backend = fields.backend("backend");
}

// Forwarded requests

void write(FieldWriter &fields, Json &, const FleetLayout &, const ForwardRequest &message)
{
    fields.number("forward", message.forwardId);
    fields.backend("backend", message.backend);
    fields.position("mark", message.mark);
    fields.number("term", message.term);
    fields.flag("barrier", message.barrier);
    fields.flag("norepeat", message.notRepeatable);
    fields.flag("lookup", message.lookup);
    const CallerRequest &request = message.request;
    fields.number("ticket", request.ticket);
    fields.text("id", request.id);
    fields.text("database", request.database);
    fields.text("caller", request.caller);
    fields.text("session", request.session);
    fields.text("token", request.token);
    fields.text("operation", request.operation);
    fields.number("kind", static_cast<std::uint64_t>(request.kind));
    fields.text("statement", request.statement);
    fields.text("key", request.requestKey);
    fields.text("transaction", request.transaction);
    fields.duration("timeout", request.timeout);
    fields.text("trace", request.trace.traceId);
    fields.text("span", request.trace.parentSpan);
    fields.flag("sampled", request.trace.sampled);
}

void read(FieldReader &fields, const FleetLayout &, FailureReason &, ForwardRequest &message)
{
    message.forwardId = fields.number("forward");
    message.backend = fields.backend("backend");
    message.mark = fields.position("mark");
    message.term = fields.number("term");
    message.barrier = fields.flag("barrier");
    message.notRepeatable = fields.flag("norepeat");
    message.lookup = fields.flag("lookup");
    CallerRequest &request = message.request;
    request.ticket = fields.number("ticket");
    request.id = fields.text("id");
    request.database = fields.text("database");
    request.caller = fields.text("caller");
    request.session = fields.text("session");
    request.token = fields.text("token");
    request.operation = fields.text("operation");
    const std::uint64_t kind = fields.number("kind");
    if (kind > static_cast<std::uint64_t>(RequestKind::Rollback))
        fields.fail("kind", "no such kind of request");
    else
        request.kind = static_cast<RequestKind>(kind);
    request.statement = fields.text("statement");
    request.requestKey = fields.text("key");
    request.transaction = fields.text("transaction");
    request.timeout = fields.duration("timeout");
    request.trace.traceId = fields.text("trace");
    request.trace.parentSpan = fields.text("span");
    request.trace.sampled = fields.flag("sampled");
}

void write(FieldWriter &fields, Json &, const FleetLayout &, const ForwardAnswer &message)
{
    fields.number("forward", message.forwardId);
    fields.number("code", static_cast<std::uint64_t>(message.code));
    fields.text("text", message.text);
    fields.text("value", message.value);
    fields.text("transaction", message.transaction);
    fields.position("position", message.position);
    fields.history("history", message.history);
    fields.flag("repeated", message.repeated);
    fields.backend("primary", message.primary);
}

void read(FieldReader &fields, const FleetLayout &, FailureReason &, ForwardAnswer &message)
{
    message.forwardId = fields.number("forward");
    const std::uint64_t code = fields.number("code");
    bool known = false;
    for (const ResultCodeInfo &row : resultCodeTable()) {
        if (static_cast<std::uint64_t>(row.code) == code) {
            message.code = row.code;
            known = true;
        }
    }
    if (!known)
        fields.fail("code", "no such result code");
    message.text = fields.text("text");
    message.value = fields.text("value");
    message.transaction = fields.text("transaction");
    message.position = fields.position("position");
    message.history = fields.history("history");
    message.repeated = fields.flag("repeated");
    message.primary = fields.optionalBackend("primary");
}

// Ownership and planned switchover

void write(FieldWriter &fields, Json &, const FleetLayout &, const HolderQuery &message)
{
    fields.backend("backend", message.backend);
    fields.instance("holder", message.holder);
}

void read(FieldReader &fields, const FleetLayout &, FailureReason &, HolderQuery &message)
{
    message.backend = fields.backend("backend");
    message.holder = fields.instance("holder");
}

void write(FieldWriter &fields, Json &, const FleetLayout &, const HolderAnswer &message)
{
    fields.backend("backend", message.backend);
    fields.instance("holder", message.holder);
    fields.flag("heard", message.heard);
}

void read(FieldReader &fields, const FleetLayout &, FailureReason &, HolderAnswer &message)
{
    message.backend = fields.backend("backend");
    message.holder = fields.instance("holder");
    message.heard = fields.flag("heard");
}

void write(FieldWriter &fields, Json &, const FleetLayout &, const WritePause &message)
{
    fields.database("database", message.database);
    fields.number("term", message.term);
    fields.flag("paused", message.paused);
    fields.duration("lasting", message.duration);
}

void read(FieldReader &fields, const FleetLayout &, FailureReason &, WritePause &message)
{
    message.database = fields.database("database");
    message.term = fields.number("term");
    message.paused = fields.flag("paused");
    message.duration = fields.duration("lasting");
}

void write(FieldWriter &fields, Json &, const FleetLayout &, const WritesDrained &message)
{
    fields.database("database", message.database);
    fields.number("term", message.term);
    fields.position("position", message.position);
}

void read(FieldReader &fields, const FleetLayout &, FailureReason &, WritesDrained &message)
{
    message.database = fields.database("database");
    message.term = fields.number("term");
    message.position = fields.position("position");
}

template <typename Message>
std::optional<PeerMessage> decodeAs(const Json &json, const FleetLayout &layout, FailureReason &reason)
{
    FieldReader fields(json, layout, reason);
    Message message;
    read(fields, layout, reason, message);
    if (!fields.ok())
        return std::nullopt;
    return PeerMessage{std::move(message)};
}

template <std::size_t... Indexes>
std::optional<PeerMessage> decodeKind(std::string_view kind, const Json &json, const FleetLayout &layout,
                                      FailureReason &reason, std::index_sequence<Indexes...>)
{
    std::optional<PeerMessage> result;
    const bool known =
        ((kind == kindNames[Indexes]
          && (result = decodeAs<std::variant_alternative_t<Indexes, PeerMessage>>(json, layout, reason), true))
         || ...);
    if (!known)
        reason.set(ResultCode::MalformedRequest, "field k: unknown kind of message");
    return result;
}

} // namespace

std::string_view peerMessageKind(const PeerMessage &message)
{
    return kindNames.at(message.index());
}

std::string encodePeerMessage(const PeerMessage &message, const FleetLayout &layout)
{
    Json json;
    FieldWriter fields(json, layout);
    std::visit([&](const auto &content) { write(fields, json, layout, content); }, message);
    json["k"] = kindNames.at(message.index());
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

std::optional<PeerMessage> decodePeerMessage(std::string_view bytes, const FleetLayout &layout, FailureReason &reason)
{
    if (const auto error = checkCbor(bytes, maxDepth)) {
        reason.set(ResultCode::MalformedRequest, "byte " + std::to_string(error->byte) + ": " + error->text);
        return std::nullopt;
    }
    const Json json = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!json.is_object()) {
        reason.set(ResultCode::MalformedRequest, "byte 0: a map with text keys is expected");
        return std::nullopt;
    }
    const auto kind = json.find("k");
    if (kind == json.end() || !kind->is_string()) {
        reason.set(ResultCode::MalformedRequest, "field k: the kind of message is missing");
        return std::nullopt;
    }
    return decodeKind(kind->get_ref<const std::string &>(), json, layout, reason,
                      std::make_index_sequence<kindNames.size()>());
}

} // namespace Jujubekeel
