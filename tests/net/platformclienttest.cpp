#include "net/platformclient.h"
#include "net/httplistener.h"
#include "net/inputqueue.h"
#include "net/trafficcounters.h"
#include "wire/platformjson.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace Jujubekeel {

namespace {

/// Runs an HTTP server in place of the platform; it does not answer calls for keys that start with "silent".
class PlatformClientTest : public testing::Test
{
protected:
    void SetUp() override
    {
        this->server = std::make_unique<HttpListener>(
            HttpListenerOptions{.address = "127.0.0.1:0"},
            [this](const HttpRequest &httpRequest) { this->serve(httpRequest); }, [](std::uint64_t) {},
            [](ResultCode, const std::string &) { return HttpResponse{.status = 400}; });
        this->server->start();
    }
    void startClient(Duration callTimeout)
    {
        this->client = std::make_unique<PlatformClient>(
            PlatformClientOptions{.address = this->server->address(),
                                  .connectTimeout = std::chrono::seconds(5),
                                  .callTimeout = callTimeout,
                                  .callThreads = 1,
                                  .watchThreads = 1},
            [this](Input input) { this->inputs.post(std::move(input)); }, this->counters);
    }
    void serve(const HttpRequest &httpRequest)
    {
        if (httpRequest.path.starts_with("/v1/objects/silent"))
            return;
        PlatformAnswer answer{.code = PlatformStatusCode::Ok, .version = 5, .value = httpRequest.path};
        if (httpRequest.method == "PUT")
            answer.value = httpRequest.header("If-Match") + ":" + httpRequest.body;
        if (httpRequest.path == "/v1/instances")
            answer.instances = {{.name = "one-1", .leaving = true}};
        this->server->respond(httpRequest.exchangeId, HttpResponse{.body = toJsonText(answer)});
    }
    PlatformAnswer nextAnswer() { return this->inputs.nextOf<PlatformAnswered>().answer; }

    InputQueue inputs;
    TrafficCounters counters;
    std::unique_ptr<HttpListener> server;
    std::unique_ptr<PlatformClient> client;
};

} // namespace

// Guards against fields of a call that are lost on the way to the platform, and against answers with another call
// number.
TEST_F(PlatformClientTest, callsAreAnsweredByNumber)
{
    this->startClient(std::chrono::seconds(10));
    this->client->call(CallPlatform{.call = {.call = 1, .operation = PlatformOperation::Get, .key = "rules/a b"}});
    const PlatformAnswer get = this->nextAnswer();
    EXPECT_EQ(get.call, 1U);
    EXPECT_EQ(get.value, "/v1/objects/rules/a b");
    EXPECT_EQ(get.version, 5U);

    this->client->call(CallPlatform{
        .call = {
            .call = 2, .operation = PlatformOperation::Put, .key = "rules/a", .expectedVersion = 4, .value = "text"}});
    EXPECT_EQ(this->nextAnswer().value, "4:text");
    this->client->call(CallPlatform{.call = {.call = 3, .operation = PlatformOperation::ListInstances}});
    const PlatformAnswer list = this->nextAnswer();
    ASSERT_EQ(list.instances.size(), 1U);
    EXPECT_TRUE(list.instances[0].leaving);
}

// Guards against a waiting watch that delays other calls, for example the claim of a promotion.
TEST_F(PlatformClientTest, waitingWatchDelaysNoOtherCall)
{
    this->startClient(std::chrono::seconds(10));
    this->client->call(CallPlatform{
        .call = {.call = 1, .operation = PlatformOperation::Watch, .key = "silent", .wait = std::chrono::seconds(60)}});
    this->client->call(CallPlatform{.call = {.call = 2, .operation = PlatformOperation::Get, .key = "rules"}});
    EXPECT_EQ(this->nextAnswer().call, 2U);
    // The destructor must not wait for the watch either; otherwise the test exceeds its time limit.
}

// Guards against a call that is never answered, after which rule distribution would wait forever.
TEST_F(PlatformClientTest, silentPlatformIsUnavailable)
{
    this->startClient(std::chrono::milliseconds(50));
    this->client->call(CallPlatform{.call = {.call = 1, .operation = PlatformOperation::Get, .key = "silent"}});
    const PlatformAnswer late = this->nextAnswer();
    EXPECT_EQ(late.call, 1U);
    EXPECT_EQ(late.code, PlatformStatusCode::Unavailable);
    this->server->stop(Duration{0});
    this->client->call(CallPlatform{.call = {.call = 2, .operation = PlatformOperation::Get, .key = "rules"}});
    const PlatformAnswer refused = this->nextAnswer();
    EXPECT_EQ(refused.call, 2U);
    EXPECT_EQ(refused.code, PlatformStatusCode::Unavailable);
}

} // namespace Jujubekeel
