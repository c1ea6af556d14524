#pragma once

#include "catalog/organisationdifference.h"
#include "catalog/routedifference.h"
#include "core/time.h"
#include "leadership/fleetmessages.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

/// Answer of a member to a FeedRequest.
struct FeedUpdate
{
    /// The store last confirmed the member's view this long after the request arrived; negative: before. Only a
    /// duration, because clocks of two instances are not compared.
    Duration verifiedAfter{0};
    std::uint64_t routeVersion = 0;           ///< configuration in force at the member; 0: none
    std::shared_ptr<const RouteTable> routes; ///< null: the receiver has this version, or the table is too large
    std::uint64_t organisationVersion = 0;    ///< organisations in force at the member; 0: none
    /// Organisations that are not those of `routes`, because the routes are too large or the member itself has heard of
    /// the organisations only; null: none.
    std::shared_ptr<const OrganisationTable> organisations;
    /// In place of `routes` and `organisations`, for a receiver with an earlier version; null: none.
    std::shared_ptr<const RouteDifference> routeDifference;
    std::shared_ptr<const OrganisationDifference> organisationDifference;
    std::uint64_t memberRevision = 0;
    std::uint64_t memberEra = 0;
    std::optional<std::vector<FleetObject>> members; ///< all members, if they differ from those of the receiver

    /// JSON text without line breaks. Leaves out all routes but not their organisations if it would be longer than
    /// \a limit bytes.
    [[nodiscard]] std::string toText(std::size_t limit) const;
    /// The same with the given tables in place of the own ones.
    [[nodiscard]] std::string toTextWith(std::string_view tables) const;
    /// The tables alone, which are the same for all receivers with the same versions: members of a JSON object, with a
    /// comma before each. At most \a limit bytes before they are compressed; leaves out what toText() does. Compressed
    /// only if that is shorter.
    [[nodiscard]] std::string tablesText(std::size_t limit, bool compressed) const;
    /// Empty if \a text is invalid.
    [[nodiscard]] static std::optional<FeedUpdate> fromText(std::string_view text);
};

} // namespace Jujubekeel
