#pragma once

#include "core/time.h"
#include "session/logposition.h"
#include "session/termhistory.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Messages between a proxy and one backend server. Plain data types that are used together share this header; their
/// JSON encoding is in wire/.
namespace Jujubekeel {

enum class BackendOperation : std::uint8_t {
    // Control connections
    Status,          ///< report the server's state without delay
    Barrier,         ///< answer once a replica has acknowledged `position` and a heartbeat sent after this request
    Lock,            ///< take the server's session-level lock if it is free
    PreemptLock,     ///< take the lock from its holder and end the holder's sessions
    Unlock,          ///< release the lock
    TerminateOthers, ///< end all work sessions of instances other than `instance`
    Fence,           ///< refuse terms below `term`; accepted from one promoter for each term
    Promote,         ///< become the primary of `term`, which must be fenced by the same promoter
    Follow,          ///< replicate from `primary` under `term`
    LookupKey,       ///< report whether the log contains a write with `requestKey`
    // Work connections
    Execute,       ///< one statement on its own
    Begin,         ///< open a transaction
    ExecuteInside, ///< one statement of the open transaction
    Commit,        ///< commit the open transaction
    Rollback,      ///< undo the open transaction
};

struct BackendRequest
{
    std::uint64_t serial = 0; ///< repeated in the answer; unique on its connection
    BackendOperation operation = BackendOperation::Status;
    std::string instance;          ///< name of the sending instance
    std::string statement;         ///< Execute, ExecuteInside
    bool write = false;            ///< Execute, ExecuteInside: the statement may change data
    std::string requestKey;        ///< idempotency key of a write (Execute, Commit) or the key to look up
    std::uint64_t transaction = 0; ///< number of the transaction that the statement belongs to; 0: none
    std::uint64_t term = 0;        ///< Fence, Promote, Follow: the new term; writing Execute, Begin: the expected term
    std::uint64_t position = 0;    ///< Barrier: position to be acknowledged under the server's term
    std::string primary;           ///< Follow: name of the new primary
    Duration wait{0};              ///< Barrier: how long the server may hold the request
};

enum class BackendStatusCode : std::uint8_t {
    Ok,
    Duplicate,       ///< Execute, Commit: the key was seen before; value and position are those of the first run
    KeyReused,       ///< the key was seen before with another statement
    NotPrimary,      ///< refused before execution: a write at a replica
    WrongTerm,       ///< refused before execution: fenced, or another term than expected
    LockHeld,        ///< Lock: another instance holds it (named in `text`)
    NotLockHolder,   ///< a work session is refused because its instance does not hold the lock
    NoTransaction,   ///< the connection has no open transaction of that number
    TransactionOpen, ///< Begin or Execute on a connection with an open transaction
    BarrierTimeout,  ///< Barrier: no acknowledgement by a replica within `wait`
    KeyNotFound,     ///< LookupKey: the log contains no such key
    StatementError,  ///< the statement failed; nothing was changed
    SlotsBusy,       ///< refused before execution: all slots are in use
};

enum class BackendRole : std::uint8_t { Unknown, Primary, Replica };

/// What one replica has acknowledged to the primary under the primary's term.
struct ReplicaAcknowledgement
{
    std::string server;
    LogPosition received;
};

/// State of a backend server. Part of every answer on a control connection; absent on work connections.
struct ServerStatus
{
    BackendRole role = BackendRole::Unknown;
    std::uint64_t fencedTerm = 0; ///< lowest term the server accepts
    std::string fencedBy;         ///< instance that fenced the server at fencedTerm
    LogPosition received;         ///< end of the stored log
    LogPosition applied;          ///< end of the applied part of the log, which reads see
    TermHistory history;
    std::string primary;                          ///< replica: the server it follows
    Duration primarySilence{0};                   ///< replica: time since the last message from the primary
    std::vector<ReplicaAcknowledgement> replicas; ///< primary: acknowledgements under its own term
    std::uint32_t connections = 0;                ///< open connections, control connections included
    std::uint32_t slotsInUse = 0;                 ///< statements being executed
    std::string lockHolder;                       ///< instance that holds the lock; empty if free
};

struct BackendAnswer
{
    std::uint64_t serial = 0;
    BackendStatusCode code = BackendStatusCode::Ok;
    std::string value;    ///< result of the statement
    std::string text;     ///< explanation of an error
    LogPosition position; ///< write: position of its log entry; read: applied position that it was executed at
    std::uint64_t transaction = 0;
    std::optional<ServerStatus> status;
};

/// First message on a connection to a backend server; identifies the instance and the kind of connection.
struct BackendLogin
{
    std::string instance;
    bool control = false; ///< control connections take no slot and have reserved room in the connection limit
};

} // namespace Jujubekeel
