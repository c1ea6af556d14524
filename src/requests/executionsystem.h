#pragma once

#include "core/action.h"
#include "core/backendmessages.h"
#include "core/executionrow.h"
#include "core/id.h"
#include "core/peermessages.h"

#include <string>

namespace Jujubekeel {

struct ConnectionRow;
struct TransactionRow;
struct World;

/// Execution of requests at the owner of a backend server: admission, slots, connections, transactions, confirmation.
/// Writes World::executions, World::transactions, World::work and the work connections. Owned by ProxyCore; runs within
/// its step.
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

    /// True while anything of the backend server waits, runs or is open here: its lock must not be released.
    [[nodiscard]] static bool hasWork(const World &world, BackendId backend);

private:
    void startQueued(World &world, BackendId backend, Actions &actions);
    bool startInTransaction(World &world, BackendId backend, Actions &actions);
    bool startOutside(World &world, BackendId backend, Actions &actions);
    void start(World &world, ExecutionId id, ConnectionId connection, Actions &actions);
    void settle(World &world, ExecutionId id, const BackendAnswer &answer, Actions &actions);
    void settleOk(World &world, ExecutionId id, const BackendAnswer &answer, Actions &actions);
    void completeConfirmed(World &world, BackendId backend, Actions &actions);
    void loseStatement(World &world, ExecutionId id, const std::string &text, Actions &actions);
    void expire(World &world, ExecutionId id, Actions &actions);
    void releaseBackend(World &world, BackendId backend, Actions &actions);
    void refuseQueued(World &world, BackendId backend, ResultCode code, const std::string &text, Actions &actions);
    void closeConnection(World &world, ConnectionId id, const std::string &text, Actions &actions);
    void finish(World &world, ExecutionId id, ForwardAnswer answer, Actions &actions);
};

} // namespace Jujubekeel
