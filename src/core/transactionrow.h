#pragma once

#include "core/connectionrow.h"
#include "core/id.h"
#include "core/time.h"

#include <cstdint>
#include <string>

namespace Jujubekeel {

/// An open transaction, pinned to one connection of this instance as owner of the backend server. Written by
/// ExecutionSystem.
struct TransactionRow
{
    BackendId backend;
    std::string session; ///< only this session may use it
    ConnectionId connection;
    std::uint64_t number = 0; ///< number sent with each statement; unique within the process
    std::uint64_t term = 0;   ///< term of the server at Begin
    ExecutionId running;      ///< statement in progress; invalid: none
    bool wrote = false;       ///< a write statement was sent; its commit needs confirmation
    TimePoint lastUsed{0};
};

} // namespace Jujubekeel
