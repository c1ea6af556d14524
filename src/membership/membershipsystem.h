#pragma once

#include "core/action.h"
#include "core/id.h"
#include "core/peermessages.h"
#include "core/platformmessages.h"
#include "core/time.h"

#include <vector>

namespace Jujubekeel {

struct World;

/// Decides which instances are live, suspect or leaving, sends heartbeats to the interest set (same failure domain,
/// owners in use, candidates for the own backend servers) and passes the reports in received heartbeats on to
/// GroupMonitorSystem. Owned by ProxyCore; runs within its step.
class MembershipSystem final
{
public:
    void handle(World &world, InstanceId from, const Heartbeat &heartbeat, Actions &actions);
    void handle(World &world, const PlatformAnswer &answer, Actions &actions);
    void tick(World &world, Actions &actions);
    /// Sends a heartbeat to every peer at once; used when ownership, the primary or the rules change.
    void announce(World &world, Actions &actions);

private:
    std::uint64_t listCall = 0; ///< reading of the instance list under way; 0: none
    TimePoint listCallSent{0};
    TimePoint nextList{0};
    std::vector<InstanceId> interest; ///< peers that get heartbeats
    TimePoint nextInterest{0};        ///< when they are chosen again
};

} // namespace Jujubekeel
