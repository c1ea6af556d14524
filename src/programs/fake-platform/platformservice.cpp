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
/// Limit of an object's value, in bytes.
constexpr std::size_t valueLimit = std::size_t{1024} * 1024;
constexpr std::uint64_t maxWaitMs = 60'000;

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

FakeHttpResponse makeResponse(const std::optional<PlatformAnswer> &answer)
{
    if (!answer)
        return {.closeWithoutResponse = true};
    FakeHttpResponse response{.body = toJsonText(*answer), .etag = std::to_string(answer->version)};
    if (answer->code == PlatformStatusCode::NotFound)
        response.status = 404;
    if (answer->code == PlatformStatusCode::Conflict)
        response.status = 412;
    return response;
}

} // namespace

PlatformService::PlatformService(PlatformDriver &newDriver) : driver(newDriver)
{
}

FakeHttpResponse PlatformService::handle(const FakeHttpRequest &httpRequest)
{
    if (httpRequest.path.starts_with(objectsPath) && httpRequest.path.size() > objectsPath.size())
        return this->object(httpRequest, httpRequest.path.substr(objectsPath.size()));
    if (httpRequest.path.starts_with(instancesPath) && httpRequest.path.size() > instancesPath.size())
        return this->instance(httpRequest, httpRequest.path.substr(instancesPath.size()));
    if (httpRequest.method == "GET" && httpRequest.path == "/v1/instances") {
        FakeHttpResponse response = makeResponse(
            this->driver.call({.operation = PlatformOperation::ListInstances}, httpRequest.isDisconnected));
        response.etag.clear();
        return response;
    }
    if (httpRequest.method == "GET" && httpRequest.path == "/v1/counters")
        return this->counters();
    if (httpRequest.method == "POST" && httpRequest.path == "/v1/fault")
        return this->fault(httpRequest);
    return errorResponse(404, ResultCode::UnknownPath, "no such path or method");
}

FakeHttpResponse PlatformService::object(const FakeHttpRequest &httpRequest, const std::string &key)
{
    PlatformCall request{.key = key};
    if (httpRequest.method == "PUT") {
        request.operation = PlatformOperation::Put;
        const auto expected = parseNumber(httpRequest.ifMatch);
        if (!expected)
            return errorResponse(428, ResultCode::BadField, "header If-Match: the expected version is missing");
        if (httpRequest.body.size() > valueLimit)
            return errorResponse(413, ResultCode::RequestTooLarge, "the value is longer than 1 MiB");
        if (!isUtf8(httpRequest.body))
            return errorResponse(400, ResultCode::MalformedRequest, "the value is not UTF-8");
        request.expectedVersion = *expected;
        request.value = httpRequest.body;
    } else if (httpRequest.method == "GET" && httpRequest.query.contains("after")) {
        request.operation = PlatformOperation::Watch;
        const auto after = parseNumber(httpRequest.query.at("after"));
        const auto wait = parseNumber(httpRequest.query.contains("wait_ms") ? httpRequest.query.at("wait_ms") : "0");
        if (!after)
            return errorResponse(400, ResultCode::BadField, "parameter after: a version is expected");
        if (!wait || *wait > maxWaitMs)
            return errorResponse(400, ResultCode::BadField, "parameter wait_ms: 0 to 60000 is expected");
        request.expectedVersion = *after;
        request.wait = std::chrono::milliseconds(*wait);
    } else if (httpRequest.method != "GET") {
        return errorResponse(405, ResultCode::UnknownPath, "GET or PUT is expected");
    }
    return makeResponse(this->driver.call(request, httpRequest.isDisconnected));
}

FakeHttpResponse PlatformService::instance(const FakeHttpRequest &httpRequest, const std::string &name)
{
    if (httpRequest.method == "DELETE") {
        this->driver.removeInstance(name);
        return {.body = "{}"};
    }
    if (httpRequest.method != "PUT")
        return errorResponse(405, ResultCode::UnknownPath, "PUT or DELETE is expected");
    bool leaving = false;
    if (!httpRequest.body.empty()) {
        FailureReason reason;
        const auto json = parseJsonText(httpRequest.body, reason);
        if (!json)
            return errorResponse(400, reason.code(), reason.text());
        JsonFields fields(*json, {}, reason);
        fields.read("leaving", leaving);
        if (!fields.isOk())
            return errorResponse(400, reason.code(), reason.text());
    }
    this->driver.setInstance(name, leaving);
    return {.body = "{}"};
}

FakeHttpResponse PlatformService::fault(const FakeHttpRequest &httpRequest)
{
    FailureReason reason;
    const auto json = parseJsonText(httpRequest.body, reason);
    if (!json)
        return errorResponse(400, reason.code(), reason.text());
    JsonFields fields(*json, {}, reason);
    bool down = false;
    std::uint32_t latencyMs = 0;
    std::uint32_t lostAnswers = 0;
    fields.read("down", down);
    fields.read("latency_ms", latencyMs);
    fields.read("lose_answers", lostAnswers);
    if (!fields.isOk())
        return errorResponse(400, reason.code(), reason.text());
    if (json->contains("down"))
        this->driver.setDown(down);
    if (json->contains("latency_ms"))
        this->driver.setLatency(std::chrono::milliseconds(latencyMs));
    if (json->contains("lose_answers"))
        this->driver.loseAnswers(lostAnswers);
    writeLogLine("info", "fault-set", {{"faults", dumpJson(*json)}});
    return {.body = "{}"};
}

FakeHttpResponse PlatformService::counters()
{
    nlohmann::json json;
    this->driver.inspect([&](const FakePlatform &platform) {
        json = {
            {"reads", platform.reads()}, {"writes", platform.writes()}, {"waiting_watches", platform.waitingWatches()}};
    });
    return {.body = dumpJson(json)};
}

} // namespace Jujubekeel
