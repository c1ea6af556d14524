#pragma once

#include "core/action.h"
#include "core/backendmessages.h"
#include "core/executionrow.h"
#include "core/id.h"
#include "core/peermessages.h"

namespace Jujubekeel {

struct World;

/// Execution of requests at the owner of a backend server: admission, slots, connections, transactions, confirmation.
/// Writes World::executions, World::transactions and the work connections. Owned by ProxyCore; runs within its step.
class ExecutionSystem final
{
public:
    void handle(World &world, InstanceId from, const ForwardRequest &request, Actions &actions);
    /// The connection must have the purpose Work.
    void connectionOpened(World &world, ConnectionId connection, bool ok, Actions &actions);
    void connectionLost(World &world, ConnectionId connection, Actions &actions);
    void answered(World &world, ConnectionId connection, const BackendAnswer &answer, Actions &actions);
    void tick(World &world, Actions &actions);
    /// Starts queued work where there is room and completes what has been confirmed. Called after each input.
    void advance(World &world, Actions &actions);
};

} // namespace Jujubekeel
