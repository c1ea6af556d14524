#pragma once

#include "pool/poolids.h"
#include "pool/poolmessages.h"

#include <string>

namespace Jujubekeel {

class DispatchSystem;
class RateLimitSystem;
struct PoolWorld;
struct SessionRow;

/// Sends callers the replies that need no backend server, reports what becomes of statements, and ends sessions.
/// Owned by PoolCore.
class SessionReplies final
{
public:
    SessionReplies(PoolWorld &poolWorld, DispatchSystem &dispatchSystem, RateLimitSystem &rateLimitSystem)
        : world(poolWorld), dispatch(dispatchSystem), rateLimits(rateLimitSystem)
    {
    }

    /// Sends a reply without a result.
    void answer(SessionId session, SessionState state);
    void refuse(SessionId session, OutcomeCode code, std::string text, SessionState state);
    /// Refuses a statement; if a transaction is open, it is rolled back and fails.
    void failInTransaction(SessionId session, OutcomeCode code, std::string text);
    /// Counts and logs the failure of the session's pending work.
    void reportFailure(const SessionRow &session, const OutcomeError &error);
    /// Logs a line about the session's pending work.
    void logStatement(const SessionRow &session, const std::string &event, std::string code, const std::string &reason);
    /// Ends a session and its work: the caller has ended it, or its connection was lost.
    void end(SessionId session);
    /// end(), and closes the caller's connection.
    void close(SessionId session);

private:
    void countRefused(OutcomeCode code);

    PoolWorld &world;
    DispatchSystem &dispatch;
    RateLimitSystem &rateLimits;
};

} // namespace Jujubekeel
