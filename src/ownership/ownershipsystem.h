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

/// Takes, keeps, hands over and gives up the lock of backend servers, and sends pings and barriers on the control
/// connections. Writes BackendRow::ownership. Status in answers goes to GroupMonitorSystem, results of barriers to
/// ConfirmationSystem. Owned by ProxyCore; runs within its step.
///
/// Work connections of a server that this instance stops owning are left to ExecutionSystem::tick, which closes those
/// of servers whose step is neither Owned nor Closing.
class OwnershipSystem final
{
public:
    /// The connection must have the purpose Ownership.
    void connectionOpened(World &world, ConnectionId connection, bool ok, Actions &actions);
    void connectionLost(World &world, ConnectionId connection, Actions &actions);
    void answered(World &world, ConnectionId connection, const BackendAnswer &answer, Actions &actions);
    /// A peer released the server and asks this instance to take it.
    void handover(World &world, BackendId backend, Actions &actions);
    /// A peer asks whether this instance hears the holder of a lock, or answers that question.
    void handle(World &world, InstanceId from, const HolderQuery &query, Actions &actions);
    void handle(World &world, InstanceId from, const HolderAnswer &answer, Actions &actions);
    void tick(World &world, Actions &actions);
    /// Sends a wanted barrier at once where no control request is under way. Called after each input.
    void sendBarriers(World &world, Actions &actions);

private:
    void tickCandidate(World &world, BackendId backend, Actions &actions);
    void tickOwner(World &world, BackendId backend, Actions &actions);
    void connect(World &world, BackendId backend, bool preempt, Actions &actions);
    void send(World &world, BackendId backend, BackendOperation operation, Actions &actions);
    void sendBarrier(World &world, BackendId backend, Actions &actions);
    void owned(World &world, BackendId backend, Actions &actions);
    void lockRefused(World &world, BackendId backend, const std::string &holder, Actions &actions);
    void startClosing(World &world, BackendId backend, const std::string &reason, Actions &actions);
    void released(World &world, BackendId backend, Actions &actions);
    /// Closes the control connection and ends the attempt or the ownership.
    void giveUp(World &world, BackendId backend, const std::string &reason, Actions &actions);

    GroupMonitorSystem monitor;
    ConfirmationSystem confirmation;
    bool started = false;
    TimePoint startedAt{0}; ///< first tick
};

} // namespace Jujubekeel
