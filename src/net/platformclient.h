#pragma once

#include "core/action.h"
#include "core/input.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Jujubekeel {

class HttpClient;
class TrafficCounters;

struct PlatformClientOptions
{
    std::string address; ///< "ip:port"
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration callTimeout = std::chrono::seconds(2); ///< answer to a call, beyond the wait of a watch
    std::uint32_t callThreads = 3;                  ///< calls under way at one time, watches not counted
    std::uint32_t watchThreads = 2;                 ///< watches under way at one time
    std::size_t queueLimit = 1000;                  ///< calls that wait for a thread; more are answered Unavailable
};

/// Performs CallPlatform: each call gets exactly one PlatformAnswered, Unavailable if no valid answer came in time. Watches
/// have threads of their own, so that a waiting watch holds up no other call. Owned by ProxyShell; call() is called
/// from the core thread and does not block.
class PlatformClient final
{
public:
    using Post = std::function<void(Input input)>;

    PlatformClient(PlatformClientOptions options, Post post, TrafficCounters &counters);
    /// Cancels what is under way and ends the threads.
    ~PlatformClient();
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    void call(const CallPlatform &action);

private:
    struct Job
    {
        PlatformCall call;
        TimePoint deadline{0};
    };
    /// Calls of one kind, with their threads.
    struct Lane
    {
        std::deque<Job> jobs;
        std::vector<std::thread> threads;
    };

    void run(Lane &lane);
    [[nodiscard]] PlatformAnswer perform(std::shared_ptr<HttpClient> &client, const Job &job);
    [[nodiscard]] std::shared_ptr<HttpClient> connect(std::string &error);

    PlatformClientOptions options;
    Post post;
    TrafficCounters &counters;

    std::mutex mutex;
    std::condition_variable changed;
    Lane calls;
    Lane watches;
    std::vector<std::weak_ptr<HttpClient>> clients; ///< to be cancelled at the end
    bool stopping = false;
};

} // namespace Jujubekeel
