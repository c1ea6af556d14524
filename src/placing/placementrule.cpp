#include "placing/placementrule.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace Jujubekeel {

namespace {

/// Shortest time that counts in a proportion.
constexpr std::int64_t minUnloaded = 100;

/// Moves one of the first \a count indexes to the front: the better one of two different ones.
void preferOfTwo(std::vector<std::size_t> &order, std::size_t count, std::uint64_t draw)
{
    const std::size_t left = draw % count;
    const std::size_t right = (left + 1 + draw / count % (count - 1)) % count;
    // The order is already by expected wait.
    const auto chosen = order.begin() + static_cast<std::ptrdiff_t>(std::min(left, right));
    std::rotate(order.begin(), chosen, chosen + 1);
}

/// Moves one of the first \a count indexes to the front, each with a chance in proportion to its speed.
void preferInProportion(std::vector<std::size_t> &order, std::size_t count,
                        const std::vector<PlacementCandidate> &candidates, std::uint64_t draw)
{
    const auto speed = [&](std::size_t place) {
        return 1.0 / static_cast<double>(std::max(candidates[order[place]].unloaded.count(), minUnloaded));
    };
    double total = 0;
    for (std::size_t place = 0; place < count; ++place)
        total += speed(place);
    constexpr std::uint64_t resolution = 1'000'003;
    double left = total * static_cast<double>(draw % resolution) / static_cast<double>(resolution);
    std::size_t place = 0;
    while (place + 1 < count && left >= speed(place))
        left -= speed(place++);
    const auto chosen = order.begin() + static_cast<std::ptrdiff_t>(place);
    std::rotate(order.begin(), chosen, chosen + 1);
}

} // namespace

std::vector<std::size_t> orderCandidates(PlacementRule rule, const std::vector<PlacementCandidate> &candidates,
                                         std::uint64_t draw)
{
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        const PlacementCandidate &first = candidates[left];
        const PlacementCandidate &second = candidates[right];
        return std::tie(first.rank, first.wait, first.tieBreak, left)
               < std::tie(second.rank, second.wait, second.tieBreak, right);
    });
    const auto best = static_cast<std::size_t>(
        std::count_if(candidates.begin(), candidates.end(), [&](const PlacementCandidate &candidate) {
            return candidate.rank == candidates[order.front()].rank;
        }));
    if (best < 2)
        return order;
    if (rule == PlacementRule::TwoChoices)
        preferOfTwo(order, best, draw);
    if (rule == PlacementRule::Proportional)
        preferInProportion(order, best, candidates, draw);
    return order;
}

} // namespace Jujubekeel
