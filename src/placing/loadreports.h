#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// What other members have in flight at each server, as they last reported it. A report that is too old counts as none,
/// so that a lost or late one makes the estimate lower, never higher for long. Owned by PoolWorld.
class LoadReports final
{
public:
    using InFlight = std::map<std::string, std::uint32_t, std::less<>>; ///< statements by server

    /// Reports of one member must arrive in order; they replace each other.
    void received(const std::string &member, InFlight inFlight, TimePoint now)
    {
        this->reports.insert_or_assign(member, Report{.inFlight = std::move(inFlight), .receivedAt = now});
    }
    /// Sum over the members whose report is at most \a maxAge old.
    [[nodiscard]] std::uint32_t inFlight(std::string_view server, TimePoint now, Duration maxAge) const
    {
        std::uint32_t sum = 0;
        for (const auto &[member, report] : this->reports) {
            const auto found = report.inFlight.find(server);
            if (found != report.inFlight.end() && now - report.receivedAt <= maxAge)
                sum += found->second;
        }
        return sum;
    }

private:
    struct Report
    {
        InFlight inFlight;
        TimePoint receivedAt{0};
    };

    std::map<std::string, Report> reports; ///< by member
};

} // namespace Jujubekeel
