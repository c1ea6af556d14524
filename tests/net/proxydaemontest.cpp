#include "net/proxydaemon.h"
#include "net/httpclient.h"
#include "net/inputqueue.h"
#include "net/logger.h"

#include <Poco/Pipe.h>
#include <Poco/Process.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

constexpr const char *anyPort = "127.0.0.1:0";

/// Settings of one instance whose platform and backend server cannot be reached.
ProxySettings makeSettings()
{
    ProxySettings settings;
    settings.self = InstanceId{.index = 0, .generation = 0};
    settings.layout.user = "example";
    settings.layout.instances = {{.name = "one-1",
                                  .failureDomain = "one",
                                  .callerAddress = anyPort,
                                  .peerAddress = anyPort,
                                  .operatorAddress = anyPort},
                                 {.name = "two-1", .failureDomain = "two", .peerAddress = "127.0.0.1:1"}};
    const BackendId backend{.index = 0, .generation = 0};
    settings.layout.databases = {{.name = "orders", .backends = {backend}}};
    settings.layout.backends = {{.name = "orders-a",
                                 .database = DatabaseId{.index = 0, .generation = 0},
                                 .failureDomain = "one",
                                 .address = "127.0.0.1:1"}};
    settings.options.session.tokenKeys = {"session key"};
    settings.platformAddress = "127.0.0.1:1";
    settings.peerKeys = {"peer key"};
    settings.operatorKeys = {"operator key", "second key"};
    return settings;
}

class ProxyDaemonTest : public testing::Test
{
protected:
    void SetUp() override
    {
        this->daemon = std::make_unique<ProxyDaemon>(makeSettings(), LoggerOptions{.instance = "one-1"},
                                                     [this] { this->stopped = true; });
        this->daemon->start();
    }
    static HttpClientResponse exchange(const std::string &address, const HttpClientRequest &request)
    {
        HttpClient client(address, std::chrono::seconds(5));
        std::string error;
        EXPECT_TRUE(client.connect(error)) << error;
        auto response = client.exchange(request, std::chrono::seconds(10), error);
        EXPECT_TRUE(response) << error;
        return response.value_or(HttpClientResponse{});
    }
    HttpClientResponse operatorRequest(const std::string &method, const std::string &path,
                                       const std::string &key = "operator key")
    {
        return exchange(this->daemon->operatorAddress(),
                        {.method = method, .path = path, .headers = {{"Operator-Key", key}}, .body = {}});
    }

    std::atomic<bool> stopped{false};
    std::unique_ptr<ProxyDaemon> daemon;
};

} // namespace

// Guards against requests that do not reach the core, and against answers that `explain` cannot show.
TEST_F(ProxyDaemonTest, requestsAreAnsweredAndExplained)
{
    const HttpClientResponse response =
        exchange(this->daemon->callerAddress(),
                 {.method = "POST",
                  .path = "/v1/databases/orders/requests",
                  .headers = {},
                  .body = R"({"operation":"order.look","kind":"read","statement":"get secret-statement"})"});
    EXPECT_EQ(response.status, 503);
    const auto answer = nlohmann::json::parse(response.body);
    EXPECT_EQ(answer["code"], 204);

    const HttpClientResponse record = this->operatorRequest("GET", "/v1/explain/" + answer["id"].get<std::string>());
    EXPECT_EQ(record.status, 200);
    const auto explained = nlohmann::json::parse(record.body);
    EXPECT_EQ(explained["code"], 204);
    EXPECT_EQ(explained["operation"], "order.look");
    EXPECT_EQ(record.body.find("secret-statement"), std::string::npos);
    const HttpClientResponse trace = this->operatorRequest("GET", "/v1/trace/" + explained["trace"].get<std::string>());
    EXPECT_EQ(trace.status, 200);
    EXPECT_EQ(nlohmann::json::parse(trace.body)["spans"][0]["name"], "entry");
    EXPECT_EQ(this->operatorRequest("GET", "/v1/explain/unknown").status, 404);
    EXPECT_EQ(this->operatorRequest("GET", "/v1/trace/unknown").status, 404);
}

// Guards against operator endpoints that need no key, and against a second key that is not accepted.
TEST_F(ProxyDaemonTest, operatorsNeedAKey)
{
    for (const char *path : {"/v1/status", "/metrics", "/v1/rules", "/v1/explain/x", "/v1/trace/x"}) {
        EXPECT_EQ(this->operatorRequest("GET", path, "wrong").status, 401) << path;
        EXPECT_EQ(this->operatorRequest("GET", path, "").status, 401) << path;
    }
    EXPECT_EQ(this->operatorRequest("POST", "/v1/drain", "wrong").status, 401);
    EXPECT_EQ(this->operatorRequest("GET", "/v1/status", "second key").status, 200);
    EXPECT_EQ(this->operatorRequest("GET", "/v1/drain").status, 404);
    EXPECT_FALSE(this->stopped);
}

// Guards against a status report without the fields that operators need during a failure.
TEST_F(ProxyDaemonTest, statusNamesPeersAndServers)
{
    const auto status = nlohmann::json::parse(this->operatorRequest("GET", "/v1/status").body);
    EXPECT_EQ(status["instance"], "one-1");
    EXPECT_EQ(status["failure_domain"], "one");
    EXPECT_TRUE(status["rules_version"].is_null());
    EXPECT_EQ(status["peers"][0]["name"], "two-1");
    EXPECT_EQ(status["peers"][0]["connected"], false);
    for (const char *field : {"owner", "role", "applied", "received", "status_age_ms", "slots", "queue"})
        EXPECT_TRUE(status["backend_servers"][0].contains(field)) << field;
    EXPECT_TRUE(nlohmann::json::parse(this->operatorRequest("GET", "/v1/rules").body)["text"].is_null());
}

// Guards against metrics that a Prometheus server cannot read: each line must be a comment or a name with a number.
TEST_F(ProxyDaemonTest, metricsAreValidText)
{
    const std::string text = this->operatorRequest("GET", "/metrics").body;
    EXPECT_NE(text.find("jujubekeel_process_cpu_seconds_total"), std::string::npos);
    EXPECT_NE(text.find("jujubekeel_core_steps_total{input=\"tick\"}"), std::string::npos);
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.starts_with("# TYPE "))
            continue;
        const std::size_t space = line.rfind(' ');
        ASSERT_NE(space, std::string::npos) << line;
        EXPECT_TRUE(line.starts_with("jujubekeel_")) << line;
        EXPECT_EQ(line.find_first_not_of("0123456789.", space + 1), std::string::npos) << line;
    }
}

// Guards against a planned stop that never completes, and against a health check that still succeeds during it.
TEST_F(ProxyDaemonTest, drainEndsWithTheStopOfTheCore)
{
    EXPECT_EQ(this->operatorRequest("POST", "/v1/drain").status, 202);
    EXPECT_EQ(
        exchange(this->daemon->callerAddress(), {.method = "GET", .path = "/v1/health", .headers = {}, .body = {}})
            .status,
        503);
    EXPECT_TRUE(eventually([this] { return this->stopped.load(); }));
    this->daemon->stop();
}

// Guards against a line that a pipe does not take at once: its writer would block, and the process could not end.
TEST(Logger, longLinesAreCut)
{
    const std::string line =
        Logger::formatLine(std::chrono::seconds(1), LogLevel::Warning, "one-1", "event",
                           {{"reason", std::string(1'000'000, '\x01')}, {"object", std::string(5'000, 'x')}});
    EXPECT_LT(line.size(), 4096U);
    EXPECT_EQ(line.front(), '{');
    EXPECT_EQ(line.back(), '}');
}

// Guards against log lines that are not a single JSON object because of special characters in a field.
TEST(Logger, linesAreJson)
{
    const std::string line = Logger::formatLine(std::chrono::seconds(1'796'362'586), LogLevel::Warning, "one-1",
                                                "request-not-run", {{"reason", "line\nfeed \"quoted\" \xff %level"}});
    EXPECT_EQ(line.find('\n'), std::string::npos);
    const auto json = nlohmann::json::parse(line);
    EXPECT_EQ(json["time"], "2026-12-04T05:36:26.000000Z");
    EXPECT_EQ(json["level"], "warning");
    EXPECT_EQ(json["event"], "request-not-run");
}

// Guards against a repeated event that floods the log and hides all others.
TEST(Logger, repeatsAreLimited)
{
    testing::internal::CaptureStdout();
    {
        Logger logger(LoggerOptions{.instance = "one-1", .repeatLimit = 3, .repeatWindow = std::chrono::hours(1)});
        for (int index = 0; index < 100; ++index)
            logger.write(LogLevel::Info, "repeated", {});
        logger.write(LogLevel::Info, "other", {});
        logger.write(LogLevel::Debug, "too-detailed", {});
    }
    const std::string text = testing::internal::GetCapturedStdout();
    EXPECT_EQ(std::ranges::count(text, '\n'), 4) << text;
    EXPECT_NE(text.find("other"), std::string::npos);
}

// Guards against changed exit codes: scripts and service managers rely on 0 for success and 2 for usage errors.
TEST(ProxyProgram, exitCodesDistinguishUsageErrors)
{
    const auto run = [](const std::vector<std::string> &arguments) {
        Poco::Pipe output;
        Poco::Pipe errors;
        return Poco::Process::launch(std::string(JUJUBEKEEL_BINARY_DIR) + "/bin/jujubekeel-proxy", arguments, nullptr,
                                     &output, &errors)
            .wait();
    };
    const std::string example = std::string(JUJUBEKEEL_SOURCE_DIR) + "/examples/minimal/";
    EXPECT_EQ(run({"--help"}), 0);
    EXPECT_EQ(run({"--version"}), 0);
    EXPECT_EQ(run({"--settings", example + "proxy-1.yaml", "--check"}), 0);
    EXPECT_EQ(run({}), 2);
    EXPECT_EQ(run({"--no-such-option"}), 2);
    EXPECT_EQ(run({"--settings", example + "missing.yaml"}), 2);
    EXPECT_EQ(run({"--settings", example + "rules.txt", "--check"}), 2);
}

} // namespace Jujubekeel
