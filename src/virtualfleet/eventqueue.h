#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace Jujubekeel {

/// Queue of callbacks ordered by virtual time; callbacks with the same time run in the order of insertion. Not
/// synchronised. Owned by the VirtualFleet, VirtualPool or StatementServers that advances the time.
class EventQueue final
{
public:
    explicit EventQueue(TimePoint start) : currentTime(start) {}

    [[nodiscard]] TimePoint now() const { return this->currentTime; }

    /// Adds a callback. If \a due is in the past, it runs at the current time.
    void add(TimePoint due, std::function<void()> work)
    {
        this->events.emplace(std::pair(std::max(due, this->currentTime), this->nextSequence++), std::move(work));
    }

    /// Runs all callbacks that are due up to \a end and advances the time to \a end.
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
