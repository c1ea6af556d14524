#pragma once

#include "admission/fairqueue.h"
#include "core/connectionrow.h"

#include <vector>

namespace Jujubekeel {

/// Executions at one owned backend server, by stage. Written by ExecutionSystem.
struct BackendWork
{
    FairQueue queue;                           ///< waiting, outside transactions
    std::vector<ExecutionId> transactionQueue; ///< waiting, inside transactions; served first
    std::vector<ExecutionId> running;          ///< sent to the server
    std::vector<ExecutionId> confirming;       ///< answered by the server, waiting for confirmation by the group

    [[nodiscard]] bool isEmpty() const
    {
        return this->queue.size() == 0 && this->transactionQueue.empty() && this->running.empty()
               && this->confirming.empty();
    }
};

} // namespace Jujubekeel
