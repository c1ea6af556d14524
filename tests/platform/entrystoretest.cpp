#include "entrystore.h"

#include "entrysettings.h"

#include "net/boottime.h"
#include "net/httplistener.h"
#include "net/logger.h"
#include "pool/poolcore.h"

#include <asio/io_context.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Jujubekeel {

namespace {

constexpr const char *routesWithOneService =
    R"({"Routes":[{"Name":"r","Host":"db","Service":"s"}],"Services":[{"Name":"s"}],"Version":)";

constexpr const char *unavailable = "unavailable";

std::string routeList(std::uint64_t version, std::uint64_t revision)
{
    return R"({"items":[{"meta":{"Name":"main","Revision":)" + std::to_string(revision) + R"(},"spec":)"
           + routesWithOneService + std::to_string(version) + R"(}}],"CurrentRev":)" + std::to_string(revision) + "}";
}

/// Runs an EntryStore against an HTTP server that plays the platform's store.
class EntryStoreTest : public testing::Test
{
protected:
    /// Answers the request number \a count (from 1) for a kind; an empty text leaves it without an answer, and
    /// `unavailable` refuses it.
    using Answer = std::function<std::string(const std::string &kind, std::size_t count)>;

    ~EntryStoreTest() override
    {
        this->store.reset();
        if (this->server)
            this->server->stop(Duration{0});
    }
    void start(Answer answer)
    {
        this->server = std::make_unique<HttpListener>(
            HttpListenerOptions{.address = "127.0.0.1:0"},
            [this, answer](const HttpRequest &request) { this->serve(request, answer); }, [](std::uint64_t) {},
            [](ResultCode, const std::string &) { return HttpResponse{.status = 400}; });
        this->server->start();
        this->settings.storeAddress = this->server->address();
        this->settings.promotionAddress = this->settings.storeAddress;
        this->core = std::make_unique<PoolCore>(PoolOptions{.instance = "a", .firstStart = true});
        this->core->start(bootTime(), 1);
        this->store = std::make_unique<EntryStore>(this->settings, this->logger, this->loop, *this->core,
                                                   [this] { this->carryOut(); });
        this->store->start();
    }
    void carryOut()
    {
        for (PoolAction &action : this->core->takeActions()) {
            if (const auto *write = std::get_if<WriteFleetObject>(&action))
                this->store->writeFleetObject(*write);
        }
        this->store->applyWatchPlan();
    }
    void serve(const HttpRequest &request, const Answer &answer)
    {
        const std::string kind = request.path.substr(request.path.rfind('/') + 1);
        if (request.method != "GET") {
            this->server->respond(request.exchangeId, HttpResponse{.status = 503});
            return;
        }
        std::size_t count = 0;
        {
            const std::scoped_lock lock(this->mutex);
            count = ++this->requests[kind];
        }
        const std::string body = answer(kind, count);
        if (body == unavailable)
            this->server->respond(request.exchangeId, HttpResponse{.status = 503});
        else if (!body.empty())
            this->server->respond(request.exchangeId, HttpResponse{.status = 200, .body = body});
    }
    std::size_t requestCount(const std::string &kind)
    {
        const std::scoped_lock lock(this->mutex);
        return this->requests[kind];
    }
    /// Runs the event loop until the condition holds, for up to 30 s.
    bool runUntil(const std::function<bool()> &condition)
    {
        const TimePoint end = bootTime() + std::chrono::seconds(30);
        while (!condition()) {
            if (bootTime() > end)
                return false;
            this->loop.restart();
            this->loop.run_for(std::chrono::milliseconds(5));
        }
        return true;
    }
    std::uint64_t routeVersion() const
    {
        return this->core->state().routes ? this->core->state().routes->version() : 0;
    }

    EntrySettings settings;
    Logger logger{LoggerOptions{.instance = "a", .level = LogLevel::Error}};
    asio::io_context loop;
    std::mutex mutex;
    std::map<std::string, std::size_t> requests; ///< by kind
    std::unique_ptr<HttpListener> server;
    std::unique_ptr<PoolCore> core;
    std::unique_ptr<EntryStore> store;
};

// Guards against a configuration that is missed because the store never answers one watch request, although other
// requests show that the store has changed (review case 5).
TEST_F(EntryStoreTest, LostWatchRequestIsNoticedByTheRevisionOfOtherKinds)
{
    this->start([](const std::string &kind, std::size_t count) -> std::string {
        if (kind == "config")
            return count == 2 ? "" : routeList(count == 1 ? 1 : 2, count == 1 ? 10 : 11);
        if (kind == "servers")
            return count == 1 ? R"({"items":[],"CurrentRev":10})" : "";
        // Each answer follows the pause of 60 ms after an update. Revision 11 is that of the configuration.
        if (count == 1)
            return R"({"items":[],"CurrentRev":10})";
        const std::string revision = std::to_string(10 + count);
        return R"({"events":[{"Object":{"meta":{"Name":"x","Revision":)" + revision + R"(}}}],"CurrentRev":)" + revision
               + "}";
    });
    ASSERT_TRUE(this->runUntil([this] { return this->routeVersion() == 2; }));
    // Without this evidence the watch on the configuration fails after 11.5 s, that is about 190 answers.
    EXPECT_LT(this->requestCount("jujubekeel"), 100U);
}

// Guards against a watch that waits for an answer lost in an outage, although another watch has found the store to be away
// and back.
TEST_F(EntryStoreTest, RequestOfBeforeAnOutageIsSentAgainAfterIt)
{
    std::atomic<std::size_t> refused{0}; // number of the request for the fleet's objects that was refused
    this->start([this, &refused](const std::string &kind, std::size_t count) -> std::string {
        if (kind == "config")
            return count == 2 ? "" : routeList(1, 10);
        if (kind == "servers")
            return count == 2 ? "" : R"({"items":[],"CurrentRev":10})";
        // The other watch requests must have been sent before the loss.
        const bool othersWait = this->requestCount("config") >= 2 && this->requestCount("servers") >= 2;
        if (refused == 0 && othersWait) {
            refused = count;
            return unavailable;
        }
        if (count == 1 || count == refused + 1)
            return R"({"items":[],"CurrentRev":10})";
        return refused == 0 ? R"({"events":[],"CurrentRev":10})" : "";
    });
    // The kinds that were not answered are listed, and then watched again.
    ASSERT_TRUE(
        this->runUntil([this] { return this->requestCount("config") >= 4 && this->requestCount("servers") >= 4; }));
    // Without this the watches fail after 11.5 s, while the fleet's objects are asked for every 2.5 s at least.
    EXPECT_LE(this->requestCount("jujubekeel"), refused + 5);
}

std::string serverItem(const std::string &name, int revision, const std::string &state)
{
    return R"({"meta":{"Name":")" + name + R"(","Revision":)" + std::to_string(revision)
           + R"(},"spec":{"Service":"s","Address":"127.0.0.1:9","Zone":"d","Slots":3,"State":")" + state
           + R"(","DbRole":"replica"}})";
}

// Guards against an instance that finds no server, or follows none any more, because another writer has left an entry that
// cannot be read (review case 4), and against a log line for each list that contains it.
TEST_F(EntryStoreTest, OddEntriesLeaveTheOthersInForce)
{
    const std::string odd = R"({"meta":{"Name":"odd-1","Revision":5},"spec":{"Version":"\xff\xfe"}},)"
                            R"({"meta":{"Name":"odd-2","Revision":6},"spec":{"Slots":1e999}},)"
                            R"({"meta":{"Name":"odd-3","Revision":7},"spec":{"Version":"\ud800"}},)"
                            R"({"meta":{"Name":"odd-4","Revision":8},"spec":)"
                            + std::string(50000, '[') + std::string(50000, ']') + R"(},{"meta":null},)";
    this->start([odd](const std::string &kind, std::size_t count) -> std::string {
        if (kind == "config")
            return count == 1 ? routeList(1, 10) : "";
        if (kind == "jujubekeel")
            return count == 1 ? R"({"items":[],"CurrentRev":10})" : "";
        switch (count) {
        case 1:
            return R"({"items":[)" + odd + serverItem("i-1", 9, "ready") + R"(],"CurrentRev":10})";
        case 2: // the watch fails, so that the entries are listed again
            return unavailable;
        case 3:
            return R"({"items":[)" + odd + serverItem("i-1", 9, "ready") + "," + serverItem("i-2", 10, "ready")
                   + R"(],"CurrentRev":10})";
        case 4:
            return R"({"events":[{"Object":{"meta":{"Name":"odd-2","Revision":11},"spec":{"Slots":-1e999}},"Deleted":false},)"
                   R"({"Object":)"
                   + serverItem("i-1", 12, "draining") + R"(,"Deleted":false}],"CurrentRev":12})";
        default:
            return "";
        }
    });
    const auto rowOf = [this](const std::string &id) -> const ServerRow * {
        const PoolWorld &world = this->core->state();
        const auto found = world.serverById.find(id);
        return found == world.serverById.end() ? nullptr : world.servers.find(found->second);
    };
    ASSERT_TRUE(this->runUntil([&] { return rowOf("i-2") != nullptr; }));
    ASSERT_TRUE(this->runUntil([&] { return rowOf("i-1") != nullptr && rowOf("i-1")->entry.draining; }));
    EXPECT_EQ(rowOf("odd-1"), nullptr);
    // Five objects once each, and the changed one again.
    MetricValues values;
    this->store->addMetrics(values);
    EXPECT_EQ(values.at("jujubekeel_store_objects_ignored_total"), "6");
}

// Guards against a server being used whose entry another writer has replaced.
TEST_F(EntryStoreTest, EntryThatBecomesUnreadableNamesNoServer)
{
    this->start([](const std::string &kind, std::size_t count) -> std::string {
        if (kind != "servers")
            return count == 1 ? (kind == "config" ? routeList(1, 10) : R"({"items":[],"CurrentRev":10})") : "";
        if (count == 1)
            return R"({"items":[)" + serverItem("i-1", 9, "draining") + R"(],"CurrentRev":10})";
        return count == 2 ? R"({"events":[{"Object":)" + serverItem("i-1", 11, "unknown")
                                + R"(,"Deleted":false}],"CurrentRev":11})"
                          : "";
    });
    ASSERT_TRUE(this->runUntil([this] { return this->requestCount("servers") >= 3; }));
    EXPECT_TRUE(this->core->state().serverById.empty());
}

} // namespace

} // namespace Jujubekeel
