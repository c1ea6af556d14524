#include "ctl/ctlprogram.h"
#include "ctl/httpfake.h"

#include "fakes/fakeplatform.h"
#include "rules/rulesobject.h"
#include "wire/platformjson.h"

#include <Poco/Net/ServerSocket.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Jujubekeel {

namespace {

constexpr std::string_view ruleText = "read-age orders lookup.* 10s # Ana: lists may be old\n"
                                      "no-repeat orders order.* # Ana: never twice\n";
const std::string operatorKey(40, 'o');

/// Answer of the fake platform over HTTP, in the form of the fake-platform program.
HttpFakeReply platformReply(const PlatformAnswer &answer)
{
    int status = 200;
    if (answer.code == PlatformStatusCode::NotFound)
        status = 404;
    if (answer.code == PlatformStatusCode::Conflict)
        status = 412;
    return {.status = status, .body = toJsonText(answer)};
}

/// Runs jujubekeel-ctl against HTTP fakes of the platform and of two instances.
class CtlTest : public testing::Test
{
protected:
    void SetUp() override
    {
        const auto *info = testing::UnitTest::GetInstance()->current_test_info();
        this->directory = std::filesystem::path(JUJUBEKEEL_BINARY_DIR) / "ctltest" / info->name();
        std::filesystem::remove_all(this->directory);
        std::filesystem::create_directories(this->directory);
        this->write("rules.txt", std::string(ruleText));
        this->write("operator.keys", operatorKey + "\n");
        this->writeSettings(this->instances[0]->address(), this->instances[1]->address());
    }

    void writeSettings(const std::string &first, const std::string &second)
    {
        std::string text = "user: example\nplatform: { address: \"" + this->platformServer.address() + "\" }\n";
        text += "keys: { operator_file: operator.keys }\nrules: { call_timeout_ms: 1000 }\ninstances:\n";
        text += "  - { name: proxy-1, failure_domain: zone-a, caller_address: \"127.0.0.1:1\", peer_address: "
                "\"127.0.0.1:2\", operator_address: \"";
        text += first + "\" }\n";
        text += "  - { name: proxy-2, failure_domain: zone-b, caller_address: \"127.0.0.1:3\", peer_address: "
                "\"127.0.0.1:4\", operator_address: \"";
        text += second + "\" }\n";
        text += "databases:\n  - name: orders\n    servers:\n"
                "      - { name: orders-a, failure_domain: zone-a, address: \"127.0.0.1:5\" }\n"
                "      - { name: orders-b, failure_domain: zone-b, address: \"127.0.0.1:6\" }\n";
        this->write("fleet.yaml", text);
    }

    void write(const std::string &name, const std::string &text) const
    {
        std::ofstream(this->directory / name) << text;
    }

    [[nodiscard]] CommandResult run(std::vector<std::string> arguments, bool withSettings = true) const
    {
        if (withSettings)
            arguments.push_back("--settings=" + (this->directory / "fleet.yaml").string());
        return runCtl(arguments, this->directory.string());
    }

    [[nodiscard]] std::string file(const std::string &name) const { return (this->directory / name).string(); }

    PlatformAnswer callPlatform(const PlatformCall &call)
    {
        this->platform.call(TimePoint{0}, 1, call);
        const auto outputs = this->platform.takeOutputs();
        return outputs.empty() ? PlatformAnswer{} : outputs.front().answer;
    }

    /// Stores a rule text as another operator.
    void storeRules(const std::string &author, const std::string &text)
    {
        const RulesObject object{.writer = author + "-writer",
                                 .sequence = 1,
                                 .author = author,
                                 .time = "2026-12-04T05:00:00Z",
                                 .text = text};
        (void)this->callPlatform({.operation = PlatformOperation::Put,
                                  .key = "rules/example",
                                  .expectedVersion = this->platform.version("rules/example"),
                                  .value = object.encode()});
    }

    HttpFakeReply servePlatform(const HttpFakeCall &call)
    {
        const std::scoped_lock lock(this->mutex);
        PlatformCall request{.key = call.path.substr(std::string("/v1/objects/").size())};
        if (call.method == "PUT") {
            this->puts += 1;
            if (this->beforePut)
                this->beforePut();
            request.operation = PlatformOperation::Put;
            request.expectedVersion = std::stoull(call.ifMatch);
            request.value = call.body;
        }
        if (this->platformDown)
            return {.status = 0};
        const PlatformAnswer answer = this->callPlatform(request);
        if (answer.code == PlatformStatusCode::Unavailable)
            return {.status = 0};
        return platformReply(answer);
    }

    HttpFakeReply serveInstance(std::size_t index, const HttpFakeCall &call)
    {
        const std::scoped_lock lock(this->mutex);
        if (call.operatorKey != operatorKey)
            return {.status = 401, .body = R"({"code":106,"name":"unauthorized","text":"wrong key"})"};
        this->instanceCalls.push_back(call.method + " " + call.path);
        const auto found = this->replies[index].find(call.path);
        if (found == this->replies[index].end())
            return {.status = 404, .body = R"({"code":605,"name":"not-found","text":"no record"})"};
        return {.body = found->second()};
    }

    /// Sets the response of an instance to a request of \a path.
    void setReply(std::size_t index, const std::string &path, const nlohmann::json &json)
    {
        this->replies.at(index)[path] = [text = json.dump()] { return text; };
    }

    std::filesystem::path directory;
    std::mutex mutex;
    FakePlatform platform{FakePlatformOptions{.latency = Duration{0}}};
    std::function<void()> beforePut; ///< called before the platform handles a PUT
    bool platformDown = false;       ///< the platform closes connections without a response
    std::uint32_t puts = 0;          ///< PUT requests that reached the platform
    std::array<std::map<std::string, std::function<std::string()>>, 2> replies; ///< by instance: response body by path
    std::vector<std::string> instanceCalls;                                     ///< "METHOD /path" of authorized calls
    // Declared last, so that the servers stop before the members that their handlers use are destroyed.
    HttpFake platformServer{[this](const HttpFakeCall &call) { return this->servePlatform(call); }};
    std::array<std::unique_ptr<HttpFake>, 2> instances{
        std::make_unique<HttpFake>([this](const HttpFakeCall &call) { return this->serveInstance(0, call); }),
        std::make_unique<HttpFake>([this](const HttpFakeCall &call) { return this->serveInstance(1, call); }),
    };
};

// Guards against a usage text that differs from what the program accepts, and against wrong exit statuses.
TEST_F(CtlTest, UsageErrorsExitWithTwo)
{
    EXPECT_EQ(this->run({"--help"}, false).status, 0);
    EXPECT_EQ(this->run({"--version"}, false).output, "jujubekeel-ctl 0.1.0\n");
    for (const std::vector<std::string> &arguments :
         {std::vector<std::string>{}, {"rename"}, {"check"}, {"status", "extra"}}) {
        const CommandResult result = this->run(arguments);
        EXPECT_EQ(result.status, 2);
        EXPECT_NE(result.errors.find("604 usage-error"), std::string::npos) << result.errors;
    }
    EXPECT_EQ(this->run({"apply", this->file("rules.txt"), "--base=x"}).status, 2);
    EXPECT_EQ(this->run({"apply", this->file("rules.txt"), "--wait-limit=0"}).status, 2);
    EXPECT_EQ(this->run({"apply", this->file("rules.txt"), "--author=a\xff"}).status, 2);
    const CommandResult result = this->run({"status", "--settings=missing.yaml"}, false);
    EXPECT_EQ(result.status, 2);
    EXPECT_NE(result.errors.find("missing.yaml: 600 bad-settings"), std::string::npos) << result.errors;
}

// Guards against accepting a rule file that the proxies would reject.
TEST_F(CtlTest, CheckReportsEveryErrorWithFileAndLine)
{
    EXPECT_EQ(this->run({"check", this->file("rules.txt")}).status, 0);
    this->write("bad.txt", "no-repeat orders order.*\nread-age orders lookup.* 5 # A\n");
    CommandResult result = this->run({"check", this->file("bad.txt")});
    EXPECT_EQ(result.status, 2);
    EXPECT_NE(result.errors.find("bad.txt:1: 601 bad-rules:"), std::string::npos) << result.errors;
    EXPECT_NE(result.errors.find("bad.txt:2: 601 bad-rules:"), std::string::npos) << result.errors;

    this->write("bad.txt", "leaving backend orders-z # A\n");
    result = this->run({"check", this->file("bad.txt"), "--json"});
    EXPECT_EQ(result.status, 2);
    EXPECT_EQ(nlohmann::json::parse(result.errors).at("line"), 1);
    EXPECT_EQ(this->run({"check", this->file("missing.txt")}).status, 2);
    EXPECT_EQ(this->run({"check", this->directory.string()}).status, 2);
}

// Guards against a stored rules object that proxies cannot read or that lacks its author.
TEST_F(CtlTest, ApplyStoresTheObjectThatProxiesRead)
{
    const CommandResult result = this->run({"apply", this->file("rules.txt"), "--author=Ana"});
    EXPECT_EQ(result.status, 0) << result.errors;
    EXPECT_NE(result.output.find("applied as version 1"), std::string::npos) << result.output;
    FailureReason reason;
    const auto object = RulesObject::decode(this->platform.value("rules/example"), reason);
    ASSERT_TRUE(object.has_value()) << reason.text();
    EXPECT_EQ(object->text, ruleText);
    EXPECT_EQ(object->author, "Ana");
    EXPECT_FALSE(object->writer.empty());

    // The same file again changes nothing.
    const CommandResult again = this->run({"apply", this->file("rules.txt"), "--author=Ben", "--json"});
    EXPECT_EQ(again.status, 0);
    EXPECT_EQ(nlohmann::json::parse(again.output).at("outcome"), "unchanged");
    EXPECT_EQ(this->puts, 1U);
}

// Guards against writing rules that did not pass the check.
TEST_F(CtlTest, ApplyDoesNotWriteABadFile)
{
    this->write("bad.txt", "no-repeat orders order.*\n");
    EXPECT_EQ(this->run({"apply", this->file("bad.txt")}).status, 2);
    EXPECT_EQ(this->puts, 0U);
}

// Guards against applying an edit twice, or reporting a failure, when only the platform's answer was lost.
TEST_F(CtlTest, ApplyRecognizesItsWriteAfterALostAnswer)
{
    this->platform.loseAnswers(1);
    const CommandResult result = this->run({"apply", this->file("rules.txt"), "--json"});
    EXPECT_EQ(result.status, 0) << result.errors;
    const auto json = nlohmann::json::parse(result.output);
    EXPECT_EQ(json.at("outcome"), "applied");
    EXPECT_EQ(json.at("answer_was_lost"), true);
    EXPECT_EQ(this->platform.version("rules/example"), 1U);
    EXPECT_EQ(this->puts, 1U);
}

// Guards against an edit that silently overwrites that of another operator.
TEST_F(CtlTest, ConflictReportsTheEditInForce)
{
    this->beforePut = [this] { this->storeRules("Ben", "no-repeat orders pay.* # Ben: money\n"); };
    CommandResult result = this->run({"apply", this->file("rules.txt"), "--author=Ana"});
    EXPECT_EQ(result.status, 1);
    EXPECT_NE(result.errors.find("602 rules-conflict"), std::string::npos) << result.errors;
    EXPECT_NE(result.errors.find("version 1 by Ben at 2026-12-04T05:00:00Z won"), std::string::npos) << result.errors;
    EXPECT_NE(result.output.find("- 1: no-repeat orders pay.*"), std::string::npos) << result.output;
    EXPECT_NE(result.output.find("+ 2: no-repeat orders order.*"), std::string::npos) << result.output;
    EXPECT_EQ(this->platform.version("rules/example"), 1U);

    // An edit that is based on an older version is not written either.
    this->beforePut = nullptr;
    this->puts = 0;
    result = this->run({"apply", this->file("rules.txt"), "--base=0"});
    EXPECT_EQ(result.status, 1);
    EXPECT_EQ(this->puts, 0U);
    EXPECT_EQ(this->run({"apply", this->file("rules.txt"), "--base=1"}).status, 0);
}

// Guards against a command that hangs or reports success in an outage of the platform.
TEST_F(CtlTest, ApplyFailsInAnOutage)
{
    this->platformDown = true;
    const CommandResult result = this->run({"apply", this->file("rules.txt")});
    EXPECT_EQ(result.status, 1);
    EXPECT_NE(result.errors.find("603 platform-unavailable: not applied"), std::string::npos) << result.errors;
}

// Guards against reporting a version as in force while an instance that serves callers still has the old one.
TEST_F(CtlTest, ApplyWaitsForEveryLiveInstance)
{
    std::atomic<int> statusCalls = 0;
    this->setReply(0, "/v1/status", {{"instance", "proxy-1"}, {"rules_version", 1}});
    this->replies[1]["/v1/status"] = [&] {
        return std::string(R"({"instance":"proxy-2","rules_version":)") + (++statusCalls < 3 ? "null}" : "1}");
    };
    CommandResult result = this->run({"apply", this->file("rules.txt"), "--wait"});
    EXPECT_EQ(result.status, 0) << result.errors;
    EXPECT_NE(result.output.find("in force on all 2 live instances"), std::string::npos) << result.output;
    EXPECT_EQ(statusCalls, 3);

    this->setReply(1, "/v1/status", {{"instance", "proxy-2"}, {"rules_version", 0}});
    result = this->run({"apply", this->file("rules.txt"), "--wait", "--wait-limit=1"});
    EXPECT_EQ(result.status, 1);
    EXPECT_NE(result.errors.find("not yet in force on proxy-2 (0)"), std::string::npos) << result.errors;
}

// Guards against ignoring an instance that the command cannot reach but that its peers report as live.
TEST_F(CtlTest, ApplyWaitsForALiveInstanceThatItCannotReach)
{
    // The address of a port without a listener.
    std::string unusedAddress;
    {
        const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1:0"));
        unusedAddress = socket.address().toString();
    }
    this->writeSettings(this->instances[0]->address(), unusedAddress);
    const auto status = [](bool live, int version) {
        return nlohmann::json{{"instance", "proxy-1"},
                              {"rules_version", 1},
                              {"peers", {{{"name", "proxy-2"}, {"live", live}, {"rules_version", version}}}}};
    };
    this->setReply(0, "/v1/status", status(true, 0));
    EXPECT_EQ(this->run({"apply", this->file("rules.txt"), "--wait", "--wait-limit=1"}).status, 1);
    this->setReply(0, "/v1/status", status(true, 1));
    EXPECT_EQ(this->run({"apply", this->file("rules.txt"), "--wait", "--wait-limit=1"}).status, 0);
    this->setReply(0, "/v1/status", status(false, 0));
    const CommandResult result = this->run({"apply", this->file("rules.txt"), "--wait", "--wait-limit=1"});
    EXPECT_EQ(result.status, 0) << result.errors;
    EXPECT_NE(result.output.find("proxy-2 is not live"), std::string::npos) << result.output;
}

// Guards against a command that does not show the rules in force, also during an outage of the platform.
TEST_F(CtlTest, RulesShowsTheSetAndTheVersionOnEachInstance)
{
    EXPECT_EQ(this->run({"rules"}).status, 1);
    this->storeRules("Ben", std::string(ruleText));
    this->storeRules("Ana", std::string(ruleText) + "# end\n");
    this->setReply(0, "/v1/status", {{"instance", "proxy-1"}, {"rules_version", 2}});
    this->setReply(1, "/v1/status", {{"instance", "proxy-2"}, {"rules_version", 1}});
    CommandResult result = this->run({"rules"});
    EXPECT_EQ(result.status, 0) << result.errors;
    EXPECT_NE(result.output.find("version 2 by Ana"), std::string::npos) << result.output;
    EXPECT_NE(result.output.find("answers, behind"), std::string::npos) << result.output;
    const auto json = nlohmann::json::parse(this->run({"rules", "--json"}).output);
    EXPECT_EQ(json.at("version"), 2);
    EXPECT_EQ(json.at("instances").at(1).at("version"), 1);

    this->platformDown = true;
    this->setReply(0, "/v1/rules", {{"version", 2}, {"text", "# two\n"}});
    this->setReply(1, "/v1/rules", {{"version", 1}, {"text", "# one\n"}});
    result = this->run({"rules"});
    EXPECT_EQ(result.status, 0) << result.errors;
    EXPECT_NE(result.output.find("# two"), std::string::npos) << result.output;
    EXPECT_NE(result.errors.find("warning: the platform did not answer"), std::string::npos) << result.errors;
}

// Guards against showing the status of a backend server as seen by another instance instead of that of its owner.
TEST_F(CtlTest, StatusPrefersTheReportOfTheOwner)
{
    const auto status = [](const std::string &instance, const std::string &ownership, int position, double age) {
        return nlohmann::json{
            {"instance", instance},
            {"rules_version", 3},
            {"stopping", false},
            {"databases", {{{"name", "orders"}, {"primary", "orders-a"}, {"term", ownership == "owned" ? 2 : 1}}}},
            {"backend_servers",
             {{{"name", "orders-a"},
               {"database", "orders"},
               {"owner", "proxy-2"},
               {"ownership", ownership},
               {"role", "primary"},
               {"applied", {{"term", 2}, {"position", position}}},
               {"status_age_ms", age}}}}};
    };
    this->setReply(0, "/v1/status", status("proxy-1", "none", 5, 1.0));
    this->setReply(1, "/v1/status", status("proxy-2", "owned", 9, 200.0));
    const CommandResult result = this->run({"status"});
    EXPECT_EQ(result.status, 0) << result.errors;
    EXPECT_NE(result.output.find("2/9"), std::string::npos) << result.output;
    EXPECT_EQ(result.output.find("2/5"), std::string::npos) << result.output;
    EXPECT_NE(result.output.find("200.0 ms"), std::string::npos) << result.output;
    const auto json = nlohmann::json::parse(this->run({"status", "--json"}).output);
    EXPECT_EQ(json.at("databases").at(0).at("term"), 2);
    EXPECT_EQ(json.at("backend_servers").at(0).at("reported_by"), "proxy-2");
    EXPECT_EQ(json.at("instances").size(), 2U);
}

// Guards against malformed responses that end the command, and against a wrong key that is reported as an outage.
TEST_F(CtlTest, UnusableResponsesAreReported)
{
    this->replies[0]["/v1/status"] = [] { return std::string("[1,2"); };
    this->replies[1]["/v1/status"] = [] {
        return std::string(R"({"backend_servers":[1,{"name":3},{"name":"x","applied":7}],"databases":{},"peers":4})");
    };
    CommandResult result = this->run({"status"});
    EXPECT_EQ(result.status, 0) << result.errors;
    EXPECT_NE(result.errors.find("606 instance-unreachable"), std::string::npos) << result.errors;

    this->write("operator.keys", std::string(40, 'x'));
    result = this->run({"status"});
    EXPECT_EQ(result.status, 1);
    EXPECT_NE(result.errors.find("106 unauthorized"), std::string::npos) << result.errors;
}

// Guards against an explanation without the rule that decided or without its requester.
TEST_F(CtlTest, ExplainShowsTheRecordOfAnyInstance)
{
    this->setReply(1, "/v1/explain/r-1",
                   {{"id", "r-1"}, {"code", 0}, {"decision", {{"rule_line", 2}, {"requester", "Ana"}}}});
    CommandResult result = this->run({"explain", "r-1"});
    EXPECT_EQ(result.status, 0) << result.errors;
    EXPECT_NE(result.output.find("instance: proxy-2"), std::string::npos) << result.output;
    EXPECT_NE(result.output.find("  requester: Ana"), std::string::npos) << result.output;
    result = this->run({"explain", "r-2"});
    EXPECT_EQ(result.status, 1);
    EXPECT_NE(result.errors.find("605 not-found"), std::string::npos) << result.errors;
}

// Guards against a trace tree that omits hops of other instances or compares their clocks.
TEST_F(CtlTest, TraceCombinesTheHopsOfAllInstances)
{
    const auto hop = [](const std::string &span, const std::string &parent, const std::string &name, int start,
                        int duration) {
        return nlohmann::json{{"span", span},      {"parent", parent},        {"name", name},
                              {"start_us", start}, {"duration_us", duration}, {"attributes", {{"code", "0"}}}};
    };
    this->setReply(0, "/v1/trace/t1", {{"trace", "t1"}, {"spans", {hop("a", "caller", "entry", 9000000, 12300)}}});
    this->setReply(1, "/v1/trace/t1",
                   {{"trace", "t1"},
                    {"spans",
                     {hop("c", "b", "backend", 120, 9100), hop("b", "a", "owner", 100, 11100),
                      hop("x", "y", "loop", 0, 5), hop("y", "x", "loop", 0, 5)}}});
    const CommandResult result = this->run({"trace", "t1"});
    EXPECT_EQ(result.status, 0) << result.errors;
    const std::size_t entry = result.output.find("\nentry ");
    const std::size_t owner = result.output.find("\n  owner ");
    const std::size_t backend = result.output.find("\n    backend ");
    ASSERT_NE(entry, std::string::npos) << result.output;
    ASSERT_NE(owner, std::string::npos) << result.output;
    ASSERT_NE(backend, std::string::npos) << result.output;
    EXPECT_TRUE(entry < owner && owner < backend);

    const auto json = nlohmann::json::parse(this->run({"trace", "t1", "--json"}).output);
    ASSERT_EQ(json.at("hops").size(), 5U);
    EXPECT_EQ(json.at("hops").at(0).at("own_us"), 1200);
    EXPECT_EQ(json.at("hops").at(1).at("own_us"), 2000);
    EXPECT_EQ(json.at("hops").at(2).at("own_us"), 9100);
    EXPECT_EQ(this->run({"trace", "t2"}).status, 1);
}

// Guards against draining another instance than the one that was named.
TEST_F(CtlTest, DrainCallsOnlyTheNamedInstance)
{
    this->setReply(1, "/v1/drain", {{"status", "stopping"}});
    EXPECT_EQ(this->run({"drain", "proxy-2"}).status, 0);
    EXPECT_EQ(this->instanceCalls, (std::vector<std::string>{"POST /v1/drain"}));
    EXPECT_EQ(this->run({"drain", "proxy-9"}).status, 2);
    this->instances[1].reset();
    const CommandResult result = this->run({"drain", "proxy-2"});
    EXPECT_EQ(result.status, 1);
    EXPECT_NE(result.errors.find("606 instance-unreachable"), std::string::npos) << result.errors;
}

} // namespace

} // namespace Jujubekeel
