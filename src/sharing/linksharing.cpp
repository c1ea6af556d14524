#include "sharing/linksharing.h"

#include <algorithm>
#include <tuple>

namespace Jujubekeel {

std::optional<std::size_t> LinkSharing::chooseToClose(std::span<const Candidate> links, std::string_view organisation,
                                                      TimePoint now) const
{
    std::optional<std::size_t> best;
    std::tuple<bool, std::ptrdiff_t, TimePoint> bestRank;
    for (std::size_t index = 0; index < links.size(); ++index) {
        const Candidate &link = links[index];
        if (!link.isFree || link.organisation == organisation)
            continue;
        // A connection that was just opened for waiting work must serve it first. Work that has not used it by the end of
        // this time can't use it, for example because the server lacks a log position.
        if (link.hasWaitingWork && now - link.greetedAt < this->options.hold)
            continue;
        const auto held = std::count_if(links.begin(), links.end(), [&](const Candidate &other) {
            return other.organisation == link.organisation;
        });
        const std::tuple rank{link.hasWaitingWork, -held, std::max(link.usedAt, link.greetedAt)};
        if (!best || rank < bestRank) {
            best = index;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace Jujubekeel
