#pragma once

#include "authority/confirmationsystem.h"
#include "authority/groupmonitorsystem.h"
#include "core/action.h"
#include "core/backendmessages.h"
#include "core/id.h"
#include "core/peermessages.h"
#include "core/time.h"

#include <string>

namespace Jujubekeel {

struct World;

/// Acquires, holds, hands over and releases the locks of backend servers, and sends pings and barriers on the control
/// connections. Writes BackendRow::ownership. Passes statuses in answers to GroupMonitorSystem and results of barriers
/// to ConfirmationSystem. Owned by ProxyCore; used only within ProxyCore::step.
///
/// Work connections of a server that this instance no longer owns are closed by ExecutionSystem::tick, which closes
/// those of servers whose step is neither Owned nor Closing.
class OwnershipSystem final
{
public:
    /// The connection must have the purpose Ownership.
    void connectionOpened(World &world, ConnectionId connection, bool ok, Actions &actions);
    void connectionLost(World &world, ConnectionId connection, Actions &actions);
    void answered(World &world, ConnectionId connection, const BackendAnswer &answer, Actions &actions);
    /// A peer released the server and requests this instance to take it.
    void handoverReceived(World &world, BackendId backend, Actions &actions);
    /// HolderQuery: a peer needs to know whether this instance receives heartbeats of the holder of a lock.
    /// HolderAnswer: the reply of a peer to such a query.
    void handle(World &world, InstanceId from, const HolderQuery &query, Actions &actions);
    void handle(World &world, InstanceId from, const HolderAnswer &answer, Actions &actions);
    void tick(World &world, Actions &actions);
    /// Sends each requested barrier for whose server no control request is in progress. Called after each input.
    void sendBarriers(World &world, Actions &actions);

private:
    void tickCandidate(World &world, BackendId backend, Actions &actions);
    void tickOwner(World &world, BackendId backend, Actions &actions);
    /// Opens the control connection. \a preempt: the lock is then taken from its holder.
    void connect(World &world, BackendId backend, bool preempt, Actions &actions);
    void send(World &world, BackendId backend, BackendOperation operation, Actions &actions);
    void sendBarrier(World &world, BackendId backend, Actions &actions);
    /// The lock is held and the sessions of the previous owner are terminated.
    void owned(World &world, BackendId backend, Actions &actions);
    /// The server named \a holder as the holder of the lock.
    void lockRefused(World &world, BackendId backend, const std::string &holder, Actions &actions);
    /// Starts a handover: running work may finish, new work is refused.
    void startClosing(World &world, BackendId backend, const std::string &reason, Actions &actions);
    /// The lock has been released; informs the best other candidate.
    void released(World &world, BackendId backend, Actions &actions);
    /// Closes the control connection and ends the attempt or the ownership. An empty \a reason is not logged for an
    /// attempt.
    void abandon(World &world, BackendId backend, const std::string &reason, Actions &actions);

    GroupMonitorSystem monitor;
    ConfirmationSystem confirmation;
    bool started = false;
    TimePoint startedAt{0}; ///< time of the first tick
};

} // namespace Jujubekeel
