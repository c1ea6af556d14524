#pragma once

#include "core/time.h"
#include "session/logposition.h"
#include "session/termhistory.h"

#include <optional>
#include <vector>

namespace Jujubekeel {

/// Samples of the end of a database's confirmed log over time. They bound the age of the data at a log position: the
/// data is no older than the newest sample whose position it contains. Owned by World, one for each database; written
/// by RequestSystem.
class AgeSamples final
{
public:
    /// Records that \a position was the end of the confirmed log at \a asOf (own clock) or later.
    void record(LogPosition position, TimePoint asOf);
    /// Upper bound on the age of the data of a server with this \a applied position and \a history; empty if no sample
    /// is contained in it.
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
