#pragma once

#include "core/storeversion.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// Durable record of the primary of one service, kept in the platform's store. It is changed only by conditional
/// writes, so that only one instance at a time replaces a primary.
struct LeadershipRecord
{
    /// Increases with each replacement. The first one that an instance without knowledge of earlier eras writes has the era
    /// in the upper half, so that it is above any epoch that the store may have lost.
    std::uint64_t epoch = 0;
    std::uint64_t era = 0;  ///< of the store in which it was written or confirmed last; 0: not known
    std::uint64_t term = 0; ///< replication term of the last promoted primary; 0: none was promoted yet
    std::string primary;    ///< id of the primary; while changing, of the one being replaced
    /// Point in the store's history before which no instance has used this primary; empty: not known.
    std::optional<StoreVersion> primarySince;
    bool changing = false; ///< a replacement is in progress: no instance sends new work to the primary
    bool planned = false;  ///< while changing: the primary still answers; running work may finish
    std::string candidate; ///< while changing: server that this or an earlier holder promotes
    /// While changing: the candidate was declared in this epoch. Instances use it as soon as it reports that it is
    /// primary, so it stays the only one until another replacement is announced.
    bool declared = false;
    std::uint64_t termAbove = 0; ///< the candidate has taken over once it is primary of a term above this one
    /// Not changing: the last replacement was planned and has been abandoned, because no candidate had caught up.
    bool abandoned = false;
    std::string holder; ///< instance that is replacing or last replaced the primary

    /// True if this record is a later state of the service's leadership than \a other. Both must belong to one history of
    /// the store, in which a record passes from announced to declared to finished within an epoch.
    [[nodiscard]] bool isLaterThan(const LeadershipRecord &other) const;
    [[nodiscard]] std::string toText() const;
    [[nodiscard]] static std::optional<LeadershipRecord> fromText(std::string_view text);
};

} // namespace Jujubekeel
