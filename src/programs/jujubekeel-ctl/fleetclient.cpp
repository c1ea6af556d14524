#include "programs/jujubekeel-ctl/fleetclient.h"

#include "programs/jujubekeel-ctl/httpquery.h"
#include "wire/platformjson.h"

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <thread>

namespace Jujubekeel {

namespace {

/// Instances called in parallel, so that timeouts of many unreachable instances do not add up.
constexpr std::size_t maxParallelCalls = 32;

constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusPreconditionFailed = 412;

/// Result code in the body of an error response. Empty if there is none or its number is unknown.
std::optional<ResultCode> resultCodeFromJson(const nlohmann::ordered_json &json)
{
    if (!json.is_object() || !json.contains("code") || !json.at("code").is_number_unsigned())
        return std::nullopt;
    const auto number = json.at("code").get<std::uint64_t>();
    const auto table = resultCodeTable();
    const auto row = std::ranges::find_if(
        table, [&](const ResultCodeInfo &info) { return static_cast<std::uint16_t>(info.code) == number; });
    return row == table.end() ? std::nullopt : std::optional(row->code);
}

} // namespace

PlatformAnswer FleetClient::callPlatform(const PlatformCall &call, std::string &error) const
{
    HttpQuery query{.address = this->settings.platformAddress,
                    .path = "/v1/objects/" + encodePathSegment(call.key),
                    .connectTimeout = this->settings.limits.connectTimeout,
                    .responseTimeout = this->settings.options.rules.callTimeout};
    if (call.operation == PlatformOperation::Put) {
        query.method = "PUT";
        query.headers.emplace_back("If-Match", std::to_string(call.expectedVersion));
        query.body = call.value;
    }
    PlatformAnswer unavailable{.call = call.call, .code = PlatformStatusCode::Unavailable};
    const auto httpResponse = performHttpQuery(query, error);
    if (!httpResponse)
        return unavailable;
    if (httpResponse->status == statusNotFound && call.operation == PlatformOperation::Get)
        return {.call = call.call, .code = PlatformStatusCode::NotFound};

    FailureReason reason;
    auto answer = platformAnswerFromText(httpResponse->body, reason);
    const bool isConflict = httpResponse->status == statusConflict || httpResponse->status == statusPreconditionFailed;
    if (!answer || (httpResponse->status / 100 != 2 && !isConflict)) {
        error = "HTTP status " + std::to_string(httpResponse->status);
        if (!answer)
            error += ": " + reason.text();
        return unavailable;
    }
    answer->call = call.call;
    return *answer;
}

InstanceResponse FleetClient::callInstance(InstanceId instance, const std::string &method,
                                           const std::string &path) const
{
    const InstanceSettings &target = this->settings.layout.at(instance);
    InstanceResponse response{.instance = target.name, .text = {}, .json = {}};
    HttpQuery query{.address = target.operatorAddress,
                    .method = method,
                    .path = path,
                    .connectTimeout = this->settings.limits.connectTimeout};
    if (!this->settings.operatorKeys.empty())
        query.headers.emplace_back("Operator-Key", this->settings.operatorKeys.front());
    std::string error;
    const auto httpResponse = performHttpQuery(query, error);
    if (!httpResponse) {
        response.text = "instance " + target.name + " at " + target.operatorAddress + " did not answer: " + error;
        return response;
    }
    nlohmann::ordered_json json = nlohmann::ordered_json::parse(httpResponse->body, nullptr, false);
    if (httpResponse->status / 100 == 2 && json.is_object()) {
        response.code = ResultCode::Ok;
        response.json = std::move(json);
        return response;
    }
    response.code = resultCodeFromJson(json).value_or(ResultCode::InstanceUnreachable);
    response.text = "instance " + target.name + " answered with HTTP status " + std::to_string(httpResponse->status);
    if (json.is_object() && json.contains("text") && json.at("text").is_string())
        response.text += ": " + json.at("text").get<std::string>();
    return response;
}

std::vector<InstanceResponse> FleetClient::callAllInstances(const std::string &path) const
{
    const std::size_t count = this->settings.layout.instances.size();
    std::vector<InstanceResponse> responses(count);
    std::atomic<std::size_t> next = 0;
    const auto callNext = [&] {
        for (std::size_t index = next++; index < count; index = next++)
            responses[index] = this->callInstance(InstanceId{.index = static_cast<std::uint32_t>(index)}, "GET", path);
    };
    {
        std::vector<std::jthread> threads;
        for (std::size_t thread = 0; thread < std::min(count, maxParallelCalls); ++thread)
            threads.emplace_back(callNext);
    }
    return responses;
}

} // namespace Jujubekeel
