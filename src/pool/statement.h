#pragma once

#include <cstdint>
#include <string>

namespace Jujubekeel {

enum class StatementKind : std::uint8_t {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Deallocate,
    UseRoute,     ///< relayed sessions only; argument: a RelayedRoute
    ResetSession, ///< relayed sessions only: forgets values and prepared statements
    Malformed,    ///< not one of the above; nothing is run
};

/// One statement of a caller's session.
struct Statement
{
    StatementKind kind = StatementKind::Malformed;
    std::string id;             ///< the caller's; unique for each attempt
    std::string text;           ///< as sent; Read, Write and Commit are passed on unchanged
    std::string name;           ///< SetValue: of the value; Prepare, Execute, Deallocate: of the prepared statement
    std::string argument;       ///< SetValue: value; Prepare: shape; Execute: what follows the name
    bool preparesWrite = false; ///< Prepare: the shape writes
};

} // namespace Jujubekeel
