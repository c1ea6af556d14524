#pragma once

#include "core/action.h"
#include "core/id.h"
#include "core/peermessages.h"
#include "core/platformmessages.h"
#include "core/time.h"

#include <vector>

namespace Jujubekeel {

struct World;

/// Decides which instances are live or leaving, sends heartbeats to the peers that need them (same failure domain,
/// owners in use, candidates for the servers owned here) and passes the reports in received heartbeats on to
/// GroupMonitorSystem. Owned by ProxyCore; used only within ProxyCore::step.
class MembershipSystem final
{
public:
    void handle(World &world, InstanceId from, const Heartbeat &heartbeat, Actions &actions);
    void handle(World &world, const PlatformAnswer &answer, Actions &actions);
    void tick(World &world, Actions &actions);
    /// Sends a heartbeat at once to every peer that receives them; used when ownership, the primary or the rules
    /// change.
    void announce(World &world, Actions &actions);

private:
    std::uint64_t listCall = 0; ///< call that reads the instance list; 0: none in progress
    TimePoint listCallSent{0};
    TimePoint nextList{0};
    std::vector<InstanceId> peers;  ///< peers that receive heartbeats
    TimePoint nextPeerSelection{0}; ///< when `peers` is computed again
};

} // namespace Jujubekeel
