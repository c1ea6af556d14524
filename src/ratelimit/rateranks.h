#pragma once

#include "ratelimit/ratemember.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Jujubekeel {

/// Members that grant operations to an organisation: three by rendezvous hashing of its name, each in another region
/// where there are enough regions, so that an instance can ask one nearby and a region that is cut off keeps its part.
/// Instances with the same list of members get the same ranks.
class RateRanks final
{
public:
    static constexpr std::size_t count = 3;

    /// Returns false, without a change, if the members are the same as before. The order of \a names has no effect.
    bool setMembers(std::span<const RateMember> names);

    [[nodiscard]] std::size_t size() const { return this->members.size(); }
    [[nodiscard]] bool isEmpty() const { return this->members.empty(); }
    /// Names of the members by rank; empty where the fleet has fewer members.
    [[nodiscard]] std::array<std::string_view, count> membersOf(std::string_view organisation) const;
    /// The same names in the order in which \a instance asks them: those in its region first, the others by its name, so
    /// that instances of one region do not all ask the same one.
    [[nodiscard]] std::array<std::string_view, count> askOrder(std::string_view organisation,
                                                               const RateMember &instance) const;
    [[nodiscard]] bool contains(std::string_view name) const;
    /// Empty if \a name is not one of the three.
    [[nodiscard]] std::optional<std::size_t> rankOf(std::string_view organisation, std::string_view name) const;

private:
    struct Member
    {
        RateMember identity;
        std::uint64_t hash = 0;
        bool operator==(const Member &) const = default;
    };

    /// The members by rank; null where the fleet has fewer members.
    [[nodiscard]] std::array<const Member *, count> ranked(std::string_view organisation) const;

    std::vector<Member> members; ///< ordered by name
};

} // namespace Jujubekeel
