#pragma once

#include "core/callermessages.h"
#include "core/id.h"
#include "core/time.h"
#include "session/logposition.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Jujubekeel {

enum class EntryStep : std::uint8_t {
    Waiting,   ///< is routed again at `nextTry`
    Forwarded, ///< sent to the owner of a backend server
};

/// A caller's request at its entry proxy, the proxy that received it. Written by RequestSystem.
struct EntryRow
{
    CallerRequest request;
    DatabaseId database;
    TimePoint arrived{0};
    TimePoint deadline{0};
    EntryStep step = EntryStep::Waiting;
    TimePoint nextTry{0};
    Duration retryDelay{0};
    LogPosition mark;                     ///< log position that the session has seen; a read must include it
    bool markKnown = false;               ///< false: an existing session sent no token, so its position is unknown
    std::optional<Duration> acceptedAge;  ///< of the data read, from a read-age rule; empty: the primary must serve
    bool notRepeatable = false;           ///< set by a no-repeat rule
    bool hasCallerKey = false;            ///< the caller supplied the request key
    bool callerDisconnected = false;      ///< the answer is dropped
    std::uint64_t forwardId = 0;          ///< id of the attempt in progress
    BackendId backend;                    ///< server that the attempt was sent for
    InstanceId owner;                     ///< instance that the attempt was sent to
    std::uint64_t ownerIncarnation = 0;   ///< incarnation of that instance when the attempt was sent
    TimePoint sentAt{0};                  ///< when the attempt was sent
    BackendId failedBackend;              ///< server that failed the last attempt of the read; skipped as a replica
    std::uint64_t sentTerm = 0;           ///< writes: newest term under which the statement may have been executed
    bool lookup = false;                  ///< the attempt only looks up the request key and executes nothing
    bool mayHaveRun = false;              ///< the outcome of an earlier attempt is unknown
    ResultCode lastCode = ResultCode::Ok; ///< why the last attempt did not finish the request
    std::string lastText;
    Decision decision;
    std::string spanId;
};

} // namespace Jujubekeel
