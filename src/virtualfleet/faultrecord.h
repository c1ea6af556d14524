#pragma once

#include "core/time.h"
#include "virtualfleet/history.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Jujubekeel {

/// Outages, disconnections and planned stops of the proxies of a virtual fleet, for the history checker. Owned by
/// VirtualFleet.
class FaultRecord final
{
public:
    /// Records a fault other than a planned stop.
    void faultApplied();
    void stopRequested(TimePoint now, std::uint32_t proxy);
    /// Removes the unfinished planned stop of a proxy that was killed.
    void stopInterrupted(std::uint32_t proxy);
    void stopped(TimePoint now, std::uint32_t proxy);
    /// Records the state of a proxy after a change. \a isUnavailable: down, paused or unreachable for its callers;
    /// \a isDisconnected: unavailable, with a cut link to any node, or with an impaired platform.
    void observe(TimePoint now, std::uint32_t proxy, bool isUnavailable, bool isDisconnected);
    /// Adds the record to a history. Open outages and disconnections are closed at \a now.
    void fillHistory(TimePoint now, History &history) const;

private:
    static void setOutage(std::map<std::uint32_t, TimePoint> &open, std::vector<HistoryOutage> &closed, TimePoint now,
                          std::uint32_t proxy, bool isUnavailable);

    std::vector<HistoryOutage> outages;
    std::vector<HistoryOutage> disconnections;
    std::map<std::uint32_t, TimePoint> openOutages; ///< by proxy: start
    std::map<std::uint32_t, TimePoint> openDisconnections;
    std::vector<HistoryStop> stops;
    std::uint32_t faultCount = 0;
};

} // namespace Jujubekeel
