#include "programs/fake-platform/platformservice.h"

#include "programs/fake-platform/platformdriver.h"
#include "programs/fake-shared/jsonlog.h"
#include "wire/jsonfields.h"
#include "wire/platformjson.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>
#include <string_view>

namespace Jujubekeel {

namespace {

constexpr std::string_view objectsPath = "/v1/objects/";
constexpr std::string_view instancesPath = "/v1/instances/";
constexpr std::size_t valueLimit = std::size_t{1024} * 1024;
constexpr std::uint64_t longestWaitMs = 60'000;

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

bool isUtf8(const std::string &text)
{
    try {
        return !nlohmann::json(text).dump().empty();
    } catch (const nlohmann::json::type_error &) {
        return false;
    }
}

FakeHttpReply makeReply(const std::optional<PlatformAnswer> &answer)
{
    if (!answer)
        return {.withoutReply = true};
    FakeHttpReply reply{.body = toJsonText(*answer), .etag = std::to_string(answer->version)};
    if (answer->code == PlatformStatusCode::NotFound)
        reply.status = 404;
    if (answer->code == PlatformStatusCode::Conflict)
        reply.status = 412;
    return reply;
}

} // namespace

PlatformService::PlatformService(PlatformDriver &newDriver) : driver(newDriver)
{
}

FakeHttpReply PlatformService::handle(const FakeHttpCall &call)
{
    if (call.path.starts_with(objectsPath) && call.path.size() > objectsPath.size())
        return this->object(call, call.path.substr(objectsPath.size()));
    if (call.path.starts_with(instancesPath) && call.path.size() > instancesPath.size())
        return this->instance(call, call.path.substr(instancesPath.size()));
    if (call.method == "GET" && call.path == "/v1/instances") {
        FakeHttpReply reply = makeReply(this->driver.ask({.operation = PlatformOperation::ListInstances}, call.isGone));
        reply.etag.clear();
        return reply;
    }
    if (call.method == "GET" && call.path == "/v1/counters")
        return this->counters();
    if (call.method == "POST" && call.path == "/v1/fault")
        return this->fault(call);
    return errorReply(404, ResultCode::UnknownPath, "no such path or method");
}

FakeHttpReply PlatformService::object(const FakeHttpCall &call, const std::string &key)
{
    PlatformCall request{.key = key};
    if (call.method == "PUT") {
        request.operation = PlatformOperation::Put;
        const auto expected = parseNumber(call.ifMatch);
        if (!expected)
            return errorReply(428, ResultCode::BadField, "header If-Match: the expected version is missing");
        if (call.body.size() > valueLimit)
            return errorReply(413, ResultCode::RequestTooLarge, "a value has at most 1 MB");
        if (!isUtf8(call.body))
            return errorReply(400, ResultCode::MalformedRequest, "the value is not UTF-8");
        request.expectedVersion = *expected;
        request.value = call.body;
    } else if (call.method == "GET" && call.query.contains("after")) {
        request.operation = PlatformOperation::Watch;
        const auto after = parseNumber(call.query.at("after"));
        const auto wait = parseNumber(call.query.contains("wait_ms") ? call.query.at("wait_ms") : "0");
        if (!after)
            return errorReply(400, ResultCode::BadField, "parameter after: a version is expected");
        if (!wait || *wait > longestWaitMs)
            return errorReply(400, ResultCode::BadField, "parameter wait_ms: 0 to 60000 is expected");
        request.expectedVersion = *after;
        request.wait = std::chrono::milliseconds(*wait);
    } else if (call.method != "GET") {
        return errorReply(405, ResultCode::UnknownPath, "GET or PUT is expected");
    }
    return makeReply(this->driver.ask(request, call.isGone));
}

FakeHttpReply PlatformService::instance(const FakeHttpCall &call, const std::string &name)
{
    if (call.method == "DELETE") {
        this->driver.removeInstance(name);
        return {.body = "{}"};
    }
    if (call.method != "PUT")
        return errorReply(405, ResultCode::UnknownPath, "PUT or DELETE is expected");
    bool leaving = false;
    if (!call.body.empty()) {
        FailureReason reason;
        const auto json = parseJsonText(call.body, reason);
        if (!json)
            return errorReply(400, reason.code(), reason.text());
        JsonFields fields(*json, {}, reason);
        fields.read("leaving", leaving);
        if (!fields.isOk())
            return errorReply(400, reason.code(), reason.text());
    }
    this->driver.setInstance(name, leaving);
    return {.body = "{}"};
}

FakeHttpReply PlatformService::fault(const FakeHttpCall &call)
{
    FailureReason reason;
    const auto json = parseJsonText(call.body, reason);
    if (!json)
        return errorReply(400, reason.code(), reason.text());
    JsonFields fields(*json, {}, reason);
    bool down = false;
    std::uint32_t latencyMs = 0;
    std::uint32_t lostAnswers = 0;
    fields.read("down", down);
    fields.read("latency_ms", latencyMs);
    fields.read("lose_answers", lostAnswers);
    if (!fields.isOk())
        return errorReply(400, reason.code(), reason.text());
    if (json->contains("down"))
        this->driver.setDown(down);
    if (json->contains("latency_ms"))
        this->driver.setLatency(std::chrono::milliseconds(latencyMs));
    if (json->contains("lose_answers"))
        this->driver.loseAnswers(lostAnswers);
    writeLogLine("info", "fault-set", {{"faults", dumpJson(*json)}});
    return {.body = "{}"};
}

FakeHttpReply PlatformService::counters()
{
    nlohmann::json json;
    this->driver.inspect([&](const FakePlatform &platform) {
        json = {
            {"reads", platform.reads()}, {"writes", platform.writes()}, {"waiting_watches", platform.waitingWatches()}};
    });
    return {.body = dumpJson(json)};
}

} // namespace Jujubekeel
