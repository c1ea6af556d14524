#pragma once

#include "pool/calleroutcome.h"
#include "session/logposition.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Messages of the statement protocol, towards callers and towards backend servers.
namespace Jujubekeel {

/// State of a session as its callers see it, and of a connection as a backend server reports it.
enum class SessionState : std::uint8_t {
    Idle,
    InTransaction,
    Failed, ///< the transaction can only be ended, which rolls it back
};

/// Replication status as reported by a backend server.
struct ReplicationStatus
{
    bool isPrimary = false;
    std::uint64_t term = 0;
    LogPosition received;       ///< may be ahead of the applied position
    std::uint64_t heldTerm = 0; ///< term of a PauseReplication in force; 0: none
};

enum class ServerMessageKind : std::uint8_t { Row, Done, Error, Ready };

/// One message from a backend server.
struct ServerMessage
{
    ServerMessageKind kind = ServerMessageKind::Row;
    std::string text;                        ///< Row: its content; Done: the digest
    std::optional<ReplicationStatus> status; ///< Row: set if the row is a replication status
    OutcomeError error;
    SessionState state = SessionState::Idle;
    std::optional<LogPosition> position; ///< Ready: applied position of the server's log
};

/// Sent in place of the database in the greeting of a link to another instance.
inline constexpr std::string_view relayDatabase = "jujubekeel";

enum class CommandKind : std::uint8_t {
    Open,    ///< name: service; argument: expected id of the server; organisation: in whose name
    Forward, ///< argument: the caller's statement, unchanged
    Execute, ///< name: as prepared on this connection; argument: what follows the name
    Begin,
    BeginReadOnly,
    Rollback,
    SetValue,     ///< name, argument: the value
    PrepareRead,  ///< name, argument: the statement's text
    PrepareWrite, ///< name, argument: the statement's text
    UseRoute,     ///< to a member; argument: a RelayedRoute
    ResetSession, ///< clears values and prepared statements; the response carries the log position
    Subscribe,    ///< to a member; argument: a FeedRequest
    Allowance,    ///< to a member; name: organisation; argument: number of operations wanted
    Status,
    PauseReplication, ///< term: above the newest one
    ResumeReplication,
    StepDown, ///< term: above the server's own
    Close,
};

/// One message to a backend server or a member.
struct ServerCommand
{
    CommandKind kind = CommandKind::Forward;
    std::string id;                   ///< of the caller's statement; empty for statements that the proxy issues itself
    std::optional<LogPosition> after; ///< reads and Begin: the server must have applied this position
    std::string name;
    std::string argument;
    std::uint64_t term = 0;
    std::string organisation; ///< Open: empty: the proxy itself
};

/// Complete answer to one statement of a caller.
struct CallerReply
{
    std::vector<std::string> rows;
    std::string digest; ///< of the result; empty if no backend server was involved
    std::optional<OutcomeError> error;
    SessionState state = SessionState::Idle;
    std::optional<LogPosition> position;
};

} // namespace Jujubekeel
