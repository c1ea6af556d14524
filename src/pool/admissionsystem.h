#pragma once

#include "pool/poolids.h"
#include "pool/statement.h"

namespace Jujubekeel {

class DispatchSystem;
class OrganisationSystem;
class RateLimitSystem;
class SessionReplies;
struct PoolWorld;
struct RateDecision;

/// Decides whether a transaction may begin and whether a statement becomes pending work: the route, the organisation and
/// its limit must allow it. Owned by PoolCore.
class AdmissionSystem final
{
public:
    AdmissionSystem(PoolWorld &poolWorld, DispatchSystem &dispatchSystem, RateLimitSystem &rateLimitSystem,
                    OrganisationSystem &organisationSystem, SessionReplies &sessionReplies)
        : world(poolWorld), dispatch(dispatchSystem), rateLimits(rateLimitSystem), organisations(organisationSystem),
          replies(sessionReplies)
    {
    }

    /// Begins a transaction, or refuses it.
    void begin(SessionId session, const Statement &statement);
    /// Makes a statement the session's pending work, or refuses it.
    void startWork(SessionId session, Statement statement);
    /// Refuses an operation above the limit of its organisation.
    void refuseLimited(SessionId session, const Statement &statement, const RateDecision &decision);

private:
    /// Sets the route in force for the session. Refuses the statement and returns false if there is none.
    [[nodiscard]] bool resolveRoute(SessionId session);
    /// Whether the limit of the organisation lets an operation start now. Otherwise it waits or has been refused.
    [[nodiscard]] bool passesLimit(SessionId session, const Statement &statement);

    PoolWorld &world;
    DispatchSystem &dispatch;
    RateLimitSystem &rateLimits;
    OrganisationSystem &organisations;
    SessionReplies &replies;
};

} // namespace Jujubekeel
