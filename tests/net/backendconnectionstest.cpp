#include "net/backendconnections.h"
#include "net/httplistener.h"
#include "net/inputqueue.h"
#include "net/logger.h"
#include "net/trafficcounters.h"
#include "wire/backendjson.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

const ConnectionId first{.index = 4, .generation = 2};
const ConnectionId second{.index = 5, .generation = 0};
const BackendId backend{.index = 0, .generation = 0};

/// Runs an HTTP server in place of a backend server; the statement of a request selects the kind of answer.
class BackendConnectionsTest : public testing::Test
{
protected:
    void SetUp() override
    {
        this->server = std::make_unique<HttpListener>(
            HttpListenerOptions{.address = "127.0.0.1:0"},
            [this](const HttpRequest &httpRequest) { this->serve(httpRequest); }, [](std::uint64_t) {},
            [](ResultCode, const std::string &) { return HttpResponse{.status = 400}; });
        this->server->start();
        FleetLayout layout;
        layout.databases = {{.name = "orders", .backends = {backend}}};
        layout.backends = {{.name = "orders-a",
                            .database = DatabaseId{.index = 0, .generation = 0},
                            .address = this->server->address()}};
        this->connections = std::make_unique<BackendConnections>(
            BackendConnectionsOptions{
                .layout = layout, .instance = "one-1", .workThreads = 1, .connectTimeout = std::chrono::seconds(5)},
            [this](Input input) { this->inputs.post(std::move(input)); }, this->logger, this->counters);
    }

    void serve(const HttpRequest &httpRequest)
    {
        FailureReason reason;
        if (httpRequest.path == "/v1/open") {
            const auto login = backendLoginFromText(httpRequest.body, reason);
            const bool valid = login && login->instance == "one-1";
            this->server->respond(httpRequest.exchangeId,
                                  HttpResponse{.status = valid ? this->openStatus.load() : 400, .body = "{}"});
            return;
        }
        const auto request = backendRequestFromText(httpRequest.body, reason);
        if (!request) {
            this->server->respond(httpRequest.exchangeId, HttpResponse{.status = 400, .body = reason.text()});
        } else if (request->statement == "malformed") {
            this->server->respond(httpRequest.exchangeId, HttpResponse{.body = "{\"serial\":"});
        } else if (request->statement != "hang") {
            const BackendAnswer answer{.serial = request->serial, .value = request->statement};
            this->server->respond(httpRequest.exchangeId, HttpResponse{.body = toJsonText(answer)});
        } else {
            this->unanswered += 1;
        }
    }
    void execute(ConnectionId connection, std::uint64_t serial, const std::string &statement)
    {
        this->connections->send(SendToBackend{
            .connection = connection,
            .request = {.serial = serial, .operation = BackendOperation::Execute, .statement = statement}});
    }

    std::atomic<int> openStatus{200};
    std::atomic<int> unanswered{0};
    InputQueue inputs;
    Logger logger{LoggerOptions{.instance = "one-1"}};
    TrafficCounters counters;
    std::unique_ptr<HttpListener> server;
    std::unique_ptr<BackendConnections> connections;
};

} // namespace

// Guards against answers that are lost or reported with the id of another connection.
TEST_F(BackendConnectionsTest, requestsAreAnsweredOnTheirConnection)
{
    this->connections->open(OpenConnection{.connection = first, .backend = backend});
    const auto opened = this->inputs.nextOf<ConnectionOpened>();
    EXPECT_TRUE(opened.ok) << opened.text;
    EXPECT_EQ(opened.connection, first);
    this->execute(first, 7, "get k");
    this->execute(first, 8, "get l");
    for (const std::uint64_t serial : {7U, 8U}) {
        const auto answered = this->inputs.nextOf<BackendAnswered>();
        EXPECT_EQ(answered.connection, first);
        EXPECT_EQ(answered.answer.serial, serial);
    }
}

// Guards against treating a connection as open that the server refused, for example at its connection limit.
TEST_F(BackendConnectionsTest, refusedOpenIsReported)
{
    this->openStatus = 503;
    this->connections->open(OpenConnection{.connection = first, .backend = backend});
    const auto opened = this->inputs.nextOf<ConnectionOpened>();
    EXPECT_FALSE(opened.ok);
    EXPECT_NE(opened.text.find("503"), std::string::npos);
    EXPECT_TRUE(eventually([this] { return this->connections->count() == 0; }));
}

// Guards against a hung statement that cannot be aborted, and against inputs for a connection that the core has closed.
TEST_F(BackendConnectionsTest, closingEndsAConnectionThatWaitsForAnAnswer)
{
    this->connections->open(OpenConnection{.connection = first, .backend = backend});
    EXPECT_TRUE(this->inputs.nextOf<ConnectionOpened>().ok);
    this->execute(first, 1, "hang");
    ASSERT_TRUE(eventually([this] { return this->unanswered == 1; }));
    this->connections->close(CloseConnection{.connection = first});
    EXPECT_TRUE(eventually([this] { return this->server->connectionCount() == 0; }));

    // The thread of the closed connection is free again.
    EXPECT_TRUE(eventually([this] {
        this->connections->open(OpenConnection{.connection = second, .backend = backend});
        const auto opened = this->inputs.nextOf<ConnectionOpened>();
        EXPECT_EQ(opened.connection, second);
        return opened.ok;
    }));
    EXPECT_TRUE(this->inputs.isEmpty());
}

// Guards against detecting the loss of an idle connection only when the next statement is sent.
TEST_F(BackendConnectionsTest, lossOfAnIdleConnectionIsReported)
{
    this->connections->open(OpenConnection{.connection = first, .backend = backend});
    EXPECT_TRUE(this->inputs.nextOf<ConnectionOpened>().ok);
    this->server->stop(Duration{0});
    EXPECT_EQ(this->inputs.nextOf<ConnectionLost>().connection, first);
    this->execute(first, 1, "get k"); // must be ignored
    EXPECT_TRUE(eventually([this] { return this->connections->count() == 0; }));
}

// Guards against treating a malformed answer as the outcome of a statement.
TEST_F(BackendConnectionsTest, malformedAnswerLosesTheConnection)
{
    this->connections->open(OpenConnection{.connection = first, .backend = backend});
    EXPECT_TRUE(this->inputs.nextOf<ConnectionOpened>().ok);
    this->execute(first, 1, "malformed");
    EXPECT_EQ(this->inputs.nextOf<ConnectionLost>().connection, first);
}

// Guards against work connections that use up all threads: without a control connection the instance loses ownership.
TEST_F(BackendConnectionsTest, workConnectionsAreLimitedAndControlConnectionsAreNot)
{
    this->connections->open(OpenConnection{.connection = first, .backend = backend});
    EXPECT_TRUE(this->inputs.nextOf<ConnectionOpened>().ok);
    this->connections->open(OpenConnection{.connection = second, .backend = backend});
    EXPECT_FALSE(this->inputs.nextOf<ConnectionOpened>().ok);
    this->connections->open(OpenConnection{.connection = second, .backend = backend, .control = true});
    EXPECT_TRUE(this->inputs.nextOf<ConnectionOpened>().ok);
}

} // namespace Jujubekeel
