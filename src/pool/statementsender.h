#pragma once

#include "core/time.h"
#include "pool/linksystem.h"
#include "pool/pacesystem.h"
#include "pool/poolids.h"
#include "session/logposition.h"

#include <optional>

namespace Jujubekeel {

struct PoolWorld;
struct ServerRow;
struct SessionRow;

/// Sends statements on links that DispatchSystem has chosen, after the commands that bring the session's state in force
/// there. Stateless.
class StatementSender final
{
public:
    StatementSender(PoolWorld &poolWorld, LinkSystem &linkSystem) : world(poolWorld), links(linkSystem), pace(poolWorld)
    {
    }

    /// Sends the session's statement. \a requiredPosition is the log position that the server must hold.
    void sendStatement(SessionId session, LinkId link, std::optional<LogPosition> requiredPosition);
    /// Sends the command that begins the session's transaction.
    void sendBegin(SessionId session, LinkId link, std::optional<LogPosition> requiredPosition);

private:
    /// Brings the route and the session values in force on the link to those of the session.
    void prepareLink(SessionRow &session, LinkId link);
    /// Sends the session's route and mark to a member, unless they were the last ones sent.
    void sendRelayedRoute(const SessionRow &session, LinkId link);
    /// Deadline for the response to the session's statement.
    [[nodiscard]] TimePoint answerDeadline(const SessionRow &session, const ServerRow &server) const;

    PoolWorld &world;
    LinkSystem &links;
    PaceSystem pace;
};

} // namespace Jujubekeel
