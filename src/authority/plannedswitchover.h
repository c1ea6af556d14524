#pragma once

#include "authority/memberconnections.h"
#include "core/action.h"
#include "core/id.h"
#include "core/peermessages.h"

#include <cstdint>

namespace Jujubekeel {

struct World;

/// Planned switchover up to the claim: the coordinator chooses the candidate, requests a pause of writes and waits
/// until the candidate holds the whole log; the owner of the primary pauses writes and reports when none runs any more.
/// Writes the switchover members of PromotionState and the writesPaused members of DatabaseRow. Owned by
/// PromotionSystem; used only within ProxyCore::step. Stateless, so PromotionClaim holds an instance as well.
class PlannedSwitchover final
{
public:
    enum class Progress : std::uint8_t {
        CatchingUp,
        Complete, ///< the term can be claimed
        TimedOut, ///< the pause has ended and the candidate still lags
    };

    /// Starts a switchover if the primary is leaving or a server refuses the known term. Returns false if none is due
    /// or possible.
    bool start(World &world, DatabaseId database, Actions &actions);
    /// Requests the owner of the primary to pause or to resume writes.
    void pauseWrites(World &world, DatabaseId database, bool paused, Actions &actions);
    [[nodiscard]] Progress tickCatchingUp(World &world, DatabaseId database, Actions &actions);
    /// At the coordinator: no write runs at the primary any more.
    void handle(World &world, const WritesDrained &drained);

    /// At the owner of a primary: the coordinator requests to pause or to resume writes.
    void handle(World &world, InstanceId from, const WritePause &pause, Actions &actions);
    /// At the owner of a primary: ends an expired pause and reports when no write runs any more.
    void tickPause(World &world, DatabaseId database, Actions &actions);

private:
    MemberConnections connections;
};

} // namespace Jujubekeel
