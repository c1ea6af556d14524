#pragma once

#include "core/time.h"
#include "session/logposition.h"

#include <deque>
#include <optional>

namespace Jujubekeel {

struct PositionHistoryOptions
{
    Duration interval =
        std::chrono::milliseconds(20); ///< positions that were requested closer together replace each other
    Duration retention = std::chrono::seconds(4);
};

/// Log positions that the primary of one service reported, each with the time at which it was requested. A position
/// covers every commit acknowledged before that time, through any proxy. Owned by ServiceRow; cleared when the primary
/// changes.
class PositionHistory final
{
public:
    explicit PositionHistory(PositionHistoryOptions historyOptions = {}) : options(historyOptions) {}

    void add(TimePoint requestedAt, LogPosition position, TimePoint now);
    void clear() { this->samples.clear(); }

    /// The lowest known position that covers every commit acknowledged up to \a moment; empty if none does.
    [[nodiscard]] std::optional<LogPosition> covering(TimePoint moment) const;
    [[nodiscard]] std::optional<LogPosition> newest() const;
    /// When the newest position was requested.
    [[nodiscard]] std::optional<TimePoint> newestRequestedAt() const;

private:
    struct Sample
    {
        TimePoint requestedAt{0};
        LogPosition position;
    };

    PositionHistoryOptions options;
    std::deque<Sample> samples; ///< ascending in both members
};

} // namespace Jujubekeel
