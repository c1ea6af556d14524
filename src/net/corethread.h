#pragma once

#include "core/proxycore.h"

#include <array>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string_view>
#include <thread>
#include <variant>

namespace Jujubekeel {

/// Number and duration of the core thread's steps for one kind of input.
struct StepStatistics
{
    std::uint64_t steps = 0;
    Duration time{0}; ///< elapsed time in ProxyCore::step and in performing the resulting actions
};

/// Runs ProxyCore on its own thread: takes inputs from a queue, adds a Tick at each tick interval, and passes the
/// resulting actions in order to a function that must not block. Owned by ProxyDaemon.
class CoreThread final
{
public:
    using ActionHandler = std::function<void(Action &action)>;

    /// Queue length at which inputs from peers are refused, so that peers cannot exhaust the memory.
    static constexpr std::size_t peerInputLimit = 20000;

    CoreThread(ProxyCoreOptions options, ActionHandler actionHandler);
    ~CoreThread();
    CoreThread(const CoreThread &) = delete;
    CoreThread &operator=(const CoreThread &) = delete;

    void start();
    /// Ends the thread; queued inputs are dropped. Must not be called from the core thread.
    void stop();

    /// Queues an input; any thread.
    void post(Input input);
    /// Queues an input from a peer. Returns false if the queue holds `peerInputLimit` inputs. Any thread.
    bool postFromPeer(Input input);

    /// Runs \a function on the core thread between two steps and waits for it. Returns false, without a call, if the
    /// thread has stopped.
    bool inspect(const std::function<void(const ProxyCore &)> &function);

    /// Name of an alternative of Input, used as a metric label.
    [[nodiscard]] static std::string_view inputName(std::size_t alternative);
    /// Statistics by kind of input, in the order of Input's alternatives; all 0 if the thread has stopped.
    [[nodiscard]] std::array<StepStatistics, std::variant_size_v<Input>> stepStatistics();
    [[nodiscard]] std::size_t queueLength() const;

private:
    struct Inspection
    {
        std::function<void(const ProxyCore &)> function;
        std::promise<bool> done;
    };
    using Item = std::variant<Input, std::shared_ptr<Inspection>>;

    void enqueue(Item item);
    void run();
    void step(const Input &input);

    ProxyCore core;
    ActionHandler handleAction;
    Duration tickInterval;
    Actions actions;                                                   ///< core thread only; kept to reuse its memory
    std::array<StepStatistics, std::variant_size_v<Input>> statistics; ///< core thread only

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::deque<Item> queue;
    bool running = false;
    bool stopping = false;
    std::thread thread;
};

} // namespace Jujubekeel
