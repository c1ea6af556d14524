#pragma once

#include "core/backendmessages.h"
#include "core/callermessages.h"
#include "core/id.h"
#include "core/peermessages.h"
#include "core/platformmessages.h"

#include <variant>

/// Everything that can happen to a proxy, as seen by the decision library.
namespace Jujubekeel {

/// Time has passed. The shell sends one at least every `ProxyOptions::tickInterval`.
struct Tick
{
};

struct CallerRequestArrived
{
    CallerRequest request;
};

/// The caller's connection closed before the answer. The request goes on, its answer is dropped.
struct CallerDisconnected
{
    std::uint64_t ticket = 0;
};

/// Result of OpenConnection.
struct ConnectionOpened
{
    ConnectionId connection;
    bool ok = false;
    std::string text; ///< reason of a failure
};

/// The connection was closed by the other side or failed. Answers to requests on it will not come.
struct ConnectionLost
{
    ConnectionId connection;
};

struct BackendAnswered
{
    ConnectionId connection;
    BackendAnswer answer;
};

struct PeerMessageArrived
{
    InstanceId from;
    PeerMessage message;
};

struct PlatformAnswered
{
    PlatformAnswer answer;
};

/// A planned stop was asked for (signal or operator). The core answers with StopProcess once nothing is in flight.
struct StopRequested
{
};

using Input = std::variant<Tick, CallerRequestArrived, CallerDisconnected, ConnectionOpened, ConnectionLost,
                           BackendAnswered, PeerMessageArrived, PlatformAnswered, StopRequested>;

} // namespace Jujubekeel
