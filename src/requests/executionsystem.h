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

/// Executes requests at the owner of a backend server: admission, slots, connections, transactions and confirmation.
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
    /// Starts queued executions while slots are free and completes the confirmed ones. Called after each input.
    void advance(World &world, Actions &actions);

    /// True while executions of the backend server wait or run here, or a transaction is open. Its lock must not be
    /// released then.
    [[nodiscard]] static bool hasWork(const World &world, BackendId backend);

private:
    void startQueued(World &world, BackendId backend, Actions &actions);
    bool startInTransaction(World &world, BackendId backend, Actions &actions);
    bool startOutsideTransaction(World &world, BackendId backend, Actions &actions);
    void start(World &world, ExecutionId id, ConnectionId connection, Actions &actions);
    void handleStatementAnswer(World &world, ExecutionId id, const BackendAnswer &answer, Actions &actions);
    void handleStatementOk(World &world, ExecutionId id, const BackendAnswer &answer, Actions &actions);
    void completeConfirmed(World &world, BackendId backend, Actions &actions);
    void failStatement(World &world, ExecutionId id, const std::string &text, Actions &actions);
    void expire(World &world, ExecutionId id, Actions &actions);
    void releaseBackend(World &world, BackendId backend, Actions &actions);
    void refuseQueued(World &world, BackendId backend, ResultCode code, const std::string &text, Actions &actions);
    void closeConnection(World &world, ConnectionId id, const std::string &text, Actions &actions);
    void finish(World &world, ExecutionId id, ForwardAnswer answer, Actions &actions);
};

} // namespace Jujubekeel
