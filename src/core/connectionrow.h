#pragma once

#include "core/id.h"
#include "core/time.h"

#include <cstdint>

namespace Jujubekeel {

using ExecutionId = Id<struct ExecutionTag>;

enum class ConnectionPurpose : std::uint8_t {
    Ownership, ///< control connection that holds the lock; rows belong to OwnershipSystem
    Promotion, ///< short-lived control connection; rows belong to PromotionSystem
    Work,      ///< rows belong to ExecutionSystem
};

enum class ConnectionState : std::uint8_t { Opening, Idle, Busy };

/// One connection of this process to a backend server.
struct ConnectionRow
{
    BackendId backend;
    ConnectionPurpose purpose = ConnectionPurpose::Work;
    ConnectionState state = ConnectionState::Opening;
    TimePoint since{0};        ///< start of the present state
    std::uint64_t serial = 0;  ///< request under way; 0: none
    TimePoint deadline{0};     ///< Busy or Opening: closed if nothing came by then
    ExecutionId execution;     ///< Work: statement under way
    TransactionId transaction; ///< Work: transaction pinned to the connection
    bool probing = false;      ///< Work: the request under way is a probe
};

} // namespace Jujubekeel
