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
    Duration callTimeout =
        std::chrono::seconds(2);    ///< time limit of a call; a watch may take its wait time in addition
    std::uint32_t callThreads = 3;  ///< concurrent calls other than watches
    std::uint32_t watchThreads = 2; ///< concurrent watches
    std::size_t queueLimit = 1000;  ///< queued calls, and queued watches; further ones are answered Unavailable
};

/// Executes CallPlatform actions over HTTP. Each call gets exactly one PlatformAnswered, with code Unavailable if no
/// valid answer arrives in time. Watches have separate threads, so that a waiting watch does not delay other calls.
/// Owned by ProxyDaemon; call() is called from the core thread and does not block.
class PlatformClient final
{
public:
    using Post = std::function<void(Input input)>;

    PlatformClient(PlatformClientOptions options, Post post, TrafficCounters &counters);
    /// Cancels running calls and ends the threads.
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
    /// Queue and threads for one kind of calls.
    struct WorkerPool
    {
        std::deque<Job> jobs;
        std::vector<std::thread> threads;
    };

    void run(WorkerPool &pool);
    [[nodiscard]] PlatformAnswer perform(std::shared_ptr<HttpClient> &client, const Job &job);
    [[nodiscard]] std::shared_ptr<HttpClient> connect(std::string &error);

    PlatformClientOptions options;
    Post post;
    TrafficCounters &counters;

    std::mutex mutex;
    std::condition_variable changed;
    WorkerPool calls;
    WorkerPool watches;
    std::vector<std::weak_ptr<HttpClient>> clients; ///< cancelled by the destructor
    bool stopping = false;
};

} // namespace Jujubekeel
