#pragma once

#include "core/time.h"

#include <cstdint>

namespace Jujubekeel {

/// What this proxy knows about one instance of the layout. Written by MembershipSystem; read by all systems.
struct InstanceRow
{
    bool heard = false;         ///< at least one heartbeat arrived since this process started
    TimePoint lastHeard{0};     ///< arrival of the last heartbeat, own clock
    TimePoint liveSince{0};     ///< start of the present time without a gap longer than the peer timeout
    TimePoint lastSentAt{0};    ///< `sentAt` of its last heartbeat, its clock; echoed back
    TimePoint lastUsed{0};      ///< last forwarded request to it, own clock; keeps it in the interest set
    TimePoint nextHeartbeat{0}; ///< when the next heartbeat to it is due
    std::uint64_t incarnation = 0;
    std::uint64_t rulesVersion = 0; ///< version it announced
    bool listed = true;             ///< in the platform's list, or no list was read yet
    bool listedLeaving = false;     ///< the platform's list says that it is leaving
    bool leaving = false;           ///< it or the list says that it is leaving
    bool live = false;              ///< recomputed each tick; always true for this instance
};

} // namespace Jujubekeel
