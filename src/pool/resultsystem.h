#pragma once

#include "pool/linksystem.h"
#include "pool/pacesystem.h"
#include "pool/poolids.h"

#include <string>

namespace Jujubekeel {

class DispatchSystem;
struct PoolWorld;

/// Handles the responses of backend servers and the loss of their connections, and decides the outcome for the caller:
/// a result, a retry of work that has not run, an error that guarantees that nothing has changed, or InDoubt. A result
/// that depends on the primary is delivered only once it is verified that the primary still led. Owned by PoolCore.
class ResultSystem final
{
public:
    ResultSystem(PoolWorld &poolWorld, LinkSystem &linkSystem, DispatchSystem &dispatchSystem)
        : world(poolWorld), links(linkSystem), dispatch(dispatchSystem), pace(poolWorld)
    {
    }

    void exchangeCompleted(LinkId link, CompletedExchange completed);
    /// Closes a link and settles the work on it.
    void linkLost(LinkId link, LinkEnd end);
    /// Calls linkLost() for all links of a server that is about to be removed.
    void serverRemoved(ServerId server);
    /// Delivers or refuses results that wait for verification of the service's leadership.
    void reviewWithheld(ServiceId service);
    /// Refuses the session's withheld result if its deadline has passed, or the primary has been released.
    void checkWithheld(SessionId session);
    /// End of a planned stop: completes all statements in progress with an error.
    void settleAll();

private:
    void beginCompleted(LinkId link, CompletedExchange &completed);
    void statementCompleted(LinkId link, CompletedExchange &completed);
    void statementFailed(SessionId session, LinkId link, CompletedExchange &completed);
    /// A statement of a transaction has failed: ends the transaction on the server and completes the work.
    void failTransaction(SessionId session, LinkId link, const CompletedExchange &completed);
    void statementSucceeded(SessionId session, LinkId link, CompletedExchange &completed);
    /// Reports the end of a statement to the server's pace, and updates its response time.
    void recordEnd(LinkId link, const CompletedExchange &completed);
    /// Decides the outcome of a statement whose link was lost.
    void resolveLostWork(SessionId session, LinkEnd end);
    /// Stores the log position in a response if it is from the verified primary.
    void recordSample(LinkId link, const CompletedExchange &completed);
    /// A replica lacked a required position: it is not used for such reads for a while.
    void markLagging(ServerId server);
    /// Whether the link's server is the verified primary, and was it already when the link's work was sent.
    [[nodiscard]] bool isVerifiedPrimary(const LinkRow &link, ServiceId service) const;

    PoolWorld &world;
    LinkSystem &links;
    DispatchSystem &dispatch;
    PaceSystem pace;
};

} // namespace Jujubekeel
