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

/// In-memory fake of the platform's store for the fleet's objects, in virtual time: one revision counter, conditional
/// writes, lists, long-poll watches and a history that can be compacted. It can return to an older copy of itself. Not synchronised. Owned by VirtualPool or by
/// the ObjectService of the fake platform.
class FleetStore final
{
public:
    explicit FleetStore(EventQueue &eventQueue) : events(eventQueue) {}

    struct Answer
    {
        std::vector<FleetObject> objects;
        std::uint64_t revision = 0;
        std::uint64_t era = 0;
        bool more = false;             ///< listPage(): further objects follow
        bool historyCompacted = false; ///< the requested revision is not in the history; list again
    };

    /// Objects whose names begin with \a prefix.
    [[nodiscard]] Answer list(std::string_view prefix = {}) const;
    /// The same from the first name after \a after, until their contents have more than \a pageBytes bytes.
    [[nodiscard]] Answer listPage(std::string_view prefix, const std::string &after, std::size_t pageBytes) const;
    [[nodiscard]] std::uint64_t currentEra() const { return this->era; }
    /// Changes after a revision to objects whose names begin with \a prefix.
    [[nodiscard]] Answer since(std::uint64_t revision, std::string_view prefix = {}) const;
    /// Long poll: calls \a done at once if there are changes after \a revision, otherwise with the next change, or with
    /// no objects after \a wait.
    void watch(std::uint64_t revision, Duration wait, std::function<void(Answer answer)> done);
    [[nodiscard]] WriteOutcome write(const WriteFleetObject &write);
    [[nodiscard]] WriteOutcome remove(const DeleteFleetObject &removal);
    /// Drops the history of changes; watches from an earlier revision are answered with historyCompacted.
    void compact();
    /// Takes the copy to which restore() returns.
    void takeCopy();
    /// Returns to the copy, if there is one: later changes are gone, their revisions are given out again, and the era
    /// rises by one. Watches that are waiting get no answer.
    void restore();

    std::uint64_t calls = 0; ///< watches, writes and removals since the start

private:
    struct Watch
    {
        std::uint64_t revision = 0;
        std::function<void(Answer answer)> done;
    };

    struct Copy
    {
        std::map<std::string, FleetObject> objects;
        std::vector<FleetObject> history;
        std::uint64_t revision = 0;
        std::uint64_t oldestRevision = 0;
    };

    /// Adds the change to the history and answers all open watches.
    void notifyWatches(FleetObject object);

    EventQueue &events;
    std::map<std::string, FleetObject> objects;
    std::vector<FleetObject> history;
    std::map<std::uint64_t, Watch> watches;
    std::uint64_t nextWatch = 1;
    std::uint64_t revision = 1;
    std::uint64_t era = 1;
    std::optional<Copy> copy;
    std::uint64_t oldestRevision = 1; ///< changes after this revision are in the history
};

} // namespace Jujubekeel
