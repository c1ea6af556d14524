#pragma once

#include "core/resultcode.h"
#include "core/time.h"
#include "session/logposition.h"

#include <cstdint>
#include <string>

/// Messages between a caller and its entry proxy, the proxy that received the caller's request.
namespace Jujubekeel {

enum class RequestKind : std::uint8_t { Read, Write, Begin, Commit, Rollback };

/// True if a request of this kind appends an entry to the database's log.
[[nodiscard]] constexpr bool changesData(RequestKind kind)
{
    return kind == RequestKind::Write || kind == RequestKind::Commit;
}

/// W3C trace context. The trace id has 32 hexadecimal digits, a span id 16.
struct TraceContext
{
    std::string traceId;
    std::string parentSpan;
    bool sampled = false;
};

struct CallerRequest
{
    std::uint64_t ticket = 0; ///< chosen by the daemon; unique within the process; repeated in the answer
    std::string id;           ///< request id shown to callers and operators
    std::string database;
    std::string caller;    ///< identity used for fair queueing
    std::string session;   ///< session id; empty for a new session
    std::string token;     ///< session token; empty if the caller has none
    std::string operation; ///< name matched by rules, for example "filing.create"
    RequestKind kind = RequestKind::Read;
    std::string statement;
    std::string requestKey;  ///< idempotency key of the caller; empty if none
    std::string transaction; ///< id from the answer to Begin; empty outside transactions
    Duration timeout{0};     ///< time allowed by the caller, counted from the arrival
    TraceContext trace;
};

/// Routing decision of a request and its reasons. Kept for the `explain` command and written to logs and spans.
struct Decision
{
    std::uint64_t rulesVersion = 0;
    std::uint32_t ruleLine = 0; ///< 0: no rule applied
    std::string requester;      ///< person who requested the rule
    std::string rule;           ///< text of the rule
    std::string backend;        ///< server chosen
    std::string owner;          ///< instance that holds its connections
    std::string reason;         ///< one sentence
    Duration age{-1};           ///< bound on the age of the data read; negative: not known
    std::uint32_t attempts = 0; ///< number of times the request was sent to an owner
};

struct CallerAnswer
{
    std::uint64_t ticket = 0;
    std::string id;
    ResultCode code = ResultCode::Ok;
    std::string text;        ///< explanation of an error
    std::string value;       ///< result of the statement
    std::string session;     ///< session id
    std::string token;       ///< session token to send with the next request
    std::string transaction; ///< Begin: id of the transaction
    LogPosition position;    ///< write: position of its log entry; read: position that it was executed at
    bool fromReplica = false;
    bool repeated = false; ///< the result is that of an earlier request with the same key
    Decision decision;
    TraceContext trace; ///< trace of the request; the entry proxy's span is the parent
};

} // namespace Jujubekeel
