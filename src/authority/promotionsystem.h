#pragma once

#include "authority/failuredetector.h"
#include "authority/groupmonitorsystem.h"
#include "authority/leasetakeover.h"
#include "authority/memberconnections.h"
#include "authority/plannedswitchover.h"
#include "authority/promotionclaim.h"
#include "core/action.h"
#include "core/backendmessages.h"
#include "core/id.h"
#include "core/peermessages.h"
#include "core/platformmessages.h"

#include <cstdint>
#include <string>

namespace Jujubekeel {

struct World;

/// Runs promotions in the databases that this instance coordinates: detects a primary that has failed or is cut off,
/// claims the term, fences a majority, promotes the most up-to-date server and announces it. Also runs planned
/// switchovers, for which the owner of the primary pauses writes. Writes DatabaseRow::promotion and the writesPaused
/// members. Owned by ProxyCore; used only within ProxyCore::step.
class PromotionSystem final
{
public:
    /// The connection must have the purpose Promotion.
    void connectionOpened(World &world, ConnectionId connection, bool ok, Actions &actions);
    void connectionLost(World &world, ConnectionId connection, Actions &actions);
    void answered(World &world, ConnectionId connection, const BackendAnswer &answer, Actions &actions);
    void handle(World &world, const PlatformAnswer &answer, Actions &actions);
    /// At the owner of a primary: the coordinator requests to pause or to resume writes.
    void handle(World &world, InstanceId from, const WritePause &pause, Actions &actions);
    /// At the coordinator: no write runs at the primary any more.
    void handle(World &world, InstanceId from, const WritesDrained &drained, Actions &actions);
    void tick(World &world, Actions &actions);

private:
    void updateCoordination(World &world);
    void tickDatabase(World &world, DatabaseId database, Actions &actions);
    void reset(World &world, DatabaseId database, Actions &actions);
    void watch(World &world, DatabaseId database, Actions &actions);

    void start(World &world, DatabaseId database, const std::string &reason, bool excludePrimary, Actions &actions);
    void beginFence(World &world, DatabaseId database, std::uint64_t term, Actions &actions);
    void tickFencing(World &world, DatabaseId database, Actions &actions);
    void tickAwaitingLease(World &world, DatabaseId database, Actions &actions);
    void promote(World &world, DatabaseId database, Actions &actions);
    void finish(World &world, DatabaseId database, const ServerStatus &status, Actions &actions);
    void fail(World &world, DatabaseId database, const std::string &reason, Actions &actions);

    GroupMonitorSystem monitor;
    MemberConnections connections;
    FailureDetector detector;
    PlannedSwitchover switchover;
    PromotionClaim claim;
    LeaseTakeover lease;
    std::uint64_t candidatesVersion = 0; ///< CandidateTable::version at the last update of the coordination
};

} // namespace Jujubekeel
