#pragma once

#include "core/time.h"
#include "session/logposition.h"
#include "session/termhistory.h"

#include <optional>
#include <vector>

namespace Jujubekeel {

/// Moments at which a position was known to be the end of a database's confirmed log. Gives a sound bound on the age of
/// any log position: data at a position is no older than the newest moment whose position it contains. Owned by
/// World, one for each database; written by RequestSystem.
class AgeSamples final
{
public:
    /// Records that \a position was the end of the confirmed log at own time \a asOf or later.
    void record(LogPosition position, TimePoint asOf);
    /// Upper bound on the age of the data at \a applied, by the server's \a history; empty if nothing is known.
    [[nodiscard]] std::optional<Duration> age(LogPosition applied, const TermHistory &history, TimePoint now) const;

private:
    struct Sample
    {
        LogPosition position;
        TimePoint asOf{0};
    };

    std::vector<Sample> samples; ///< ascending by time
};

} // namespace Jujubekeel
