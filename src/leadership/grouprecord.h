#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// Durable record of the servers of a service with synchronous replicas that may hold acknowledged commits, kept in the
/// platform's store. A server is named from its first directory entry until it is known to hold nothing that others lack,
/// so that instances that have started since count it too. Changed only by conditional writes.
struct GroupRecord
{
    std::set<std::string> servers; ///< by id

    [[nodiscard]] std::string toText() const;
    [[nodiscard]] static std::optional<GroupRecord> fromText(std::string_view text);
};

} // namespace Jujubekeel
