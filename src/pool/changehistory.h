#pragma once

#include "catalog/tablechanges.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace Jujubekeel {

/// Names of the entries that the last versions of a table have changed, so that a difference from any of them can be
/// made of the newest table alone. Bounded in number and in bytes. Owned by FeedHistory.
class ChangeHistory final
{
public:
    struct Version
    {
        std::uint64_t number = 0;
        std::uint64_t digest = 0; ///< as digestOf()
        bool operator==(const Version &) const = default;
    };

    /// The table changed from \a earlier to a newer version. The oldest versions are forgotten if there are more than
    /// \a maxVersions, or if their names take more than \a maxBytes.
    void add(Version earlier, TableChanges changes, std::size_t maxVersions, std::size_t maxBytes);
    /// Whether the version is known and not the newest one.
    [[nodiscard]] bool contains(Version version) const;
    /// What has changed since a version. Empty if it is not known, or is the newest one.
    [[nodiscard]] std::optional<TableChanges> since(Version version) const;

private:
    struct Step
    {
        Version earlier;
        TableChanges changes;
    };

    std::deque<Step> steps; ///< oldest first
    std::size_t bytes = 0;  ///< TableChanges::bytes() of all steps
};

} // namespace Jujubekeel
