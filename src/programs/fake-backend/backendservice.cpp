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

FakeHttpResponse badRequest(const FailureReason &reason)
{
    return errorResponse(400, reason.code(), reason.text());
}

bool isSocketAddress(const std::string &text)
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

FakeHttpResponse BackendService::handle(const FakeHttpRequest &httpRequest)
{
    if (httpRequest.method == "POST") {
        if (httpRequest.path == "/v1/request")
            return this->request(httpRequest);
        if (httpRequest.path == "/v1/replicate")
            return this->replicate(httpRequest);
        if (httpRequest.path == "/v1/open")
            return this->open(httpRequest);
        if (httpRequest.path == "/v1/fault")
            return this->fault(httpRequest);
        if (httpRequest.path == "/v1/group")
            return this->group(httpRequest);
    }
    if (httpRequest.method == "GET" && httpRequest.path == "/v1/status")
        return this->status();
    if (httpRequest.method == "GET" && httpRequest.path == "/v1/log")
        return this->log();
    return errorResponse(404, ResultCode::UnknownPath, "no such path or method");
}

FakeHttpResponse BackendService::open(const FakeHttpRequest &httpRequest)
{
    FailureReason reason;
    const auto login = backendLoginFromText(httpRequest.body, reason);
    if (!login)
        return badRequest(reason);
    if (this->driver.isOpen(httpRequest.connection))
        return errorResponse(409, ResultCode::MalformedRequest, "the connection already has an open session");
    std::this_thread::sleep_for(this->connectTime);
    const auto result = this->driver.open(httpRequest.connection, *login, httpRequest.isDisconnected);
    if (!result)
        return {.closeWithoutResponse = true};
    switch (*result) {
    case OpenResult::Ok:
        return {.body = "{}"};
    case OpenResult::LimitReached:
        return errorResponse(503, ResultCode::ConnectionFailed, "the connection limit is reached");
    case OpenResult::NotLockHolder:
        break;
    }
    return errorResponse(403, ResultCode::ConnectionFailed, "the instance does not hold the lock");
}

FakeHttpResponse BackendService::request(const FakeHttpRequest &httpRequest)
{
    FailureReason reason;
    const auto request = backendRequestFromText(httpRequest.body, reason);
    if (!request)
        return badRequest(reason);
    if (!this->driver.isOpen(httpRequest.connection))
        return errorResponse(409, ResultCode::MalformedRequest, "the connection has no open session");
    const auto answer = this->driver.request(httpRequest.connection, *request, httpRequest.isDisconnected);
    if (!answer)
        return {.closeWithoutResponse = true};
    return {.body = toJsonText(*answer)};
}

FakeHttpResponse BackendService::replicate(const FakeHttpRequest &httpRequest)
{
    FailureReason reason;
    const auto json = parseJsonText(httpRequest.body, reason);
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

FakeHttpResponse BackendService::fault(const FakeHttpRequest &httpRequest)
{
    FailureReason reason;
    const auto json = parseJsonText(httpRequest.body, reason);
    if (!json)
        return badRequest(reason);
    JsonFields fields(*json, {}, reason);
    std::uint32_t applyLagMs = 0;
    bool frozen = false;
    std::set<std::string> isolatedFrom;
    fields.read("apply_lag_ms", applyLagMs);
    fields.read("frozen", frozen);
    if (const nlohmann::json *names = fields.array("cut_from")) {
        for (const nlohmann::json &item : *names) {
            if (item.is_string())
                isolatedFrom.insert(item.get<std::string>());
            else
                fields.fail("cut_from", "an array of strings is expected");
        }
    }
    if (!fields.isOk())
        return badRequest(reason);

    // Faults that the request does not name keep their value.
    if (json->contains("cut_from"))
        this->driver.setIsolatedFrom(std::move(isolatedFrom));
    if (json->contains("apply_lag_ms"))
        this->driver.setApplyLag(std::chrono::milliseconds(applyLagMs));
    if (json->contains("frozen"))
        this->driver.setFrozen(frozen);
    writeLogLine("info", "fault-set", {{"faults", dumpJson(*json)}});
    return {.body = "{}"};
}

FakeHttpResponse BackendService::group(const FakeHttpRequest &httpRequest)
{
    FailureReason reason;
    const auto json = parseJsonText(httpRequest.body, reason);
    if (!json)
        return badRequest(reason);
    if (!json->is_object())
        return errorResponse(400, ResultCode::BadField, "message: an object is expected");
    for (const auto &[server, address] : json->items()) {
        if (!address.is_string() || !isSocketAddress(address.get<std::string>()))
            return errorResponse(400, ResultCode::BadField, "field " + server + ": ip:port is expected");
        // Clients may send the same list to every server of the group; the entry of this server is ignored.
        if (server != this->name && !this->driver.setAddress(server, address.get<std::string>()))
            return errorResponse(400, ResultCode::BadField, "field " + server + ": no such server in the group");
    }
    return {.body = "{}"};
}

FakeHttpResponse BackendService::status()
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

FakeHttpResponse BackendService::log()
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
