#pragma once

#include "authority/groupmonitorsystem.h"
#include "core/action.h"
#include "core/backendmessages.h"
#include "core/databaserow.h"
#include "core/id.h"
#include "core/peermessages.h"
#include "core/platformmessages.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

struct World;

/// Orders promotions of the databases that this instance coordinates: detects a primary that is gone or cut off, claims
/// the term, fences a majority, promotes the most up-to-date server and announces it; also planned switchovers, for
/// which the owner of the primary pauses writes. Writes DatabaseRow::promotion and the writesPaused members. Owned by
/// ProxyCore; runs within its step.
class PromotionSystem final
{
public:
    /// The connection must have the purpose Promotion.
    void connectionOpened(World &world, ConnectionId connection, bool ok, Actions &actions);
    void connectionLost(World &world, ConnectionId connection, Actions &actions);
    void answered(World &world, ConnectionId connection, const BackendAnswer &answer, Actions &actions);
    void handle(World &world, const PlatformAnswer &answer, Actions &actions);
    /// At the owner of a primary: the coordinator pauses writes or lets them go on.
    void handle(World &world, InstanceId from, const WritePause &pause, Actions &actions);
    /// At the coordinator: nothing that writes runs at the primary any more.
    void handle(World &world, InstanceId from, const WritesDrained &drained, Actions &actions);
    void tick(World &world, Actions &actions);

private:
    void updateCoordination(World &world);
    void tickPause(World &world, DatabaseId database, Actions &actions);
    void tickDatabase(World &world, DatabaseId database, Actions &actions);
    void watch(World &world, DatabaseId database, Actions &actions);
    void repair(World &world, DatabaseId database, Actions &actions);

    void start(World &world, DatabaseId database, const std::string &reason, bool excludePrimary, Actions &actions);
    bool startPlanned(World &world, DatabaseId database, Actions &actions);
    void tickCatchingUp(World &world, DatabaseId database, Actions &actions);
    void pauseWrites(World &world, DatabaseId database, bool paused, Actions &actions);
    void startClaim(World &world, DatabaseId database, Actions &actions);
    void readClaim(World &world, DatabaseId database, Actions &actions);
    void claimAnswered(World &world, DatabaseId database, const PlatformAnswer &answer, Actions &actions);
    void beginFence(World &world, DatabaseId database, std::uint64_t term, Actions &actions);
    void tickFencing(World &world, DatabaseId database, Actions &actions);
    void callLease(World &world, DatabaseId database, std::uint64_t expectedVersion, bool write, Actions &actions);
    void leaseAnswered(World &world, DatabaseId database, const PlatformAnswer &answer, Actions &actions);
    void tickAwaitingLease(World &world, DatabaseId database, Actions &actions);
    void promote(World &world, DatabaseId database, Actions &actions);
    void finish(World &world, DatabaseId database, const ServerStatus &status, Actions &actions);
    void fail(World &world, DatabaseId database, const std::string &reason, Actions &actions);
    void reset(World &world, DatabaseId database, Actions &actions);

    void open(World &world, DatabaseId database, std::size_t member, Actions &actions);
    void close(World &world, PromotionMember &member, Actions &actions);
    void send(World &world, DatabaseId database, std::size_t member, BackendRequest request, Duration timeout,
              Actions &actions);
    void probe(World &world, DatabaseId database, std::size_t member, bool barrier, Duration interval,
               Actions &actions);
    void expire(World &world, DatabaseId database, Actions &actions);

    GroupMonitorSystem monitor;
    std::uint64_t liveSet = 0; ///< hash over the instances that rankings count
    bool liveSetKnown = false;
};

} // namespace Jujubekeel
