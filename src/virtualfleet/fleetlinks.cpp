#include "virtualfleet/fleetlinks.h"

#include "virtualfleet/seededrandom.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Jujubekeel {

namespace {

/// Number of messages that a cut link buffers.
constexpr std::size_t maxHeldMessages = 32;

std::pair<std::uint32_t, std::uint32_t> linkOf(std::uint32_t left, std::uint32_t right)
{
    return {std::min(left, right), std::max(left, right)};
}

} // namespace

FleetLinks::FleetLinks(Duration newLatency, Duration newJitter, SeededRandom &newRandom)
    : latency(newLatency), jitter(newJitter), random(newRandom)
{
}

void FleetLinks::cut(std::uint32_t left, std::uint32_t right)
{
    this->cuts[linkOf(left, right)] += 1;
}

void FleetLinks::heal(std::uint32_t left, std::uint32_t right)
{
    const auto found = this->cuts.find(linkOf(left, right));
    if (found == this->cuts.end())
        return;
    found->second -= 1;
    if (found->second == 0) {
        this->cuts.erase(found);
        this->release(linkOf(left, right));
    }
}

void FleetLinks::healAll()
{
    this->cuts.clear();
    while (!this->held.empty())
        this->release(this->held.begin()->first);
}

void FleetLinks::hold(std::uint32_t left, std::uint32_t right, std::function<void()> deliver)
{
    std::vector<std::function<void()>> &messages = this->held[linkOf(left, right)];
    if (messages.size() < maxHeldMessages)
        messages.push_back(std::move(deliver));
}

void FleetLinks::release(std::pair<std::uint32_t, std::uint32_t> link)
{
    const auto found = this->held.find(link);
    if (found == this->held.end())
        return;
    std::ranges::move(found->second, std::back_inserter(this->released));
    this->held.erase(found);
}

std::vector<std::function<void()>> FleetLinks::takeReleased()
{
    return std::exchange(this->released, {});
}

bool FleetLinks::isCut(std::uint32_t left, std::uint32_t right) const
{
    return !this->cuts.empty() && this->cuts.contains(linkOf(left, right));
}

bool FleetLinks::hasCut(std::uint32_t node) const
{
    return std::ranges::any_of(this->cuts,
                               [&](const auto &cut) { return cut.first.first == node || cut.first.second == node; });
}

Duration FleetLinks::delay()
{
    const auto range = static_cast<std::uint64_t>(this->jitter.count()) + 1;
    return this->latency + Duration(static_cast<Duration::rep>(this->random.below(range)));
}

TimePoint FleetLinks::orderedArrival(TimePoint now, TimePoint &last)
{
    last = std::max(last, now + this->delay());
    return last;
}

TimePoint FleetLinks::orderedArrival(TimePoint now, std::uint32_t from, std::uint32_t to)
{
    return this->orderedArrival(now, this->lastArrivals[{from, to}]);
}

} // namespace Jujubekeel
