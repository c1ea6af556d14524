#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace Jujubekeel {

/// Work ordered by virtual time; work of the same time runs in the order of insertion. Owned by VirtualFleet.
class EventQueue final
{
public:
    explicit EventQueue(TimePoint start) : currentTime(start) {}

    [[nodiscard]] TimePoint now() const { return this->currentTime; }

    /// Work that is due in the past runs at the present time.
    void add(TimePoint due, std::function<void()> work)
    {
        this->events.emplace(std::pair(std::max(due, this->currentTime), this->nextSequence++), std::move(work));
    }

    /// Runs all work that is due up to \a end and moves the time there.
    void runUntil(TimePoint end)
    {
        while (!this->events.empty() && this->events.begin()->first.first <= end) {
            const auto event = this->events.extract(this->events.begin());
            this->currentTime = event.key().first;
            event.mapped()();
        }
        this->currentTime = std::max(this->currentTime, end);
    }

private:
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events;
    std::uint64_t nextSequence = 0;
    TimePoint currentTime;
};

} // namespace Jujubekeel
