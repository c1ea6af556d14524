#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace Jujubekeel {

class SeededRandom;

/// Links between the nodes of a virtual fleet: which of them are cut, the delay of messages and their order of arrival.
/// Nodes have the numbers that VirtualFleet assigns. Owned by VirtualFleet.
class FleetLinks final
{
public:
    /// \a newRandom must outlive the links.
    FleetLinks(Duration newLatency, Duration newJitter, SeededRandom &newRandom);

    /// A link that is cut twice must be healed twice.
    void cut(std::uint32_t left, std::uint32_t right);
    void heal(std::uint32_t left, std::uint32_t right);
    void healAll();
    [[nodiscard]] bool isCut(std::uint32_t left, std::uint32_t right) const;
    /// Whether any link of a node is cut.
    [[nodiscard]] bool hasCut(std::uint32_t node) const;

    /// Buffers a message on a cut link, as the buffers of a connection do, for delivery after the link is healed.
    /// Messages beyond a limit per link are dropped.
    void hold(std::uint32_t left, std::uint32_t right, std::function<void()> deliver);
    /// Takes the deliveries of buffered messages on links that were healed since the last call.
    [[nodiscard]] std::vector<std::function<void()>> takeReleased();

    /// Delay of the next message: latency plus random jitter.
    [[nodiscard]] Duration delay();
    /// Arrival time of a message sent now that must not overtake the one that arrives at \a last; updates \a last.
    [[nodiscard]] TimePoint orderedArrival(TimePoint now, TimePoint &last);
    /// The same for messages from one node to another.
    [[nodiscard]] TimePoint orderedArrival(TimePoint now, std::uint32_t from, std::uint32_t to);

private:
    void release(std::pair<std::uint32_t, std::uint32_t> link);

    Duration latency;
    Duration jitter;
    SeededRandom &random;
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint32_t> cuts; ///< by link: how often it was cut
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::vector<std::function<void()>>> held; ///< by cut link
    std::vector<std::function<void()>> released;
    std::map<std::pair<std::uint32_t, std::uint32_t>, TimePoint> lastArrivals; ///< by sender and receiver
};

} // namespace Jujubekeel
