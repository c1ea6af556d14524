#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// What a relaying instance knows when it asks a member for changes of the configuration and of the fleet's members.
struct FeedRequest
{
    std::uint64_t routeVersion = 0;        ///< configuration in force; 0: none
    std::uint64_t organisationVersion = 0; ///< of the organisations in force; above routeVersion if they came alone
    /// Newest version that was reported without its routes, because they are too large for an answer; 0: none. It is not
    /// reported again.
    std::uint64_t announcedVersion = 0;
    /// Digests of the routes and organisations in force. Differences from these versions are wanted; 0: the whole tables
    /// are, as by instances of earlier releases.
    std::uint64_t routeDigest = 0;
    std::uint64_t organisationDigest = 0;
    bool acceptsCompressed = false;   ///< tables may be compressed
    bool wantsMembers = true;         ///< false: the instance reads the fleet's members from the store only
    std::uint64_t memberRevision = 0; ///< of FleetView::memberVersion()
    std::uint64_t memberEra = 0;      ///< of FleetView::memberVersion()
    std::uint64_t memberDigest = 0;   ///< FleetView::memberDigest()

    /// JSON text without line breaks.
    [[nodiscard]] std::string toText() const;
    /// Empty if \a text is invalid.
    [[nodiscard]] static std::optional<FeedRequest> fromText(std::string_view text);
};

} // namespace Jujubekeel
