#include "virtualfleet/faultrecord.h"

namespace Jujubekeel {

void FaultRecord::faultApplied()
{
    this->faultCount += 1;
    for (HistoryStop &stop : this->stops)
        stop.otherFaults = stop.otherFaults || stop.stoppedAt == TimePoint{0};
}

void FaultRecord::stopRequested(TimePoint now, std::uint32_t proxy)
{
    this->stops.push_back(HistoryStop{.proxy = proxy, .requestedAt = now, .otherFaults = this->faultCount > 0});
}

void FaultRecord::stopInterrupted(std::uint32_t proxy)
{
    std::erase_if(this->stops,
                  [&](const HistoryStop &stop) { return stop.proxy == proxy && stop.stoppedAt == TimePoint{0}; });
}

void FaultRecord::stopped(TimePoint now, std::uint32_t proxy)
{
    for (HistoryStop &stop : this->stops) {
        if (stop.proxy == proxy && stop.stoppedAt == TimePoint{0})
            stop.stoppedAt = now;
    }
}

void FaultRecord::observe(TimePoint now, std::uint32_t proxy, bool isUnavailable, bool isDisconnected)
{
    setOutage(this->openOutages, this->outages, now, proxy, isUnavailable);
    setOutage(this->openDisconnections, this->disconnections, now, proxy, isDisconnected);
}

void FaultRecord::fillHistory(TimePoint now, History &history) const
{
    history.outages = this->outages;
    history.disconnections = this->disconnections;
    for (const auto &[proxy, from] : this->openOutages)
        history.outages.push_back(HistoryOutage{.proxy = proxy, .from = from, .to = now});
    for (const auto &[proxy, from] : this->openDisconnections)
        history.disconnections.push_back(HistoryOutage{.proxy = proxy, .from = from, .to = now});
    history.stops = this->stops;
}

void FaultRecord::setOutage(std::map<std::uint32_t, TimePoint> &open, std::vector<HistoryOutage> &closed, TimePoint now,
                            std::uint32_t proxy, bool isUnavailable)
{
    const auto found = open.find(proxy);
    if (isUnavailable && found == open.end()) {
        open[proxy] = now;
    } else if (!isUnavailable && found != open.end()) {
        closed.push_back(HistoryOutage{.proxy = proxy, .from = found->second, .to = now});
        open.erase(found);
    }
}

} // namespace Jujubekeel
