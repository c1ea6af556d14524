#include "fakeprograms/childprogram.h"
#include "fakeprograms/httpconnection.h"

#include <future>

namespace Jujubekeel {

namespace {

/// Starts a fake platform with two listed instances and no list lag.
class FakePlatformProgram : public testing::Test
{
protected:
    FakePlatformProgram()
        : program("fake-platform", {"--list-lag-ms=0", "--instance=p1", "--instance=p0"}),
          address(this->program.waitForAddress()), connection(this->address)
    {
    }

    ChildProgram program;
    std::string address;
    HttpConnection connection;
};

// Guards against writers that overwrite each other because the expected version is not checked, and against keys that
// are truncated at a slash.
TEST_F(FakePlatformProgram, ObjectsAreUpdatedConditionally)
{
    const std::string path = "/v1/objects/rules/association";
    EXPECT_EQ(this->connection.get(path).status, 404);
    EXPECT_EQ(this->connection.send("PUT", path, "line 1\nline 2").status, 428);
    const HttpResult created = this->connection.send("PUT", path, "line 1\nline 2", "0");
    EXPECT_EQ(created.status, 200);
    EXPECT_EQ(created.etag, "\"1\"");
    const HttpResult conflict = this->connection.send("PUT", path, "other", "\"0\"");
    EXPECT_EQ(conflict.status, 412);
    EXPECT_EQ(conflict.body["code"], "conflict");
    EXPECT_EQ(conflict.body["version"], 1);
    EXPECT_EQ(this->connection.get(path).body["value"], "line 1\nline 2");
    EXPECT_EQ(this->connection.get("/v1/objects/rules").status, 404);
    EXPECT_EQ(this->connection.send("PUT", path, "\xff", "1").status, 400);
    EXPECT_EQ(this->connection.get("/v1/counters").body["writes"], 2);
}

// Guards against watches that miss a change or do not end after `wait_ms`.
TEST_F(FakePlatformProgram, WatchEndsOnChangeOrTimeout)
{
    auto watch = std::async(std::launch::async,
                            [this] { return HttpConnection(this->address).get("/v1/objects/k?after=0&wait_ms=9000"); });
    ASSERT_TRUE(waitUntil([&] { return this->connection.get("/v1/counters").body["waiting_watches"] == 1; }));
    this->connection.send("PUT", "/v1/objects/k", "one", "0");
    EXPECT_EQ(watch.get().body["value"], "one");
    EXPECT_EQ(this->connection.get("/v1/objects/k?after=1&wait_ms=1").body["code"], "unchanged");
    EXPECT_EQ(this->connection.get("/v1/objects/k?after=x").status, 400);
}

// Guards against an instance list that does not show added, leaving or removed instances.
TEST_F(FakePlatformProgram, InstanceListFollowsChanges)
{
    EXPECT_EQ(this->connection.get("/v1/instances").body["instances"].size(), 2U);
    EXPECT_EQ(this->connection.send("PUT", "/v1/instances/p2", R"({"leaving":true})").status, 200);
    for (const std::string name : {"p0", "p1"})
        EXPECT_EQ(this->connection.send("DELETE", "/v1/instances/" + name).status, 200);
    const nlohmann::json expected = {{{"name", "p2"}, {"leaving", true}}};
    EXPECT_TRUE(waitUntil([&] { return this->connection.get("/v1/instances").body["instances"] == expected; }));
}

// Guards against injected faults that still produce a response: a lost answer must leave its write applied, and a call
// while the platform is down must get no response.
TEST_F(FakePlatformProgram, FaultsSuppressResponses)
{
    ASSERT_EQ(this->connection.post("/v1/fault", {{"lose_answers", 1}}).status, 200);
    HttpConnection shortTimeoutConnection(this->address);
    shortTimeoutConnection.setTimeout(std::chrono::milliseconds(300));
    EXPECT_EQ(shortTimeoutConnection.send("PUT", "/v1/objects/k", "one", "0").status, 0);
    EXPECT_EQ(this->connection.get("/v1/objects/k").body["version"], 1);

    ASSERT_EQ(this->connection.post("/v1/fault", {{"down", true}}).status, 200);
    EXPECT_EQ(shortTimeoutConnection.get("/v1/objects/k").status, 0);
    ASSERT_EQ(this->connection.post("/v1/fault", {{"down", false}}).status, 200);
    EXPECT_EQ(this->connection.get("/v1/objects/k").status, 200);
    EXPECT_EQ(this->connection.post("/v1/fault", {{"latency_ms", "x"}}).status, 400);
}

// Guards against invalid command lines that are accepted, and against a program that does not end at SIGTERM.
TEST(FakePlatformCommandLine, HelpVersionErrorsAndStop)
{
    ChildProgram help("fake-platform", {"--help"});
    EXPECT_NE(help.readAll().find("--latency-ms"), std::string::npos);
    EXPECT_EQ(help.wait(), 0);
    EXPECT_EQ(ChildProgram("fake-platform", {"--version"}).wait(), 0);
    EXPECT_EQ(ChildProgram("fake-platform", {"--latency-ms=-1"}).wait(), 2);
    EXPECT_EQ(ChildProgram("fake-platform", {"--listen=127.0.0.1:none"}).wait(), 1);
    ChildProgram running("fake-platform", {});
    EXPECT_FALSE(running.waitForAddress().empty());
    EXPECT_EQ(running.stop(), 0);
}

} // namespace

} // namespace Jujubekeel
