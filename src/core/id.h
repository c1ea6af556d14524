#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <limits>

namespace Jujubekeel {

/// Stable handle of a row in a table. The generation distinguishes a reused row from the one that it replaced.
/// Rows that come from the settings and are never reused have generation 0.
template <typename Tag>
struct Id
{
    static constexpr std::uint32_t invalidIndex = std::numeric_limits<std::uint32_t>::max();

    std::uint32_t index = invalidIndex;
    std::uint32_t generation = 0;

    [[nodiscard]] constexpr bool isValid() const { return this->index != invalidIndex; }
    [[nodiscard]] constexpr std::uint64_t packed() const
    {
        return (static_cast<std::uint64_t>(this->generation) << 32U) | this->index;
    }
    [[nodiscard]] static constexpr Id fromPacked(std::uint64_t value)
    {
        return Id{.index = static_cast<std::uint32_t>(value), .generation = static_cast<std::uint32_t>(value >> 32U)};
    }
    constexpr auto operator<=>(const Id &) const = default;
};

using InstanceId = Id<struct InstanceTag>;
using DatabaseId = Id<struct DatabaseTag>;
using BackendId = Id<struct BackendTag>;
using ConnectionId = Id<struct ConnectionTag>;
using RequestId = Id<struct RequestTag>;
using TransactionId = Id<struct TransactionTag>;

} // namespace Jujubekeel

template <typename Tag>
struct std::hash<Jujubekeel::Id<Tag>>
{
    std::size_t operator()(const Jujubekeel::Id<Tag> &id) const { return std::hash<std::uint64_t>{}(id.packed()); }
};
