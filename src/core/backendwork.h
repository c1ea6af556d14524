#pragma once

#include "admission/fairqueue.h"
#include "core/connectionrow.h"

#include <vector>

namespace Jujubekeel {

/// Work of one owned backend server, by stage. Written by ExecutionSystem.
struct BackendWork
{
    FairQueue queue;                           ///< outside transactions, waiting
    std::vector<ExecutionId> transactionQueue; ///< inside transactions, waiting; served first
    std::vector<ExecutionId> running;          ///< sent to the server
    std::vector<ExecutionId> confirming;       ///< answered, waiting for confirmation

    [[nodiscard]] bool isEmpty() const
    {
        return this->queue.size() == 0 && this->transactionQueue.empty() && this->running.empty()
               && this->confirming.empty();
    }
};

} // namespace Jujubekeel
