#include "net/corethread.h"

#include "net/boottime.h"

#include <cassert>
#include <utility>

namespace Jujubekeel {

CoreThread::CoreThread(ProxyCoreOptions options, ActionHandler actionHandler)
    : core(std::move(options)), handleAction(std::move(actionHandler)),
      tickInterval(this->core.world().options.tickInterval)
{
    assert(this->handleAction);
    assert(this->tickInterval.count() > 0);
}

CoreThread::~CoreThread()
{
    this->stop();
}

void CoreThread::start()
{
    const std::scoped_lock lock(this->mutex);
    assert(!this->running && !this->stopping);
    this->running = true;
    this->thread = std::thread([this] { this->run(); });
}

void CoreThread::stop()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    if (this->thread.joinable())
        this->thread.join();

    // Inspections that are still queued will not run; release the threads that wait for them.
    const std::scoped_lock lock(this->mutex);
    for (const Item &item : this->queue) {
        if (const auto *inspection = std::get_if<std::shared_ptr<Inspection>>(&item))
            (*inspection)->done.set_value(false);
    }
    this->queue.clear();
}

void CoreThread::post(Input input)
{
    this->enqueue(Item{std::in_place_index<0>, std::move(input)});
}

bool CoreThread::postFromPeer(Input input)
{
    {
        const std::scoped_lock lock(this->mutex);
        if (this->queue.size() >= peerInputLimit)
            return false;
    }
    this->post(std::move(input));
    return true;
}

bool CoreThread::inspect(const std::function<void(const ProxyCore &)> &function)
{
    const auto inspection = std::make_shared<Inspection>();
    inspection->function = function;
    std::future<bool> done = inspection->done.get_future();
    {
        const std::scoped_lock lock(this->mutex);
        if (!this->running || this->stopping)
            return false;
        this->queue.emplace_back(inspection);
    }
    this->changed.notify_one();
    return done.get();
}

std::string_view CoreThread::inputName(std::size_t alternative)
{
    static constexpr std::array<std::string_view, std::variant_size_v<Input>> names{
        "tick",         "caller-request",  "caller-gone", "connection-opened", "connection-lost", "backend-answer",
        "peer-message", "platform-answer", "stop"};
    return names.at(alternative);
}

std::array<StepStatistics, std::variant_size_v<Input>> CoreThread::stepStatistics()
{
    std::array<StepStatistics, std::variant_size_v<Input>> copy;
    this->inspect([&](const ProxyCore &) { copy = this->statistics; });
    return copy;
}

std::size_t CoreThread::queueLength() const
{
    const std::scoped_lock lock(this->mutex);
    return this->queue.size();
}

void CoreThread::enqueue(Item item)
{
    {
        const std::scoped_lock lock(this->mutex);
        if (this->stopping)
            return;
        this->queue.push_back(std::move(item));
    }
    this->changed.notify_one();
}

void CoreThread::step(const Input &input)
{
    const TimePoint now = bootTime();
    this->actions.clear();
    this->core.step(now, input, this->actions);
    for (Action &action : this->actions)
        this->handleAction(action);
    StepStatistics &row = this->statistics[input.index()];
    row.steps += 1;
    row.time += bootTime() - now;
}

void CoreThread::run()
{
    TimePoint nextTick = bootTime();
    std::deque<Item> batch;
    while (true) {
        {
            std::unique_lock lock(this->mutex);
            const Duration wait = nextTick - bootTime();
            if (this->queue.empty() && wait.count() > 0)
                this->changed.wait_for(lock, wait, [this] { return this->stopping || !this->queue.empty(); });
            if (this->stopping) {
                // The rest of the queue is dropped; stop() completes the inspections in it.
                this->running = false;
                return;
            }
            batch.swap(this->queue);
        }
        for (Item &item : batch) {
            // Ticks also run between queued inputs, so that a long queue does not delay deadlines.
            if (bootTime() >= nextTick) {
                this->step(Tick{});
                nextTick = bootTime() + this->tickInterval;
            }
            if (auto *input = std::get_if<Input>(&item)) {
                this->step(*input);
            } else {
                const auto &inspection = std::get<std::shared_ptr<Inspection>>(item);
                inspection->function(this->core);
                inspection->done.set_value(true);
            }
        }
        batch.clear();
        if (bootTime() >= nextTick) {
            this->step(Tick{});
            nextTick = bootTime() + this->tickInterval;
        }
    }
}

} // namespace Jujubekeel
