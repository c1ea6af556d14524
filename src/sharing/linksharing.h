#pragma once

#include "core/time.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace Jujubekeel {

struct LinkSharingOptions
{
    /// An organisation with waiting work keeps a link for this long after the greeting, so that the handshake, which
    /// takes as long as a statement, serves more than one statement.
    Duration hold = std::chrono::milliseconds(50);
};

/// Decides which connection to a backend server is closed when an organisation needs one and the limit of connections
/// is reached. Load: many organisations in front of servers with fewer connections than there are organisations. Has no
/// state; used by LinkSystem.
class LinkSharing final
{
public:
    /// One connection to the server.
    struct Candidate
    {
        std::string_view organisation;
        bool isFree = false;         ///< greeted, and no statement or transaction uses it
        bool hasWaitingWork = false; ///< of its organisation, which this server could run
        TimePoint greetedAt{0};
        TimePoint usedAt{0}; ///< last end of a statement; 0: none yet
    };

    explicit LinkSharing(LinkSharingOptions sharingOptions) : options(sharingOptions) {}

    /// Index of the connection to close for \a organisation; empty if it has to wait. Connections of organisations
    /// without waiting work go first, then those of the organisation that holds most, then the one idle longest.
    [[nodiscard]] std::optional<std::size_t> chooseToClose(std::span<const Candidate> links,
                                                           std::string_view organisation, TimePoint now) const;

private:
    LinkSharingOptions options;
};

} // namespace Jujubekeel
