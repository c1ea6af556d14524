#pragma once

#include "core/action.h"
#include "core/backendmessages.h"
#include "core/id.h"

namespace Jujubekeel {

struct World;

/// Takes, keeps, hands over and gives up the lock of backend servers, and sends pings and barriers on the control
/// connections. Writes BackendRow::ownership. Status in answers goes to GroupMonitorSystem, results of barriers to
/// ConfirmationSystem. Owned by ProxyCore; runs within its step.
class OwnershipSystem final
{
public:
    /// The connection must have the purpose Ownership.
    void connectionOpened(World &world, ConnectionId connection, bool ok, Actions &actions);
    void connectionLost(World &world, ConnectionId connection, Actions &actions);
    void answered(World &world, ConnectionId connection, const BackendAnswer &answer, Actions &actions);
    /// A peer released the server and asks this instance to take it.
    void handover(World &world, BackendId backend, Actions &actions);
    void tick(World &world, Actions &actions);
    /// Sends a wanted barrier at once where no control request is under way. Called after each input.
    void sendBarriers(World &world, Actions &actions);
};

} // namespace Jujubekeel
