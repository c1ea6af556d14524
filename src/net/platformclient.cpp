#include "net/platformclient.h"

#include "net/boottime.h"
#include "net/httpclient.h"
#include "net/trafficcounters.h"
#include "wire/platformjson.h"

#include <Poco/URI.h>

#include <algorithm>
#include <cassert>
#include <optional>
#include <string_view>
#include <utility>

namespace Jujubekeel {

namespace {

std::string objectPath(const std::string &key)
{
    std::string encoded;
    Poco::URI::encode(key, "/?#&=+%", encoded);
    return "/v1/objects/" + encoded;
}

HttpClientRequest toHttp(const PlatformCall &call)
{
    switch (call.operation) {
    case PlatformOperation::Get:
        return {.method = "GET", .path = objectPath(call.key), .headers = {}, .body = {}};
    case PlatformOperation::Put:
        return {.method = "PUT",
                .path = objectPath(call.key),
                .headers = {{"If-Match", std::to_string(call.expectedVersion)}},
                .body = call.value};
    case PlatformOperation::Watch: {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(call.wait).count();
        return {.method = "GET",
                .path = objectPath(call.key) + "?after=" + std::to_string(call.expectedVersion)
                        + "&wait_ms=" + std::to_string(wait),
                .headers = {},
                .body = {}};
    }
    case PlatformOperation::ListInstances:
        return {.method = "GET", .path = "/v1/instances", .headers = {}, .body = {}};
    }
    return {};
}

} // namespace

PlatformClient::PlatformClient(PlatformClientOptions clientOptions, Post postFunction, TrafficCounters &trafficCounters)
    : options(std::move(clientOptions)), post(std::move(postFunction)), counters(trafficCounters)
{
    assert(this->post && this->options.callThreads > 0 && this->options.watchThreads > 0);
    for (std::uint32_t index = 0; index < this->options.callThreads; ++index)
        this->calls.threads.emplace_back([this] { this->run(this->calls); });
    for (std::uint32_t index = 0; index < this->options.watchThreads; ++index)
        this->watches.threads.emplace_back([this] { this->run(this->watches); });
}

PlatformClient::~PlatformClient()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
        for (const auto &weak : this->clients) {
            if (const auto client = weak.lock())
                client->cancel();
        }
    }
    this->changed.notify_all();
    for (WorkerPool *pool : {&this->calls, &this->watches}) {
        for (std::thread &thread : pool->threads)
            thread.join();
    }
}

void PlatformClient::call(const CallPlatform &action)
{
    const PlatformCall &call = action.call;
    WorkerPool &pool = call.operation == PlatformOperation::Watch ? this->watches : this->calls;
    {
        const std::scoped_lock lock(this->mutex);
        if (!this->stopping && pool.jobs.size() < this->options.queueLimit) {
            pool.jobs.push_back(Job{.call = call, .deadline = bootTime() + call.wait + this->options.callTimeout});
            this->changed.notify_all();
            return;
        }
    }
    this->counters.add("jujubekeel_platform_calls_refused_total");
    this->post(PlatformAnswered{.answer = {.call = call.call, .code = PlatformStatusCode::Unavailable}});
}

void PlatformClient::run(WorkerPool &pool)
{
    std::shared_ptr<HttpClient> client; // reused for later calls
    while (true) {
        Job job;
        {
            std::unique_lock lock(this->mutex);
            this->changed.wait(lock, [&] { return this->stopping || !pool.jobs.empty(); });
            if (this->stopping)
                return;
            job = std::move(pool.jobs.front());
            pool.jobs.pop_front();
        }
        this->post(PlatformAnswered{.answer = this->perform(client, job)});
    }
}

std::shared_ptr<HttpClient> PlatformClient::connect(std::string &error)
{
    auto client = std::make_shared<HttpClient>(this->options.address, this->options.connectTimeout);
    {
        const std::scoped_lock lock(this->mutex);
        if (this->stopping)
            return nullptr;
        std::erase_if(this->clients, [](const auto &weak) { return weak.expired(); });
        this->clients.push_back(client);
    }
    return client->connect(error) ? client : nullptr;
}

PlatformAnswer PlatformClient::perform(std::shared_ptr<HttpClient> &client, const Job &job)
{
    PlatformAnswer unavailable{.call = job.call.call, .code = PlatformStatusCode::Unavailable};
    std::string error;
    if (client && client->isStale())
        client.reset();
    if (!client)
        client = this->connect(error);

    // A call whose deadline passed while it was queued is not sent.
    const Duration left = job.deadline - bootTime();
    if (!client || left.count() <= 0) {
        this->counters.add("jujubekeel_platform_calls_failed_total");
        return unavailable;
    }
    const std::string_view kind = platformOperationName(job.call.operation);
    const auto response = client->exchange(toHttp(job.call), left, error);
    this->counters.count("platform", TrafficCounters::Direction::Sent, kind, client->bytesSent());
    if (!response) {
        client.reset(); // a late response must not be read as the one to the next call
        this->counters.add("jujubekeel_platform_calls_failed_total");
        return unavailable;
    }
    this->counters.count("platform", TrafficCounters::Direction::Received, kind, client->bytesReceived());
    FailureReason reason;
    auto answer = platformAnswerFromText(response->body, reason);
    if (!answer) {
        this->counters.add("jujubekeel_platform_calls_failed_total");
        return unavailable;
    }
    answer->call = job.call.call;
    return *answer;
}

} // namespace Jujubekeel
