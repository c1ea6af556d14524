#include "core/backendmessages.h"
#include "fakeprograms/childprogram.h"
#include "fakeprograms/httpconnection.h"
#include "wire/backendjson.h"

#include <array>
#include <map>
#include <memory>

namespace Jujubekeel {

namespace {

const std::array<std::string, 3> serverNames{"a", "b", "c"};

/// Starts a group of three servers. The kernel picks the ports; after the start each server is sent the addresses of
/// the group.
class FakeBackendProgram : public testing::Test
{
protected:
    void start(const std::vector<std::string> &options = {})
    {
        nlohmann::json group = nlohmann::json::object();
        for (const std::string &name : serverNames) {
            std::vector<std::string> arguments{"--name=" + name, "--group=a,b,c", "--first-primary=a"};
            arguments.insert(arguments.end(), options.begin(), options.end());
            this->programs[name] = std::make_unique<ChildProgram>("fake-backend", arguments);
            this->addresses[name] = this->programs[name]->waitForAddress();
            ASSERT_FALSE(this->addresses[name].empty());
            group[name] = this->addresses[name];
        }
        for (const std::string &name : serverNames)
            ASSERT_EQ(HttpConnection(this->addresses[name]).post("/v1/group", group).status, 200);
    }

    std::unique_ptr<HttpConnection> connect(const std::string &name)
    {
        return std::make_unique<HttpConnection>(this->addresses.at(name));
    }
    /// Opens a control session.
    std::unique_ptr<HttpConnection> openControl(const std::string &name, const std::string &instance = "p1")
    {
        auto connection = this->connect(name);
        EXPECT_EQ(connection->post("/v1/open", toJson(BackendLogin{.instance = instance, .control = true})).status,
                  200);
        return connection;
    }
    /// Opens a work session; the instance must hold the lock of the server.
    std::unique_ptr<HttpConnection> openWork(const std::string &name, const std::string &instance = "p1")
    {
        auto connection = this->connect(name);
        EXPECT_EQ(connection->post("/v1/open", toJson(BackendLogin{.instance = instance})).status, 200);
        return connection;
    }
    static nlohmann::json sendRequest(HttpConnection &connection, const BackendRequest &request)
    {
        return connection.post("/v1/request", toJson(request)).body;
    }
    static std::string resultCode(HttpConnection &connection, const BackendRequest &request)
    {
        const nlohmann::json answer = sendRequest(connection, request);
        return answer.is_object() ? answer.value("code", "") : "";
    }
    nlohmann::json status(const std::string &name) { return this->connect(name)->get("/v1/status").body; }
    void injectFault(const std::string &name, const nlohmann::json &faults)
    {
        EXPECT_EQ(this->connect(name)->post("/v1/fault", faults).status, 200);
    }

    std::map<std::string, std::unique_ptr<ChildProgram>> programs;
    std::map<std::string, std::string> addresses;
};

const BackendRequest lockRequest{.operation = BackendOperation::Lock};
const BackendRequest readRequest{.operation = BackendOperation::Execute, .statement = "get k"};

BackendRequest writeRequest(const std::string &statement)
{
    return {.operation = BackendOperation::Execute, .statement = statement, .write = true};
}

// Guards against writes that are not replicated to the other servers over HTTP, and against a barrier that confirms a
// write which no replica has received.
TEST_F(FakeBackendProgram, WriteIsConfirmedAndReadFromReplica)
{
    this->start();
    const auto control = this->openControl("a");
    ASSERT_EQ(resultCode(*control, lockRequest), "ok");
    const nlohmann::json written = sendRequest(*this->openWork("a"), writeRequest("put k v"));
    ASSERT_EQ(written["code"], "ok");
    ASSERT_TRUE(waitUntil([&] {
        return resultCode(*control,
                          {.operation = BackendOperation::Barrier, .position = 1, .wait = std::chrono::seconds(1)})
               == "ok";
    }));

    const auto replicaControl = this->openControl("b");
    ASSERT_EQ(resultCode(*replicaControl, lockRequest), "ok");
    const auto replicaWork = this->openWork("b");
    EXPECT_TRUE(waitUntil([&] { return sendRequest(*replicaWork, readRequest)["value"] == "v"; }));
    EXPECT_EQ(resultCode(*replicaWork, writeRequest("put k w")), "not-primary");
    EXPECT_EQ(this->connect("b")->get("/v1/log").body["entries"].at(0)["statements"], "put k v");
}

// Guards against sessions that stay open after their connection has closed, and against a connection limit that is not
// enforced.
TEST_F(FakeBackendProgram, SessionEndsWithItsConnection)
{
    this->start({"--connection-limit=2"});
    EXPECT_EQ(this->connect("a")->post("/v1/request", toJson(readRequest)).status, 409);
    EXPECT_EQ(this->connect("a")->post("/v1/open", toJson(BackendLogin{.instance = "p1"})).status, 403);
    auto control = this->openControl("a");
    ASSERT_EQ(resultCode(*control, lockRequest), "ok");
    auto work = this->openWork("a");
    EXPECT_EQ(this->connect("a")->post("/v1/open", toJson(BackendLogin{.instance = "p1"})).status, 503);
    EXPECT_EQ(work->post("/v1/open", toJson(BackendLogin{.instance = "p1"})).status, 409);

    control.reset();
    EXPECT_TRUE(waitUntil([&] { return this->status("a")["status"]["lock_holder"] == ""; }));
    EXPECT_EQ(resultCode(*work, readRequest), "not-lock-holder");
    work.reset();
    EXPECT_TRUE(waitUntil([&] { return this->status("a")["status"]["connections"] == 0; }));
    EXPECT_EQ(this->status("a")["counters"]["connection_refusals"], 1);
}

// Guards against connections of the previous lock holder that stay open after another instance has preempted the lock.
TEST_F(FakeBackendProgram, PreemptionClosesConnectionsOfThePreviousLockHolder)
{
    this->start();
    const auto control = this->openControl("a", "p1");
    ASSERT_EQ(resultCode(*control, lockRequest), "ok");
    const auto work = this->openWork("a", "p1");
    const auto other = this->openControl("a", "p2");
    EXPECT_EQ(resultCode(*other, {.operation = BackendOperation::PreemptLock}), "ok");
    EXPECT_EQ(this->status("a")["status"]["connections"], 1);
    EXPECT_NE(control->post("/v1/request", toJson(BackendRequest{})).status, 200);
    EXPECT_NE(work->post("/v1/request", toJson(readRequest)).status, 200);
}

// Guards against an isolated primary that cannot be replaced, or that keeps its unreplicated write after it has
// rejoined the group.
TEST_F(FakeBackendProgram, IsolatedPrimaryIsReplacedAndRejoinsAsReplica)
{
    this->start();
    const auto control = this->openControl("a");
    ASSERT_EQ(resultCode(*control, lockRequest), "ok");
    const auto work = this->openWork("a");
    this->injectFault("a", {{"cut_from", {"b", "c"}}});
    ASSERT_EQ(resultCode(*work, writeRequest("put k lost")), "ok");
    EXPECT_EQ(
        resultCode(*control,
                   {.operation = BackendOperation::Barrier, .position = 1, .wait = std::chrono::milliseconds(150)}),
        "barrier-timeout");

    for (const std::string name : {"b", "c"})
        ASSERT_EQ(resultCode(*this->openControl(name), {.operation = BackendOperation::Fence, .term = 2}), "ok");
    ASSERT_EQ(resultCode(*this->openControl("b"), {.operation = BackendOperation::Promote, .term = 2}), "ok");
    this->injectFault("a", {{"cut_from", nlohmann::json::array()}});
    EXPECT_TRUE(waitUntil([&] {
        const nlohmann::json status = this->status("a")["status"];
        return status["role"] == "replica" && status["received"]["term"] == 2 && status["received"]["position"] == 0;
    }));
    EXPECT_EQ(sendRequest(*work, readRequest)["value"], "");
}

// Guards against a server that answers while it is frozen, and against one that does not answer after it has resumed.
TEST_F(FakeBackendProgram, FrozenServerAnswersOnlyAfterItResumes)
{
    this->start({"--lock-timeout-ms=60000"});
    const auto control = this->openControl("a");
    this->injectFault("a", {{"frozen", true}});
    auto shortTimeoutConnection = this->connect("a");
    shortTimeoutConnection->setTimeout(std::chrono::milliseconds(300));
    EXPECT_EQ(shortTimeoutConnection->post("/v1/open", toJson(BackendLogin{.instance = "p2", .control = true})).status,
              0);
    control->setTimeout(std::chrono::milliseconds(300));
    EXPECT_EQ(control->post("/v1/request", toJson(BackendRequest{})).status, 0);
    this->injectFault("a", {{"frozen", false}});
    EXPECT_EQ(resultCode(*this->openControl("a"), BackendRequest{}), "ok");
}

// Guards against errors that do not name the invalid field of a request.
TEST_F(FakeBackendProgram, MalformedRequestsGetSpecificErrors)
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

// Guards against invalid command lines that are accepted, and against a program that does not end at SIGTERM.
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
