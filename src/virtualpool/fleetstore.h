#pragma once

#include "core/time.h"
#include "leadership/fleetmessages.h"
#include "virtualfleet/eventqueue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

/// Stand-in for the part of the platform's store that keeps the fleet's objects: one revision counter, conditional
/// writes, lists and held watches, a history that can be dropped, and outages. In virtual time. Owned by VirtualPool.
class FleetStore final
{
public:
    explicit FleetStore(EventQueue &eventQueue) : events(eventQueue) {}

    struct Answer
    {
        std::vector<FleetObject> objects;
        std::uint64_t revision = 0;
        bool historyGone = false;
    };

    /// Objects whose names begin with \a prefix.
    [[nodiscard]] Answer list(std::string_view prefix = {}) const;
    /// Changes after a revision.
    [[nodiscard]] Answer since(std::uint64_t revision, std::string_view prefix = {}) const;
    /// Calls \a done at once if there is news after \a revision, else with the first, or empty after \a wait.
    void watch(std::uint64_t revision, Duration wait, std::function<void(Answer answer)> done);
    [[nodiscard]] WriteOutcome write(const WriteFleetObject &write);
    [[nodiscard]] WriteOutcome remove(const DeleteFleetObject &removal);
    /// Forgets past events; watches from before get historyGone.
    void compact();

    std::uint64_t calls = 0; ///< all calls so far

private:
    struct Watch
    {
        std::uint64_t revision = 0;
        std::function<void(Answer answer)> done;
    };

    void changed(FleetObject object);

    EventQueue &events;
    std::map<std::string, FleetObject> objects;
    std::vector<FleetObject> history;
    std::map<std::uint64_t, Watch> watches;
    std::uint64_t nextWatch = 1;
    std::uint64_t revision = 1;
    std::uint64_t oldestKnown = 1;
};

} // namespace Jujubekeel
