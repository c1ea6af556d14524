#pragma once

#include "authority/memberconnections.h"
#include "core/action.h"
#include "core/id.h"
#include "core/peermessages.h"

#include <cstdint>

namespace Jujubekeel {

struct World;

/// Planned switchover up to the claim: the coordinator chooses the candidate, has writes paused and waits until the
/// candidate holds the whole log; the owner of the primary pauses writes and reports when none runs any more. Writes the
/// switchover parts of PromotionState and the writesPaused members of DatabaseRow. Owned by PromotionSystem; runs within
/// its step. Has no state of its own, so that PromotionClaim holds one as well.
class PlannedSwitchover final
{
public:
    enum class Progress : std::uint8_t {
        CatchingUp,
        Complete, ///< the term can be claimed
        TimedOut, ///< the pause is over and the candidate still lags
    };

    /// Starts a switchover if the primary is leaving or a server refuses the known term. False: none is due or possible.
    bool start(World &world, DatabaseId database, Actions &actions);
    /// Asks the owner of the primary to pause writes or to let them go on.
    void pauseWrites(World &world, DatabaseId database, bool paused, Actions &actions);
    [[nodiscard]] Progress tickCatchingUp(World &world, DatabaseId database, Actions &actions);
    /// At the coordinator: nothing that writes runs at the primary any more.
    void handle(World &world, const WritesDrained &drained);

    /// At the owner of a primary: the coordinator pauses writes or lets them go on.
    void handle(World &world, InstanceId from, const WritePause &pause, Actions &actions);
    /// At the owner of a primary: ends the pause in time and reports when no write runs.
    void tickPause(World &world, DatabaseId database, Actions &actions);

private:
    MemberConnections connections;
};

} // namespace Jujubekeel
