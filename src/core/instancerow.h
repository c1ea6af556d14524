#pragma once

#include "core/time.h"

#include <cstdint>

namespace Jujubekeel {

/// State of one instance of the layout as known to this proxy. Written by MembershipSystem; read by all systems.
struct InstanceRow
{
    bool heard = false;      ///< at least one heartbeat arrived since this process started
    TimePoint lastHeard{0};  ///< arrival of the last heartbeat, own clock
    TimePoint liveSince{0};  ///< start of the current period of heartbeats without a gap above the peer timeout
    TimePoint lastSentAt{0}; ///< `sentAt` of its last heartbeat, on its clock; echoed in heartbeats to it
    TimePoint lastUsed{0};   ///< last request forwarded to or from it, own clock; it gets heartbeats for a time after
    TimePoint nextHeartbeat{0}; ///< when the next heartbeat to it is due
    std::uint64_t incarnation = 0;
    std::uint64_t rulesVersion = 0; ///< version in its last heartbeat
    bool listed = true;             ///< in the platform's instance list, or no list was read yet
    bool listedLeaving = false;     ///< the platform's list marks it as leaving
    bool leaving = false;           ///< its heartbeats or the list mark it as leaving
    bool live = false;              ///< recomputed each tick; always true for this instance
};

} // namespace Jujubekeel
