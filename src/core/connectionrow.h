#pragma once

#include "core/id.h"
#include "core/time.h"

#include <cstdint>

namespace Jujubekeel {

using ExecutionId = Id<struct ExecutionTag>;

enum class ConnectionPurpose : std::uint8_t {
    Ownership, ///< control connection that holds the lock; managed by OwnershipSystem
    Promotion, ///< short-lived control connection; managed by PromotionSystem
    Work,      ///< connection for statements; managed by ExecutionSystem
};

enum class ConnectionState : std::uint8_t { Opening, Idle, Busy };

/// One connection of this process to a backend server.
struct ConnectionRow
{
    BackendId backend;
    ConnectionPurpose purpose = ConnectionPurpose::Work;
    ConnectionState state = ConnectionState::Opening;
    TimePoint since{0};        ///< start of the current state
    std::uint64_t serial = 0;  ///< request in progress; 0: none
    TimePoint deadline{0};     ///< Busy or Opening: the connection is closed if there is no answer by then
    ExecutionId execution;     ///< Work: statement in progress
    TransactionId transaction; ///< Work: transaction pinned to the connection
    bool probing = false;      ///< Work: the request in progress is a status probe of an idle connection
};

} // namespace Jujubekeel
