#include "programs/fake-platform/platformdriver.h"

#include <algorithm>
#include <chrono>

namespace Jujubekeel {

namespace {

/// A call without an answer ends this long after the answer was due. Longer than the timeouts of the clients.
constexpr Duration lostAnswerTimeout = std::chrono::seconds(3);
/// Interval at which a waiting call checks whether its client has disconnected.
constexpr Duration disconnectPollInterval = std::chrono::milliseconds(100);

TimePoint steadyTime()
{
    return std::chrono::duration_cast<TimePoint>(std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace

PlatformDriver::PlatformDriver(FakePlatformOptions options)
    : platform(options), listLag(options.listLag), latency(options.latency), thread([this] { this->run(); })
{
}

PlatformDriver::~PlatformDriver()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->thread.join();
}

std::optional<PlatformAnswer> PlatformDriver::call(const PlatformCall &call,
                                                   const std::function<bool()> &isDisconnected)
{
    std::unique_lock lock(this->mutex);
    const std::uint64_t client = this->nextClient++;
    const TimePoint now = steadyTime();
    const TimePoint deadline = now + this->latency + call.wait + lostAnswerTimeout;
    this->platform.call(now, client, call);
    this->processOutputs();
    this->changed.notify_all();
    while (!this->stopping && !this->answers.contains(client) && steadyTime() < deadline && !isDisconnected())
        this->changed.wait_for(lock, disconnectPollInterval);
    auto node = this->answers.extract(client);
    if (node.empty())
        return std::nullopt;
    return std::move(node.mapped());
}

void PlatformDriver::setInstance(const std::string &name, bool leaving)
{
    const std::scoped_lock lock(this->mutex);
    this->platform.setInstance(steadyTime(), name, leaving);
}

void PlatformDriver::setListedInstance(const std::string &name)
{
    const std::scoped_lock lock(this->mutex);
    this->platform.setInstance(steadyTime() - this->listLag, name, false);
}

void PlatformDriver::removeInstance(const std::string &name)
{
    const std::scoped_lock lock(this->mutex);
    this->platform.removeInstance(steadyTime(), name);
}

void PlatformDriver::setDown(bool down)
{
    const std::scoped_lock lock(this->mutex);
    this->platform.setDown(down);
}

void PlatformDriver::setLatency(Duration newLatency)
{
    const std::scoped_lock lock(this->mutex);
    this->latency = newLatency;
    this->platform.setLatency(newLatency);
}

void PlatformDriver::loseAnswers(std::uint32_t count)
{
    const std::scoped_lock lock(this->mutex);
    this->platform.loseAnswers(count);
}

void PlatformDriver::inspect(const std::function<void(const FakePlatform &)> &reader)
{
    const std::scoped_lock lock(this->mutex);
    reader(this->platform);
}

void PlatformDriver::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        this->platform.advance(steadyTime());
        this->processOutputs();
        const TimePoint now = steadyTime();
        const TimePoint next = std::min(this->platform.nextEvent(), now + std::chrono::seconds(1));
        if (next > now)
            this->changed.wait_for(lock, next - now);
    }
}

void PlatformDriver::processOutputs()
{
    // Answers to disconnected clients are never read, so the oldest answers are dropped above this limit.
    constexpr std::size_t answerLimit = 4096;
    bool hasNewAnswers = false;
    for (FakePlatformOutput &output : this->platform.takeOutputs()) {
        this->answers.insert_or_assign(output.client, std::move(output.answer));
        hasNewAnswers = true;
    }
    while (this->answers.size() > answerLimit)
        this->answers.erase(this->answers.begin());
    if (hasNewAnswers)
        this->changed.notify_all();
}

} // namespace Jujubekeel
