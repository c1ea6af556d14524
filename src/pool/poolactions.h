#pragma once

#include "core/action.h"
#include "leadership/fleetmessages.h"
#include "pool/poolids.h"
#include "pool/poolmessages.h"

#include <string>
#include <variant>
#include <vector>

namespace Jujubekeel {

struct ReplyToCaller
{
    SessionId session;
    CallerReply reply;
};

/// Refuses a session that is being opened, and closes its connection.
struct RefuseCaller
{
    SessionId session;
    OutcomeError error;
};

/// Sends the response that accepts a caller's session.
struct GreetCaller
{
    SessionId session;
};

/// Closes a caller's connection after pending output has been sent. The session's row has been removed.
struct CloseCaller
{
    SessionId session;
};

struct OpenLink
{
    LinkId link;
    std::string address; ///< "ip:port"
};

struct SendCommand
{
    LinkId link;
    ServerCommand command;
};

/// Closes a connection to a backend server at once. The link's row has been removed.
struct CloseLink
{
    LinkId link;
};

using PoolAction = std::variant<ReplyToCaller, RefuseCaller, GreetCaller, CloseCaller, OpenLink, SendCommand, CloseLink,
                                WriteFleetObject, DeleteFleetObject, PromoteServer, WriteLog>;
using PoolActions = std::vector<PoolAction>;

} // namespace Jujubekeel
