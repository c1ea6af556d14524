#pragma once

#include "pool/poolids.h"

#include <memory>
#include <string>

namespace Jujubekeel {

class DispatchSystem;
class SessionReplies;
struct Organisation;
struct PoolWorld;
struct SessionRow;

/// Decides in the name of which organisation a session runs, and ends sessions whose key is withdrawn. Owned by
/// PoolCore.
class OrganisationSystem final
{
public:
    OrganisationSystem(PoolWorld &poolWorld, DispatchSystem &dispatchSystem, SessionReplies &sessionReplies)
        : world(poolWorld), dispatch(dispatchSystem), replies(sessionReplies)
    {
    }

    /// The organisation that holds the caller's key at present; null if there is none.
    [[nodiscard]] std::shared_ptr<const Organisation> organisationOf(const SessionRow &session) const;
    /// Whether the session's route may be used only in the name of an organisation, and the session has none.
    [[nodiscard]] bool needsOrganisation(const SessionRow &session) const;
    [[nodiscard]] std::string unknownOrganisationText() const;
    /// Sets the organisation that another instance sent with a route.
    void useOrganisation(SessionRow &session, const std::string &name);
    /// Refuses a session that is being opened with an unknown key.
    void deny(SessionId session);
    /// The organisations or the routes have changed: ends the sessions whose key no longer belongs to their organisation,
    /// and refuses relayed work of organisations that are no longer known.
    void organisationsChanged();
    /// Ends a session whose key has been withdrawn, although its statement has not been answered.
    void checkWithdrawn(SessionId session);
    /// Refuses a statement of a session whose key has been withdrawn, and ends the session.
    void denyWithdrawn(SessionId session);
    /// Refuses the statements that wait for an earlier one, and closes the session.
    void endWithdrawn(SessionId session);
    /// endWithdrawn(), after the next statement of an open transaction, which is rolled back now.
    void stopWithdrawn(SessionId session);

private:
    [[nodiscard]] std::string organisationsVersion() const;
    /// Whether a session may stay open with the present organisations and routes.
    [[nodiscard]] bool isAllowed(SessionRow &session) const;
    /// Ends a session whose key has been withdrawn; the result of a statement at a server is delivered before.
    void withdrawKey(SessionId session);
    /// Refuses the work of a relayed session if its organisation is no longer known.
    void reviewRelayed(SessionId session);

    PoolWorld &world;
    DispatchSystem &dispatch;
    SessionReplies &replies;
};

} // namespace Jujubekeel
