#include "programs/fake-backend/backendservice.h"

#include "programs/fake-backend/backenddriver.h"
#include "programs/fake-shared/jsonlog.h"
#include "wire/backendjson.h"
#include "wire/jsonfields.h"
#include "wire/replicationjson.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <nlohmann/json.hpp>

#include <set>
#include <thread>
#include <utility>

namespace Jujubekeel {

namespace {

FakeHttpReply badRequest(const FailureReason &reason)
{
    return errorReply(400, reason.code(), reason.text());
}

bool isAddress(const std::string &text)
{
    try {
        return Poco::Net::SocketAddress(text).port() != 0;
    } catch (const Poco::Exception &) {
        return false;
    }
}

} // namespace

BackendService::BackendService(BackendDriver &newDriver, std::string newName, Duration newConnectTime)
    : driver(newDriver), name(std::move(newName)), connectTime(newConnectTime)
{
}

FakeHttpReply BackendService::handle(const FakeHttpCall &call)
{
    if (call.method == "POST") {
        if (call.path == "/v1/request")
            return this->request(call);
        if (call.path == "/v1/replicate")
            return this->replicate(call);
        if (call.path == "/v1/open")
            return this->open(call);
        if (call.path == "/v1/fault")
            return this->fault(call);
        if (call.path == "/v1/group")
            return this->group(call);
    }
    if (call.method == "GET" && call.path == "/v1/status")
        return this->status();
    if (call.method == "GET" && call.path == "/v1/log")
        return this->log();
    return errorReply(404, ResultCode::UnknownPath, "no such path or method");
}

FakeHttpReply BackendService::open(const FakeHttpCall &call)
{
    FailureReason reason;
    const auto login = backendLoginFromText(call.body, reason);
    if (!login)
        return badRequest(reason);
    if (this->driver.isOpen(call.connection))
        return errorReply(409, ResultCode::MalformedRequest, "the connection has a session already");
    std::this_thread::sleep_for(this->connectTime);
    const auto result = this->driver.open(call.connection, *login, call.isGone);
    if (!result)
        return {.withoutReply = true};
    switch (*result) {
    case OpenResult::Ok:
        return {.body = "{}"};
    case OpenResult::LimitReached:
        return errorReply(503, ResultCode::ConnectionFailed, "the connection limit is reached");
    case OpenResult::NotLockHolder:
        break;
    }
    return errorReply(403, ResultCode::ConnectionFailed, "the instance does not hold the lock");
}

FakeHttpReply BackendService::request(const FakeHttpCall &call)
{
    FailureReason reason;
    const auto request = backendRequestFromText(call.body, reason);
    if (!request)
        return badRequest(reason);
    if (!this->driver.isOpen(call.connection))
        return errorReply(409, ResultCode::MalformedRequest, "the connection has no session");
    const auto answer = this->driver.request(call.connection, *request, call.isGone);
    if (!answer)
        return {.withoutReply = true};
    return {.body = toJsonText(*answer)};
}

FakeHttpReply BackendService::replicate(const FakeHttpCall &call)
{
    FailureReason reason;
    const auto json = parseJsonText(call.body, reason);
    if (!json)
        return badRequest(reason);
    JsonFields fields(*json, {}, reason);
    std::string from;
    fields.read("from", from, FieldPresence::Required);
    const nlohmann::json *content = fields.object("message", FieldPresence::Required);
    if (!fields.isOk())
        return badRequest(reason);
    const auto message = replicationMessageFromJson(*content, reason);
    if (!message)
        return badRequest(reason);
    this->driver.replicate(from, *message);
    return {.body = "{}"};
}

FakeHttpReply BackendService::fault(const FakeHttpCall &call)
{
    FailureReason reason;
    const auto json = parseJsonText(call.body, reason);
    if (!json)
        return badRequest(reason);
    JsonFields fields(*json, {}, reason);
    std::uint32_t applyLagMs = 0;
    bool frozen = false;
    std::set<std::string> cutFrom;
    fields.read("apply_lag_ms", applyLagMs);
    fields.read("frozen", frozen);
    if (const nlohmann::json *names = fields.array("cut_from")) {
        for (const nlohmann::json &item : *names) {
            if (item.is_string())
                cutFrom.insert(item.get<std::string>());
            else
                fields.fail("cut_from", "names are expected");
        }
    }
    if (!fields.isOk())
        return badRequest(reason);

    // Only the faults that the request names change.
    if (json->contains("cut_from"))
        this->driver.setCut(std::move(cutFrom));
    if (json->contains("apply_lag_ms"))
        this->driver.setApplyLag(std::chrono::milliseconds(applyLagMs));
    if (json->contains("frozen"))
        this->driver.setFrozen(frozen);
    writeLogLine("info", "fault-set", {{"faults", dumpJson(*json)}});
    return {.body = "{}"};
}

FakeHttpReply BackendService::group(const FakeHttpCall &call)
{
    FailureReason reason;
    const auto json = parseJsonText(call.body, reason);
    if (!json)
        return badRequest(reason);
    if (!json->is_object())
        return errorReply(400, ResultCode::BadField, "message: an object is expected");
    for (const auto &[server, address] : json->items()) {
        if (!address.is_string() || !isAddress(address.get<std::string>()))
            return errorReply(400, ResultCode::BadField, "field " + server + ": ip:port is expected");
        // The whole group may be sent to each server; its own entry has no meaning.
        if (server != this->name && !this->driver.setAddress(server, address.get<std::string>()))
            return errorReply(400, ResultCode::BadField, "field " + server + ": no such server in the group");
    }
    return {.body = "{}"};
}

FakeHttpReply BackendService::status()
{
    nlohmann::json json;
    this->driver.inspect([&](const FakeBackend &server, TimePoint now) {
        json = {{"name", this->name},
                {"status", toJson(server.status(now))},
                {"counters",
                 {{"peak_slots", server.peakSlots()},
                  {"peak_connections", server.peakConnections()},
                  {"slot_refusals", server.slotRefusals()},
                  {"connection_refusals", server.connectionRefusals()},
                  {"mixed_statements", server.transactionMismatches()}}}};
    });
    return {.body = dumpJson(json)};
}

FakeHttpReply BackendService::log()
{
    nlohmann::json entries = nlohmann::json::array();
    this->driver.inspect([&](const FakeBackend &server, TimePoint) {
        for (const ReplicationAppend::Entry &entry : server.log()) {
            entries.push_back({{"term", entry.term},
                               {"request_key", entry.requestKey},
                               {"statements", entry.statements},
                               {"value", entry.value}});
        }
    });
    return {.body = dumpJson({{"entries", std::move(entries)}})};
}

} // namespace Jujubekeel
