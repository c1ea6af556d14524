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

/// Runs FakePlatform in real time: a background thread calls FakePlatform::advance() when events are due, and callers
/// of call() block until their answer is available. Owned by main; thread-safe.
class PlatformDriver final
{
public:
    explicit PlatformDriver(FakePlatformOptions options);
    ~PlatformDriver();
    PlatformDriver(const PlatformDriver &) = delete;
    PlatformDriver &operator=(const PlatformDriver &) = delete;

    /// Performs a call and waits for the answer. Returns an empty value if there is none: the answer was lost, the
    /// platform is down, the client disconnected or the driver is stopping.
    std::optional<PlatformAnswer> call(const PlatformCall &call, const std::function<bool()> &isDisconnected);

    /// Adds or changes an instance; the list shows it after the list lag.
    void setInstance(const std::string &name, bool leaving);
    /// Adds an instance that the list shows immediately.
    void setListedInstance(const std::string &name);
    void removeInstance(const std::string &name);
    void setDown(bool down);
    void setLatency(Duration latency);
    /// The next \a count successful Put calls take effect, but their answers are lost.
    void loseAnswers(std::uint32_t count);
    /// Calls \a reader with the platform while the mutex is held.
    void inspect(const std::function<void(const FakePlatform &)> &reader);

private:
    void run();
    /// Stores the answers of the platform for the waiting callers.
    void processOutputs();

    std::mutex mutex;
    std::condition_variable changed;
    FakePlatform platform;
    Duration listLag;
    Duration latency;
    std::uint64_t nextClient = 1;
    std::map<std::uint64_t, PlatformAnswer> answers; ///< by client number; each call uses a new number
    bool stopping = false;
    std::thread thread;
};

} // namespace Jujubekeel
