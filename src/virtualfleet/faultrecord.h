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
    /// Any fault but a planned stop.
    void faultApplied();
    void stopRequested(TimePoint now, std::uint32_t proxy);
    /// A planned stop that a kill cuts short is no planned stop any more.
    void stopCutShort(std::uint32_t proxy);
    void stopped(TimePoint now, std::uint32_t proxy);
    /// State of a proxy after a change: out of reach of its callers, or cut off from any other node.
    void observe(TimePoint now, std::uint32_t proxy, bool isOut, bool isDisconnected);
    /// Adds the record to a history; what has not ended ends at \a now.
    void fillHistory(TimePoint now, History &history) const;

private:
    static void setOutage(std::map<std::uint32_t, TimePoint> &open, std::vector<HistoryOutage> &closed, TimePoint now,
                          std::uint32_t proxy, bool isOut);

    std::vector<HistoryOutage> outages;
    std::vector<HistoryOutage> disconnections;
    std::map<std::uint32_t, TimePoint> openOutages; ///< by proxy: start
    std::map<std::uint32_t, TimePoint> openDisconnections;
    std::vector<HistoryStop> stops;
    std::uint32_t faultCount = 0;
};

} // namespace Jujubekeel
