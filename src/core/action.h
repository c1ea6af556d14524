#pragma once

#include "core/backendmessages.h"
#include "core/callermessages.h"
#include "core/id.h"
#include "core/peermessages.h"
#include "core/platformmessages.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Actions that ProxyCore requests from the daemon (ProxyDaemon; VirtualFleet in simulations), which owns sockets, timers
/// and logs. The daemon performs them in order.
namespace Jujubekeel {

struct AnswerCaller
{
    CallerAnswer answer;
};

/// Opens a connection to a backend server. The daemon answers with exactly one ConnectionOpened, unless
/// CloseConnection comes first.
struct OpenConnection
{
    ConnectionId connection;
    BackendId backend;
    bool control = false;
};

struct SendToBackend
{
    ConnectionId connection;
    BackendRequest request;
};

/// Closes a connection. The daemon discards events of the connection that are still queued and delivers no further
/// input for it.
struct CloseConnection
{
    ConnectionId connection;
};

struct SendToPeer
{
    InstanceId to;
    PeerMessage message;
};

struct CallPlatform
{
    PlatformCall call;
};

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

struct WriteLog
{
    LogLevel level = LogLevel::Info;
    std::string event; ///< fixed name of the event
    std::vector<std::pair<std::string, std::string>> fields;
};

/// One finished hop of a request, as a span of its trace.
struct Span
{
    std::string traceId;
    std::string spanId;
    std::string parentSpan;
    std::string name; ///< "entry", "owner" or "backend"
    TimePoint start{0};
    TimePoint end{0};
    std::vector<std::pair<std::string, std::string>> attributes;
};

struct EmitSpan
{
    Span span;
};

/// Ends the process: a stop was requested and no request is in flight any more.
struct StopProcess
{
};

using Action = std::variant<AnswerCaller, OpenConnection, SendToBackend, CloseConnection, SendToPeer, CallPlatform,
                            WriteLog, EmitSpan, StopProcess>;
using Actions = std::vector<Action>;

} // namespace Jujubekeel
