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
    Waiting,   ///< to be routed at `nextTry`
    Forwarded, ///< sent to an owner
};

/// A caller's request at the proxy that took it. Written by RequestSystem.
struct EntryRow
{
    CallerRequest request;
    DatabaseId database;
    TimePoint arrived{0};
    TimePoint deadline{0};
    EntryStep step = EntryStep::Waiting;
    TimePoint nextTry{0};
    Duration retryPause{0};
    LogPosition mark;                    ///< what the session must see
    bool markKnown = false;              ///< false: the session came without its mark
    std::optional<Duration> acceptedAge; ///< from a read-age rule
    bool notRepeatable = false;          ///< from a no-repeat rule
    bool hasCallerKey = false;
    bool callerDisconnected = false;
    std::uint64_t forwardId = 0;          ///< attempt under way
    BackendId backend;                    ///< server of that attempt
    InstanceId owner;                     ///< instance of that attempt
    std::uint64_t ownerIncarnation = 0;   ///< of that instance when the attempt was sent
    TimePoint sentAt{0};                  ///< when the attempt was sent
    BackendId failedBackend;              ///< replica whose last answer did not satisfy the request
    std::uint64_t sentTerm = 0;           ///< writes: newest term under which the statement may have been executed
    bool lookup = false;                  ///< the attempt asks for the key and executes nothing
    bool mayHaveRun = false;              ///< an earlier attempt ended without a settled outcome
    ResultCode lastCode = ResultCode::Ok; ///< of the last attempt that did not run
    std::string lastText;
    Decision decision;
    std::string spanId;
};

} // namespace Jujubekeel
