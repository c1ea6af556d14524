#pragma once

#include "core/backendmessages.h"
#include "core/connectionrow.h"
#include "core/id.h"
#include "core/peermessages.h"
#include "core/time.h"

#include <cstdint>

namespace Jujubekeel {

enum class ExecutionStep : std::uint8_t {
    Queued,     ///< waits for a slot and a connection
    Running,    ///< sent to the backend server
    Confirming, ///< answered by the server; waits for confirmation by the database group
};

/// A request at the owner of the backend server that executes it. Written by ExecutionSystem.
struct ExecutionRow
{
    InstanceId entry; ///< receiver of the ForwardAnswer; may be this instance
    ForwardRequest forward;
    BackendId backend;
    TimePoint arrived{0};
    TimePoint deadline{0};
    ExecutionStep step = ExecutionStep::Queued;
    ConnectionId connection;
    TransactionId transaction;           ///< set for statements inside a transaction
    std::uint64_t transactionNumber = 0; ///< sent with the statement
    TimePoint answeredAt{0};             ///< when the server answered; 0: not yet
    TimePoint sentAt{0};                 ///< when the statement went to the server
    BackendAnswer answer;                ///< Confirming: the server's answer
    LogPosition confirmPosition;         ///< Confirming: position that the group must confirm under the server's term
    std::uint64_t sequence = 0;          ///< order of arrival
};

} // namespace Jujubekeel
