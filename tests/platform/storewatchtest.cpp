#include "storewatch.h"

#include "net/httplistener.h"

#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Jujubekeel {

namespace {

/// Answer of the store to one request.
struct ScriptedAnswer
{
    std::string era;
    std::string body;
    int status = 200;
};

/// Runs a StoreWatch against an HTTP server that gives scripted answers, then holds all further requests.
class StoreWatchTest : public testing::Test
{
protected:
    ~StoreWatchTest() override
    {
        this->watch.reset();
        if (this->server)
            this->server->stop(Duration{0});
    }
    void start(std::deque<ScriptedAnswer> answers)
    {
        this->script = std::move(answers);
        this->server = std::make_unique<HttpListener>(
            HttpListenerOptions{.address = "127.0.0.1:0"},
            [this](const HttpRequest &httpRequest) { this->serve(httpRequest); }, [](std::uint64_t) {},
            [](ResultCode, const std::string &) { return HttpResponse{.status = 400}; });
        this->server->start();
        this->watch = std::make_unique<StoreWatch>(
            StoreWatchOptions{.address = this->server->address(), .kind = "config", .tally = &this->tally},
            StoreWatch::Callbacks{.updated = [this](StoreUpdate update) { this->receive(std::move(update)); },
                                  .availability = [](bool, const std::string &) {},
                                  .dropped = [](StoreVersion, StoreVersion) {},
                                  .limited = [](std::size_t, bool) {},
                                  .restored = [this](StoreVersion, StoreVersion) { this->restorations += 1; }});
    }
    void serve(const HttpRequest &httpRequest)
    {
        const std::scoped_lock lock(this->mutex);
        if (this->script.empty())
            return;
        const ScriptedAnswer answer = this->script.front();
        this->script.pop_front();
        this->server->respond(
            httpRequest.exchangeId,
            HttpResponse{.status = answer.status, .body = answer.body, .headers = {{"Store-Era", answer.era}}});
    }
    void receive(StoreUpdate update)
    {
        {
            const std::scoped_lock lock(this->mutex);
            this->updates.push_back(std::move(update));
        }
        this->arrived.notify_all();
    }
    /// Waits until \a count updates have arrived, and lets the watch continue after each. Returns false after 30 s. The
    /// thread of the watch may deliver the first update before its constructor has returned, so it does not use `watch`.
    bool waitForUpdates(std::size_t count)
    {
        for (std::size_t known = 1; known <= count; ++known) {
            std::unique_lock lock(this->mutex);
            if (!this->arrived.wait_for(lock, std::chrono::seconds(30), [&] { return this->updates.size() >= known; }))
                return false;
            lock.unlock();
            this->watch->updateHandled();
        }
        return true;
    }

    MemoryTally tally;
    std::mutex mutex;
    std::condition_variable arrived;
    std::deque<ScriptedAnswer> script;
    std::vector<StoreUpdate> updates;
    std::atomic<int> restorations{0};
    std::unique_ptr<HttpListener> server;
    std::unique_ptr<StoreWatch> watch;
};

std::string listBody(int revision, const std::string &version)
{
    return R"({"items":[{"meta":{"Name":"main","Revision":)" + std::to_string(revision) + R"(},"spec":{"Version":)"
           + version + R"(}}],"More":false,"CurrentRev":)" + std::to_string(revision) + "}";
}

// Guards against a restored store whose answers are dropped because its revisions are lower than before: a
// configuration that was confirmed after its return was never in force (issue 24).
TEST_F(StoreWatchTest, RestoredStoreIsListedAgain)
{
    this->start({{.era = "1", .body = listBody(53, "7")},
                 {.era = "2", .body = "{}", .status = 410},
                 {.era = "2", .body = listBody(27, "10")}});
    ASSERT_TRUE(this->waitForUpdates(2));
    const std::scoped_lock lock(this->mutex);
    EXPECT_TRUE(this->updates[1].complete);
    EXPECT_EQ(this->updates[1].page.version, (StoreVersion{.era = 2, .revision = 27}));
    EXPECT_EQ(this->restorations, 1);
}

// Guards against changes that are missed for good: the restored store has given out the watched revision again, so the
// watch continues from another state.
TEST_F(StoreWatchTest, WatchDoesNotContinueInAnotherEra)
{
    this->start({{.era = "1", .body = listBody(53, "7")},
                 {.era = "2", .body = R"({"events":[],"CurrentRev":60})"},
                 {.era = "2", .body = listBody(60, "10")}});
    ASSERT_TRUE(this->waitForUpdates(2));
    const std::scoped_lock lock(this->mutex);
    EXPECT_TRUE(this->updates[1].complete);
    EXPECT_EQ(this->updates[1].page.version, (StoreVersion{.era = 2, .revision = 60}));
}

// Guards against a list that was overtaken: an answer of an earlier era that arrives late.
TEST_F(StoreWatchTest, AnswerOfAnEarlierEraIsDropped)
{
    this->start({{.era = "2", .body = listBody(27, "10")},
                 {.era = "1", .body = listBody(53, "7")},
                 {.era = "1", .body = listBody(53, "7")},
                 {.era = "2", .body = listBody(28, "10")}});
    ASSERT_TRUE(this->waitForUpdates(2));
    const std::scoped_lock lock(this->mutex);
    EXPECT_EQ(this->updates[1].page.version, (StoreVersion{.era = 2, .revision = 28}));
}

// Guards against answers that are held outside the memory budget, or counted for good.
TEST_F(StoreWatchTest, UpdateIsCountedUntilItIsHandled)
{
    this->start({{.era = "1", .body = listBody(53, std::string(100'000, '7'))}});
    {
        std::unique_lock lock(this->mutex);
        ASSERT_TRUE(this->arrived.wait_for(lock, std::chrono::seconds(30), [&] { return !this->updates.empty(); }));
    }
    EXPECT_GT(this->tally.total(), 100'000U);
    this->watch->updateHandled();
    for (int round = 0; round < 3000 && this->tally.total() > 0; ++round)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    EXPECT_EQ(this->tally.total(), 0U);
}

} // namespace

} // namespace Jujubekeel
