#include "ratelimit/rateranks.h"

#include "membership/rendezvous.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace Jujubekeel {

bool RateRanks::setMembers(std::span<const RateMember> names)
{
    std::vector<Member> next;
    next.reserve(names.size());
    for (const RateMember &member : names)
        next.push_back(Member{.identity = member, .hash = rendezvousKey(member.name)});
    std::sort(next.begin(), next.end(),
              [](const Member &left, const Member &right) { return left.identity.name < right.identity.name; });
    if (next == this->members)
        return false;
    this->members = std::move(next);
    return true;
}

std::array<const RateRanks::Member *, RateRanks::count> RateRanks::ranked(std::string_view organisation) const
{
    const std::uint64_t key = rendezvousKey(organisation);
    std::vector<std::pair<std::uint64_t, const Member *>> byScore;
    byScore.reserve(this->members.size());
    for (const Member &member : this->members)
        byScore.emplace_back(rendezvousScore(key, member.hash), &member);
    std::sort(byScore.begin(), byScore.end(), std::greater<>());

    // The best of each region, then the best of the others.
    std::array<const Member *, count> chosen{};
    std::size_t filled = 0;
    for (const bool otherRegionOnly : {true, false}) {
        for (const auto &[score, member] : byScore) {
            const auto *const end = chosen.begin() + filled;
            const bool isUsed = std::any_of(chosen.cbegin(), end, [&, candidate = member](const Member *other) {
                return other == candidate || (otherRegionOnly && other->identity.region == candidate->identity.region);
            });
            if (filled < count && !isUsed)
                chosen[filled++] = member;
        }
    }
    return chosen;
}

std::array<std::string_view, RateRanks::count> RateRanks::membersOf(std::string_view organisation) const
{
    std::array<std::string_view, count> names;
    const auto chosen = this->ranked(organisation);
    for (std::size_t rank = 0; rank < count; ++rank) {
        if (chosen[rank] != nullptr)
            names[rank] = chosen[rank]->identity.name;
    }
    return names;
}

std::array<std::string_view, RateRanks::count> RateRanks::askOrder(std::string_view organisation,
                                                                   const RateMember &instance) const
{
    auto ordered = this->ranked(organisation);
    // Unused ranks stay last.
    const auto used = std::find(ordered.begin(), ordered.end(), nullptr);
    if (used != ordered.begin()) {
        const auto offset = static_cast<std::ptrdiff_t>(rendezvousKey(instance.name)
                                                        % static_cast<std::uint64_t>(used - ordered.begin()));
        std::rotate(ordered.begin(), ordered.begin() + offset, used);
    }
    std::stable_partition(ordered.begin(), used,
                          [&](const Member *member) { return member->identity.region == instance.region; });
    std::array<std::string_view, count> names;
    std::transform(ordered.begin(), used, names.begin(),
                   [](const Member *member) { return std::string_view(member->identity.name); });
    return names;
}

bool RateRanks::contains(std::string_view name) const
{
    return std::any_of(this->members.begin(), this->members.end(),
                       [&](const Member &member) { return member.identity.name == name; });
}

std::optional<std::size_t> RateRanks::rankOf(std::string_view organisation, std::string_view name) const
{
    const auto names = this->membersOf(organisation);
    const auto *const found = std::find(names.begin(), names.end(), name);
    if (name.empty() || found == names.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - names.begin());
}

} // namespace Jujubekeel
