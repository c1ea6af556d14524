#include "core/backendmessages.h"
#include "fakeprograms/childprogram.h"
#include "fakeprograms/httpconnection.h"
#include "wire/backendjson.h"

#include <array>
#include <map>
#include <memory>

namespace Jujubekeel {

namespace {

const std::array<std::string, 3> names{"a", "b", "c"};

/// Three servers whose ports the kernel picked, told to each other after the start.
class FakeBackendProgram : public testing::Test
{
protected:
    void start(const std::vector<std::string> &options = {})
    {
        nlohmann::json group = nlohmann::json::object();
        for (const std::string &name : names) {
            std::vector<std::string> arguments{"--name=" + name, "--group=a,b,c", "--first-primary=a"};
            arguments.insert(arguments.end(), options.begin(), options.end());
            this->programs[name] = std::make_unique<ChildProgram>("fake-backend", arguments);
            this->addresses[name] = this->programs[name]->waitForAddress();
            ASSERT_FALSE(this->addresses[name].empty());
            group[name] = this->addresses[name];
        }
        for (const std::string &name : names)
            ASSERT_EQ(HttpConnection(this->addresses[name]).post("/v1/group", group).status, 200);
    }

    std::unique_ptr<HttpConnection> connect(const std::string &name)
    {
        return std::make_unique<HttpConnection>(this->addresses.at(name));
    }
    std::unique_ptr<HttpConnection> openControl(const std::string &name, const std::string &instance = "p1")
    {
        auto connection = this->connect(name);
        EXPECT_EQ(connection->post("/v1/open", toJson(BackendLogin{.instance = instance, .control = true})).status,
                  200);
        return connection;
    }
    /// The instance must hold the lock.
    std::unique_ptr<HttpConnection> openWork(const std::string &name, const std::string &instance = "p1")
    {
        auto connection = this->connect(name);
        EXPECT_EQ(connection->post("/v1/open", toJson(BackendLogin{.instance = instance})).status, 200);
        return connection;
    }
    static nlohmann::json ask(HttpConnection &connection, const BackendRequest &request)
    {
        return connection.post("/v1/request", toJson(request)).body;
    }
    static std::string code(HttpConnection &connection, const BackendRequest &request)
    {
        const nlohmann::json answer = ask(connection, request);
        return answer.is_object() ? answer.value("code", "") : "";
    }
    nlohmann::json status(const std::string &name) { return this->connect(name)->get("/v1/status").body; }
    void fault(const std::string &name, const nlohmann::json &faults)
    {
        EXPECT_EQ(this->connect(name)->post("/v1/fault", faults).status, 200);
    }

    std::map<std::string, std::unique_ptr<ChildProgram>> programs;
    std::map<std::string, std::string> addresses;
};

const BackendRequest takeLock{.operation = BackendOperation::Lock};
const BackendRequest readK{.operation = BackendOperation::Execute, .statement = "get k"};

BackendRequest write(const std::string &statement)
{
    return {.operation = BackendOperation::Execute, .statement = statement, .write = true};
}

// Guards against servers that do not replicate to each other over HTTP, or that confirm what they did not replicate.
TEST_F(FakeBackendProgram, WriteIsConfirmedAndReadAtAReplica)
{
    this->start();
    const auto control = this->openControl("a");
    ASSERT_EQ(code(*control, takeLock), "ok");
    const nlohmann::json written = ask(*this->openWork("a"), write("put k v"));
    ASSERT_EQ(written["code"], "ok");
    ASSERT_TRUE(waitUntil([&] {
        return code(*control, {.operation = BackendOperation::Barrier, .position = 1, .wait = std::chrono::seconds(1)})
               == "ok";
    }));

    const auto replicaControl = this->openControl("b");
    ASSERT_EQ(code(*replicaControl, takeLock), "ok");
    const auto replicaWork = this->openWork("b");
    EXPECT_TRUE(waitUntil([&] { return ask(*replicaWork, readK)["value"] == "v"; }));
    EXPECT_EQ(code(*replicaWork, write("put k w")), "not-primary");
    EXPECT_EQ(this->connect("b")->get("/v1/log").body["entries"].at(0)["statements"], "put k v");
}

// Guards against sessions that outlive their connection and against a limit that is not kept.
TEST_F(FakeBackendProgram, ConnectionIsASession)
{
    this->start({"--connection-limit=2"});
    EXPECT_EQ(this->connect("a")->post("/v1/request", toJson(readK)).status, 409);
    EXPECT_EQ(this->connect("a")->post("/v1/open", toJson(BackendLogin{.instance = "p1"})).status, 403);
    auto control = this->openControl("a");
    ASSERT_EQ(code(*control, takeLock), "ok");
    auto work = this->openWork("a");
    EXPECT_EQ(this->connect("a")->post("/v1/open", toJson(BackendLogin{.instance = "p1"})).status, 503);
    EXPECT_EQ(work->post("/v1/open", toJson(BackendLogin{.instance = "p1"})).status, 409);

    control.reset();
    EXPECT_TRUE(waitUntil([&] { return this->status("a")["status"]["lock_holder"] == ""; }));
    EXPECT_EQ(code(*work, readK), "not-lock-holder");
    work.reset();
    EXPECT_TRUE(waitUntil([&] { return this->status("a")["status"]["connections"] == 0; }));
    EXPECT_EQ(this->status("a")["counters"]["connection_refusals"], 1);
}

// Guards against a new owner next to open connections of the one before.
TEST_F(FakeBackendProgram, PreemptionClosesTheConnectionsOfTheHolder)
{
    this->start();
    const auto control = this->openControl("a", "p1");
    ASSERT_EQ(code(*control, takeLock), "ok");
    const auto work = this->openWork("a", "p1");
    const auto other = this->openControl("a", "p2");
    EXPECT_EQ(code(*other, {.operation = BackendOperation::PreemptLock}), "ok");
    EXPECT_EQ(this->status("a")["status"]["connections"], 1);
    EXPECT_NE(control->post("/v1/request", toJson(BackendRequest{})).status, 200);
    EXPECT_NE(work->post("/v1/request", toJson(readK)).status, 200);
}

// Guards against a group that does not get over a partitioned primary.
TEST_F(FakeBackendProgram, CutOffPrimaryIsReplacedAndFollowsLater)
{
    this->start();
    const auto control = this->openControl("a");
    ASSERT_EQ(code(*control, takeLock), "ok");
    const auto work = this->openWork("a");
    this->fault("a", {{"cut_from", {"b", "c"}}});
    ASSERT_EQ(code(*work, write("put k lost")), "ok");
    EXPECT_EQ(
        code(*control, {.operation = BackendOperation::Barrier, .position = 1, .wait = std::chrono::milliseconds(150)}),
        "barrier-timeout");

    for (const std::string name : {"b", "c"})
        ASSERT_EQ(code(*this->openControl(name), {.operation = BackendOperation::Fence, .term = 2}), "ok");
    ASSERT_EQ(code(*this->openControl("b"), {.operation = BackendOperation::Promote, .term = 2}), "ok");
    this->fault("a", {{"cut_from", nlohmann::json::array()}});
    EXPECT_TRUE(waitUntil([&] {
        const nlohmann::json status = this->status("a")["status"];
        return status["role"] == "replica" && status["received"]["term"] == 2 && status["received"]["position"] == 0;
    }));
    EXPECT_EQ(ask(*work, readK)["value"], "");
}

// Guards against a frozen server that still answers, and against one that does not come back.
TEST_F(FakeBackendProgram, FrozenServerAnswersWhenItGoesOn)
{
    this->start({"--lock-timeout-ms=60000"});
    const auto control = this->openControl("a");
    this->fault("a", {{"frozen", true}});
    auto impatient = this->connect("a");
    impatient->setTimeout(std::chrono::milliseconds(300));
    EXPECT_EQ(impatient->post("/v1/open", toJson(BackendLogin{.instance = "p2", .control = true})).status, 0);
    control->setTimeout(std::chrono::milliseconds(300));
    EXPECT_EQ(control->post("/v1/request", toJson(BackendRequest{})).status, 0);
    this->fault("a", {{"frozen", false}});
    EXPECT_EQ(code(*this->openControl("a"), BackendRequest{}), "ok");
}

// Guards against errors that do not say what is wrong with a request.
TEST_F(FakeBackendProgram, MalformedRequestsAreExplained)
{
    this->start();
    const auto connection = this->connect("a");
    EXPECT_EQ(connection->send("POST", "/v1/open", "{").status, 400);
    const HttpResult missing = connection->post("/v1/open", nlohmann::json::object());
    EXPECT_EQ(missing.status, 400);
    EXPECT_EQ(missing.body["text"], "field instance: missing");
    EXPECT_EQ(connection->post("/v1/group", {{"d", "127.0.0.1:1"}}).body["text"],
              "field d: no such server in the group");
    EXPECT_EQ(connection->post("/v1/group", {{"b", "nowhere"}}).body["text"], "field b: ip:port is expected");
    EXPECT_EQ(connection->get("/v1/none").status, 404);
}

// Guards against programs that fail silently on a wrong command line, and against ones that do not end.
TEST(FakeBackendCommandLine, HelpVersionErrorsAndStop)
{
    ChildProgram help("fake-backend", {"--help"});
    EXPECT_NE(help.readAll().find("--connection-limit"), std::string::npos);
    EXPECT_EQ(help.wait(), 0);
    ChildProgram version("fake-backend", {"--version"});
    EXPECT_EQ(version.readAll(), "fake-backend 0.1.0\n");
    EXPECT_EQ(version.wait(), 0);
    EXPECT_EQ(ChildProgram("fake-backend", {"--name=a", "--group=b", "--first-primary=b"}).wait(), 2);
    EXPECT_EQ(ChildProgram("fake-backend", {"--name=a", "--group=a", "--first-primary=a", "--slots=none"}).wait(), 2);
    EXPECT_EQ(ChildProgram("fake-backend", {"--unknown"}).wait(), 2);
    ChildProgram running("fake-backend", {"--name=a", "--group=a", "--first-primary=a"});
    EXPECT_FALSE(running.waitForAddress().empty());
    EXPECT_EQ(running.stop(), 0);
}

} // namespace

} // namespace Jujubekeel
