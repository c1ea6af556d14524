#include "net/callerserver.h"
#include "net/diagnosticstore.h"
#include "net/httpclient.h"
#include "net/inputqueue.h"
#include "net/trafficcounters.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <array>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Jujubekeel {

namespace {

constexpr const char *requestsPath = "/v1/databases/orders/requests";
constexpr const char *readBody = R"({"operation":"order.look","kind":"read","statement":"get k","timeout_ms":250})";

class CallerServerTest : public testing::Test
{
protected:
    void startServer(HttpListenerOptions listener = {})
    {
        listener.address = "127.0.0.1:0";
        this->server = std::make_unique<CallerServer>(
            CallerServerOptions{.listener = listener, .instance = "one-1"},
            [this](Input input) { this->inputs.post(std::move(input)); }, this->diagnostics, this->counters);
        this->server->start();
    }
    std::unique_ptr<HttpClient> connect()
    {
        auto client = std::make_unique<HttpClient>(this->server->address(), std::chrono::seconds(5));
        std::string error;
        EXPECT_TRUE(client->connect(error)) << error;
        return client;
    }
    static HttpClientResponse exchange(HttpClient &client, const std::string &method, const std::string &path,
                                       const std::string &body,
                                       const std::vector<std::pair<std::string, std::string>> &headers = {})
    {
        std::string error;
        auto response = client.exchange({.method = method, .path = path, .headers = headers, .body = body},
                                        std::chrono::seconds(10), error);
        EXPECT_TRUE(response) << error;
        return response.value_or(HttpClientResponse{});
    }
    /// Sends raw bytes and returns everything up to the end of the connection.
    std::string sendRaw(const std::string &bytes)
    {
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(this->server->address())};
        socket.setReceiveTimeout(Poco::Timespan(10, 0));
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        std::string text;
        std::array<char, 4096> buffer{};
        while (const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size())))
            text.append(buffer.data(), static_cast<std::size_t>(count));
        return text;
    }

    InputQueue inputs;
    DiagnosticStore diagnostics{100, 100};
    TrafficCounters counters;
    std::unique_ptr<CallerServer> server;
};

} // namespace

// Guards against fields and headers that are lost between HTTP and the core, in either direction.
TEST_F(CallerServerTest, requestAndAnswerPassThrough)
{
    this->startServer();
    const auto client = this->connect();
    HttpClientResponse response;
    std::thread caller([&] {
        response = exchange(*client, "POST", requestsPath, readBody,
                            {{"Session-Id", "s-1"},
                             {"Session-Token", "token"},
                             {"Request-Key", "key-1"},
                             {"Caller", "shop"},
                             {"traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}});
    });
    const CallerRequest request = this->inputs.nextOf<CallerRequestArrived>().request;
    EXPECT_EQ(request.database, "orders");
    EXPECT_EQ(request.operation, "order.look");
    EXPECT_EQ(request.kind, RequestKind::Read);
    EXPECT_EQ(request.statement, "get k");
    EXPECT_EQ(request.timeout, std::chrono::milliseconds(250));
    EXPECT_EQ(request.session, "s-1");
    EXPECT_EQ(request.token, "token");
    EXPECT_EQ(request.requestKey, "key-1");
    EXPECT_EQ(request.caller, "shop");
    EXPECT_EQ(request.trace.traceId, "0af7651916cd43dd8448eb211c80319c");
    EXPECT_EQ(request.trace.parentSpan, "b7ad6b7169203331");
    EXPECT_TRUE(request.trace.sampled);

    CallerAnswer answer{.ticket = request.ticket,
                        .id = "r-1",
                        .code = ResultCode::CommitUnconfirmed,
                        .text = "text",
                        .value = "value \xff",
                        .session = "s-1",
                        .token = "token-2"};
    answer.decision.reason = "reason";
    this->server->deliver(answer);
    caller.join();
    EXPECT_EQ(response.status, 504);
    const auto json = nlohmann::json::parse(response.body);
    EXPECT_EQ(json["code"], 401);
    EXPECT_EQ(json["name"], "commit-unconfirmed");
    EXPECT_EQ(json["execution"], "unknown");
    EXPECT_EQ(json["token"], "token-2");
    EXPECT_EQ(json["decision"]["reason"], "reason");
    EXPECT_TRUE(json["decision"]["age_ms"].is_null());
    const auto record = nlohmann::json::parse(this->diagnostics.explain("r-1").value());
    EXPECT_EQ(record["operation"], "order.look");
    EXPECT_FALSE(record.contains("statement"));
    EXPECT_FALSE(record.contains("token"));
    EXPECT_EQ(this->server->pendingCount(), 0U);
}

// Guards against malformed requests that reach the core, against errors that do not name the byte or the field, and
// against closing a connection whose next request is valid.
TEST_F(CallerServerTest, malformedBodiesAreAnsweredWithTheErrorPosition)
{
    this->startServer();
    const auto client = this->connect();
    struct Case
    {
        const char *body;
        int status;
        int code;
        const char *position;
    };
    const std::vector<Case> cases{
        {R"({"operation":"a",)", 400, 100, "byte 18"},
        {"", 400, 100, "byte 1"},
        {"[]", 400, 100, "byte 1"},
        {"{\"operation\":\"\xff\"}", 400, 100, "byte"},
        {R"({"operation":7,"kind":"read","statement":"get k"})", 400, 104, "field operation"},
        {R"({"operation":"a","kind":"look","statement":"get k"})", 400, 104, "field kind"},
        {R"({"operation":"a","kind":"read"})", 400, 104, "field statement"},
        {R"({"operation":"a","kind":"commit"})", 400, 104, "field transaction"},
        {R"({"operation":"a","kind":"read","statement":"get k","timeout_ms":0})", 400, 104, "field timeout_ms"},
        {R"({"operation":"a","kind":"read","statement":"get k","timeout_ms":1.5})", 400, 104, "field timeout_ms"},
        {R"({"operation":"a","kind":"read","statement":"get k","timeout_ms":1e30})", 400, 104, "field timeout_ms"},
        {R"({"operation":"a","kind":"read","statement":"get k","timeuot_ms":5})", 400, 104, "field timeuot_ms"},
    };
    for (const Case &row : cases) {
        const HttpClientResponse response = exchange(*client, "POST", requestsPath, row.body);
        EXPECT_EQ(response.status, row.status) << row.body;
        const auto json = nlohmann::json::parse(response.body);
        EXPECT_EQ(json["code"], row.code) << row.body;
        EXPECT_EQ(json["execution"], "not run");
        EXPECT_NE(json["text"].get<std::string>().find(row.position), std::string::npos) << response.body;
    }
    EXPECT_EQ(exchange(*client, "GET", "/v1/nothing", "").status, 404);
    EXPECT_EQ(exchange(*client, "PUT", requestsPath, readBody).status, 404);
    EXPECT_EQ(exchange(*client, "GET", "/v1/health", "").status, 200);
    EXPECT_TRUE(this->inputs.isEmpty());
}

// Guards against malformed or hostile HTTP input that closes or blocks the connections of other callers.
TEST_F(CallerServerTest, malformedHttpDoesNotAffectOtherConnections)
{
    this->startServer({.threads = 2, .maxBodyBytes = 1000});
    const auto healthy = this->connect();
    EXPECT_EQ(exchange(*healthy, "GET", "/v1/health", "").status, 200);

    const std::string head = std::string("POST ") + requestsPath + " HTTP/1.1\r\nHost: x\r\n";
    EXPECT_NE(this->sendRaw("GARBAGE\r\n\r\n").find("\"code\":100"), std::string::npos);
    EXPECT_NE(this->sendRaw(std::string(200'000, 'x')).find("\"code\":100"), std::string::npos);
    EXPECT_NE(this->sendRaw(head + "Content-Length: 2000\r\n\r\n" + std::string(2000, ' ')).find("\"code\":101"),
              std::string::npos);
    EXPECT_NE(this->sendRaw(head + "Content-Length: many\r\n\r\n").find("\"code\":100"), std::string::npos);
    EXPECT_NE(this->sendRaw(head + "Content-Length: -5\r\n\r\n").find("\"code\":100"), std::string::npos);
    EXPECT_NE(
        this->sendRaw(head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n").find("\"code\":100"),
        std::string::npos);
    EXPECT_NE(
        this->sendRaw(head + "Transfer-Encoding: chunked\r\n\r\n800\r\n" + std::string(0x800, ' ') + "\r\n0\r\n\r\n")
            .find("\"code\":101"),
        std::string::npos);

    EXPECT_EQ(exchange(*healthy, "GET", "/v1/health", "").status, 200);
    EXPECT_TRUE(this->inputs.isEmpty());
}

// Guards against waiting requests that occupy threads: during a failover, waiting writes would block all reads.
TEST_F(CallerServerTest, waitingRequestsOccupyNoThread)
{
    this->startServer({.threads = 1});
    std::vector<std::thread> callers;
    callers.reserve(8);
    for (int index = 0; index < 8; ++index) {
        callers.emplace_back([this] {
            const auto client = this->connect();
            EXPECT_EQ(exchange(*client, "POST", requestsPath, readBody).status, 200);
        });
    }
    std::vector<std::uint64_t> tickets;
    tickets.reserve(8);
    for (int index = 0; index < 8; ++index)
        tickets.push_back(this->inputs.nextOf<CallerRequestArrived>().request.ticket);
    const auto client = this->connect();
    EXPECT_EQ(exchange(*client, "GET", "/v1/health", "").status, 200);
    for (const std::uint64_t ticket : tickets)
        this->server->deliver(CallerAnswer{.ticket = ticket, .id = std::to_string(ticket)});
    for (std::thread &caller : callers)
        caller.join();
}

// Guards against answers that are assigned to the wrong request when a client pipelines requests on one connection.
TEST_F(CallerServerTest, pipelinedRequestsAreAnsweredInOrder)
{
    this->startServer();
    const std::string body = readBody;
    const std::string one = std::string("POST ") + requestsPath
                            + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    std::string text;
    std::thread caller([&] { text = this->sendRaw(one + "\r\n" + body + one + "Connection: close\r\n\r\n" + body); });
    const auto first = this->inputs.nextOf<CallerRequestArrived>().request.ticket;
    this->server->deliver(CallerAnswer{.ticket = first, .id = "first"});
    const auto second = this->inputs.nextOf<CallerRequestArrived>().request.ticket;
    this->server->deliver(CallerAnswer{.ticket = second, .id = "second"});
    caller.join();
    ASSERT_NE(text.find("\"id\":\"first\""), std::string::npos) << text;
    EXPECT_LT(text.find("\"id\":\"first\""), text.find("\"id\":\"second\""));
    EXPECT_NE(text.find("\"id\":\"second\""), std::string::npos);
}

// Guards against a core that is not informed of a caller's disconnect and keeps its request.
TEST_F(CallerServerTest, closedConnectionIsReported)
{
    this->startServer();
    std::uint64_t ticket = 0;
    {
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(this->server->address())};
        const std::string body = readBody;
        const std::string text = std::string("POST ") + requestsPath + " HTTP/1.1\r\nHost: x\r\nContent-Length: "
                                 + std::to_string(body.size()) + "\r\n\r\n" + body;
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
        ticket = this->inputs.nextOf<CallerRequestArrived>().request.ticket;
    }
    EXPECT_EQ(this->inputs.nextOf<CallerDisconnected>().ticket, ticket);
    this->server->deliver(CallerAnswer{.ticket = ticket, .id = "late"});
    EXPECT_TRUE(eventually([this] { return this->server->connectionCount() == 0; }));
}

// Guards against accepting more connections than the settings allow.
TEST_F(CallerServerTest, connectionsPastTheLimitAreRefusedWithAnAnswer)
{
    this->startServer({.maxConnections = 2});
    const auto first = this->connect();
    const auto second = this->connect();
    EXPECT_EQ(exchange(*first, "GET", "/v1/health", "").status, 200);
    EXPECT_EQ(exchange(*second, "GET", "/v1/health", "").status, 200);
    EXPECT_NE(this->sendRaw("").find("503"), std::string::npos);
    EXPECT_EQ(this->server->refusedConnections(), 1U);
    EXPECT_EQ(exchange(*first, "GET", "/v1/health", "").status, 200);
}

// Guards against a planned stop that loses the answers of requests in flight.
TEST_F(CallerServerTest, stopWaitsForRequestsInFlight)
{
    this->startServer();
    const auto client = this->connect();
    HttpClientResponse response;
    std::thread caller([&] { response = exchange(*client, "POST", requestsPath, readBody); });
    const auto ticket = this->inputs.nextOf<CallerRequestArrived>().request.ticket;
    this->server->failHealthChecks();
    std::thread stopping([this] { this->server->stop(std::chrono::seconds(10)); });
    this->server->deliver(CallerAnswer{.ticket = ticket, .id = "r-1"});
    stopping.join();
    caller.join();
    EXPECT_EQ(response.status, 200);
}

// Guards against load balancers that keep sending callers to an instance that is being stopped.
TEST_F(CallerServerTest, healthReportsThatTheInstanceIsStopping)
{
    this->startServer();
    const auto client = this->connect();
    this->server->failHealthChecks();
    EXPECT_EQ(exchange(*client, "GET", "/v1/health", "").status, 503);
}

} // namespace Jujubekeel
