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
    UseRoute,     ///< relayed sessions only; argument: text of a RelayedRoute
    ResetSession, ///< relayed sessions only: clears values and prepared statements
    Subscribe,    ///< relayed sessions only; argument: text of a FeedRequest
    Allowance,    ///< relayed sessions only; name: organisation; argument: number of operations wanted
    Malformed,    ///< not a valid statement; it is refused
};

/// One statement of a caller's session.
struct Statement
{
    StatementKind kind = StatementKind::Malformed;
    std::string id;             ///< set by the caller; differs for each attempt
    std::string text;           ///< as received; Read, Write and Commit are forwarded unchanged
    std::string name;           ///< SetValue: of the value; Prepare, Execute, Deallocate: of the prepared statement
    std::string argument;       ///< SetValue: value; Prepare: statement text; Execute: parameters
    bool preparesWrite = false; ///< Prepare: the prepared statement is a write
};

} // namespace Jujubekeel
