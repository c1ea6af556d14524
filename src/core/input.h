#pragma once

#include "core/backendmessages.h"
#include "core/callermessages.h"
#include "core/id.h"
#include "core/peermessages.h"
#include "core/platformmessages.h"

#include <variant>

/// Inputs of ProxyCore: all events that can change its state. Delivered by the daemon (ProxyDaemon;
/// VirtualFleet in simulations), which owns sockets, timers and logs.
namespace Jujubekeel {

/// Time has passed. The daemon sends one at least every `ProxyOptions::tickInterval`.
struct Tick
{
};

struct CallerRequestArrived
{
    CallerRequest request;
};

/// The caller's connection closed before the answer. The request continues, and its answer is dropped.
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

/// The connection was closed by the other side or failed. Its outstanding requests get no answer.
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

/// A planned stop was requested by a signal or an operator. ProxyCore emits StopProcess when no request is in flight.
struct StopRequested
{
};

using Input = std::variant<Tick, CallerRequestArrived, CallerDisconnected, ConnectionOpened, ConnectionLost,
                           BackendAnswered, PeerMessageArrived, PlatformAnswered, StopRequested>;

} // namespace Jujubekeel
