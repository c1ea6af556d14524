#include "virtualpool/openloopload.h"

namespace Jujubekeel {

OpenLoopLoad::OpenLoopLoad(VirtualPool &virtualPool, OpenLoopOptions loadOptions)
    : pool(virtualPool), options(loadOptions), random(loadOptions.seed * 104729 + 1)
{
    this->pool.setOnReply([this](VirtualPool::CallerId caller, const CallerReply &reply) {
        this->pool.at(Duration{0}, [this, caller, reply] { this->received(caller, reply); });
    });
}

void OpenLoopLoad::start(TimePoint end)
{
    this->endAt = end;
    this->scheduleNext(false);
    this->scheduleNext(true);
}

void OpenLoopLoad::scheduleNext(bool write)
{
    const std::uint64_t rate =
        std::uint64_t{write ? this->options.writesPerSecond : this->options.readsPerSecond} * this->ratePercent / 100;
    if (rate == 0)
        return;
    // Evenly distributed intervals with the mean of the rate.
    const Duration wait(static_cast<std::int64_t>(this->random.below(2'000'000 / rate + 1)));
    this->pool.at(wait, [this, write] {
        if (this->pool.now() >= this->endAt)
            return;
        this->send(write);
        this->scheduleNext(write);
    });
}

void OpenLoopLoad::send(bool write)
{
    const SessionKey key{this->nextInstance++ % this->pool.instanceCount(), write};
    std::vector<VirtualPool::CallerId> &free = this->idle[key];
    std::optional<VirtualPool::CallerId> caller;
    if (!free.empty()) {
        caller = free.back();
        free.pop_back();
    } else {
        caller = this->pool.openCaller(key.first, write ? VirtualPool::primaryRoute : VirtualPool::boundedRoute);
    }
    if (!caller)
        return;
    const std::size_t index = this->all.size();
    this->all.push_back(Sample{.sentAt = this->pool.now(), .write = write});
    this->running.insert_or_assign(*caller, std::pair{key, index});
    const std::string number = std::to_string(index);
    this->pool.send(*caller, Statement{.kind = write ? StatementKind::Write : StatementKind::Read,
                                       .id = "o" + number,
                                       .text = (write ? "WRITE " : "READ ") + number});
}

void OpenLoopLoad::received(VirtualPool::CallerId caller, const CallerReply &reply)
{
    const auto found = this->running.find(caller);
    if (found == this->running.end())
        return;
    const auto [key, index] = found->second;
    this->running.erase(found);
    Sample &sample = this->all[index];
    sample.ended = true;
    sample.took = this->pool.now() - sample.sentAt;
    if (reply.error)
        sample.error = reply.error->code;
    this->idle[key].push_back(caller);
}

} // namespace Jujubekeel
