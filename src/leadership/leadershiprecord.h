#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// Durable record of who leads one service, kept in the platform's store. Changed only by conditional writes, so that one
/// instance at a time replaces a primary.
struct LeadershipRecord
{
    std::uint64_t epoch = 0;     ///< rises with each replacement
    std::uint64_t term = 0;      ///< in which the last primary that was named came to lead; 0: none was named yet
    std::string primary;         ///< id of the backend server; while changing, of the one that is replaced
    bool changing = false;       ///< a replacement is under way: nobody sends new work to the primary
    bool planned = false;        ///< the primary still answers; work under way may end
    std::string candidate;       ///< while changing: the server that is named, or was by an earlier holder
    std::uint64_t termAbove = 0; ///< the candidate leads once it is the primary of a higher term
    std::string holder;          ///< instance that replaces or last replaced the primary

    [[nodiscard]] std::string toText() const;
    [[nodiscard]] static std::optional<LeadershipRecord> fromText(std::string_view text);
};

} // namespace Jujubekeel
