#pragma once

#include "fakes/fakeplatform.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace Jujubekeel {

/// Runs FakePlatform in real time: a thread performs what is due, callers wait for their answers. Owned by main; any
/// thread may call it.
class PlatformDriver final
{
public:
    explicit PlatformDriver(FakePlatformOptions options);
    ~PlatformDriver();
    PlatformDriver(const PlatformDriver &) = delete;
    PlatformDriver &operator=(const PlatformDriver &) = delete;

    /// Waits for the answer. Empty if there is none: it was lost, the platform is down or the client went away.
    std::optional<PlatformAnswer> ask(const PlatformCall &call, const std::function<bool()> &isGone);

    void setInstance(const std::string &name, bool leaving);
    /// The instance is in the list at once.
    void setListedInstance(const std::string &name);
    void removeInstance(const std::string &name);
    void setDown(bool down);
    void setLatency(Duration latency);
    void loseAnswers(std::uint32_t count);
    /// Calls \a reader with the platform while nothing else runs.
    void inspect(const std::function<void(const FakePlatform &)> &reader);

private:
    void run();
    void collect();

    std::mutex mutex;
    std::condition_variable changed;
    FakePlatform platform;
    Duration listLag;
    Duration latency;
    std::uint64_t nextClient = 1;
    std::map<std::uint64_t, PlatformAnswer> answers; ///< by client; each call is a client of its own
    bool stopping = false;
    std::thread thread;
};

} // namespace Jujubekeel
