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

/// Refuses a session that is being opened, and closes it.
struct RefuseCaller
{
    SessionId session;
    OutcomeError error;
};

/// The session is open; the caller may send statements.
struct GreetCaller
{
    SessionId session;
};

/// Closes a caller's connection after what is queued has been sent. The row is gone.
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

/// Closes a connection to a backend server. The row is gone.
struct CloseLink
{
    LinkId link;
};

using PoolAction = std::variant<ReplyToCaller, RefuseCaller, GreetCaller, CloseCaller, OpenLink, SendCommand, CloseLink,
                                WriteFleetObject, DeleteFleetObject, PromoteServer, WriteLog>;
using PoolActions = std::vector<PoolAction>;

} // namespace Jujubekeel
