#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

namespace Jujubekeel {

enum class TimerKind : std::uint8_t {
    WorkDeadline,    ///< subject: session; also for withheld results
    SessionOpening,  ///< subject: session
    WithdrawnKey,    ///< subject: session
    TransactionIdle, ///< subject: session
    LinkDeadline,    ///< subject: link
    ServerRetry,     ///< subject: server
    ServerMissing,   ///< subject: server
    ServiceCheck,    ///< subject: service
    Stop,            ///< steps of a planned stop
    Leadership,      ///< check of all primaries
    Vacancy,         ///< this instance may become a member
    Replacement,     ///< replacements of primaries in progress
    Feed,            ///< change feed between members and relaying instances
    RateLimit,       ///< requests for operations, and operations that wait for their answers
};

/// Timers of the table rows, ordered by time. Timers are not cancelled: when one is due, its handler checks the row and
/// does nothing if the row's own deadline has changed. Owned by PoolWorld.
class TimerQueue final
{
public:
    struct Entry
    {
        TimePoint due{0};
        TimerKind kind = TimerKind::WorkDeadline;
        std::uint64_t subject = 0; ///< packed id of the row; 0 if the kind has none

        bool operator>(const Entry &other) const { return this->due > other.due; }
    };

    void add(TimePoint due, TimerKind kind, std::uint64_t subject = 0)
    {
        this->entries.push(Entry{.due = due, .kind = kind, .subject = subject});
    }
    /// Takes the earliest entry that is due.
    std::optional<Entry> take(TimePoint now)
    {
        if (this->entries.empty() || this->entries.top().due > now)
            return std::nullopt;
        const Entry entry = this->entries.top();
        this->entries.pop();
        return entry;
    }
    [[nodiscard]] std::optional<TimePoint> next() const
    {
        return this->entries.empty() ? std::nullopt : std::optional(this->entries.top().due);
    }

private:
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> entries;
};

} // namespace Jujubekeel
