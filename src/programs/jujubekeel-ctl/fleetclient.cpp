#include "programs/jujubekeel-ctl/fleetclient.h"

#include "programs/jujubekeel-ctl/httpquery.h"
#include "wire/platformjson.h"

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <thread>

namespace Jujubekeel {

namespace {

/// Instances asked at one time: keeps a command short when many do not answer.
constexpr std::size_t parallelCalls = 32;

constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusPreconditionFailed = 412;

std::optional<ResultCode> knownCode(const nlohmann::ordered_json &json)
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
                    .answerTimeout = this->settings.options.rules.callTimeout};
    if (call.operation == PlatformOperation::Put) {
        query.method = "PUT";
        query.headers.emplace_back("If-Match", std::to_string(call.expectedVersion));
        query.body = call.value;
    }
    PlatformAnswer unavailable{.call = call.call, .code = PlatformStatusCode::Unavailable};
    const auto reply = performHttpQuery(query, error);
    if (!reply)
        return unavailable;
    if (reply->status == statusNotFound && call.operation == PlatformOperation::Get)
        return {.call = call.call, .code = PlatformStatusCode::NotFound};

    FailureReason reason;
    auto answer = platformAnswerFromText(reply->body, reason);
    const bool isConflict = reply->status == statusConflict || reply->status == statusPreconditionFailed;
    if (!answer || (reply->status / 100 != 2 && !isConflict)) {
        error = "HTTP status " + std::to_string(reply->status);
        if (!answer)
            error += ": " + reason.text();
        return unavailable;
    }
    answer->call = call.call;
    return *answer;
}

InstanceAnswer FleetClient::callInstance(InstanceId instance, const std::string &method, const std::string &path) const
{
    const InstanceSettings &target = this->settings.layout.at(instance);
    InstanceAnswer answer{.instance = target.name, .text = {}, .json = {}};
    HttpQuery query{.address = target.operatorAddress,
                    .method = method,
                    .path = path,
                    .connectTimeout = this->settings.limits.connectTimeout};
    if (!this->settings.operatorKeys.empty())
        query.headers.emplace_back("Operator-Key", this->settings.operatorKeys.front());
    std::string error;
    const auto reply = performHttpQuery(query, error);
    if (!reply) {
        answer.text = "instance " + target.name + " at " + target.operatorAddress + " did not answer: " + error;
        return answer;
    }
    nlohmann::ordered_json json = nlohmann::ordered_json::parse(reply->body, nullptr, false);
    if (reply->status / 100 == 2 && json.is_object()) {
        answer.code = ResultCode::Ok;
        answer.json = std::move(json);
        return answer;
    }
    answer.code = knownCode(json).value_or(ResultCode::InstanceUnreachable);
    answer.text = "instance " + target.name + " answered with HTTP status " + std::to_string(reply->status);
    if (json.is_object() && json.contains("text") && json.at("text").is_string())
        answer.text += ": " + json.at("text").get<std::string>();
    return answer;
}

std::vector<InstanceAnswer> FleetClient::askAll(const std::string &path) const
{
    const std::size_t count = this->settings.layout.instances.size();
    std::vector<InstanceAnswer> answers(count);
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t index = next++; index < count; index = next++)
            answers[index] = this->callInstance(InstanceId{.index = static_cast<std::uint32_t>(index)}, "GET", path);
    };
    {
        std::vector<std::jthread> threads;
        for (std::size_t thread = 0; thread < std::min(count, parallelCalls); ++thread)
            threads.emplace_back(work);
    }
    return answers;
}

} // namespace Jujubekeel
