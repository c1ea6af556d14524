#pragma once

#include "pool/linksystem.h"
#include "pool/poolids.h"

#include <string>

namespace Jujubekeel {

class DispatchSystem;
struct PoolWorld;

/// Takes the answers of backend servers and the ends of their connections, and decides what callers may be told: results,
/// retries of what has not run, promises that nothing is kept, and doubt. A result that depends on the primary is
/// delivered only with a proof that the primary still led. Owned by PoolCore.
class ResultSystem final
{
public:
    ResultSystem(PoolWorld &poolWorld, LinkSystem &linkSystem, DispatchSystem &dispatchSystem)
        : world(poolWorld), links(linkSystem), dispatch(dispatchSystem)
    {
    }

    void exchangeCompleted(LinkId link, CompletedExchange completed);
    /// Settles the work on a link and closes it.
    void linkLost(LinkId link, LinkEnd end);
    /// Does that for all links of a server that is about to be removed.
    void serverRemoved(ServerId server);
    /// Delivers or gives up results that wait for a proof of leadership.
    void reviewWithheld(ServiceId service);
    /// The time of a session's withheld result may be over.
    void checkWithheld(SessionId session);
    /// End of a planned stop: gives every statement under way its final answer.
    void settleAll();

private:
    void beginCompleted(LinkId link, CompletedExchange &completed);
    void statementCompleted(LinkId link, CompletedExchange &completed);
    void statementFailed(SessionId session, LinkId link, CompletedExchange &completed);
    void failTransaction(SessionId session, LinkId link, const CompletedExchange &completed);
    void statementSucceeded(SessionId session, LinkId link, CompletedExchange &completed);
    void settleLost(SessionId session, LinkEnd end);
    void recordSample(LinkId link, const CompletedExchange &completed);
    void noteBehind(ServerId server);
    [[nodiscard]] bool isVerifiedPrimary(const LinkRow &link, ServiceId service) const;

    PoolWorld &world;
    LinkSystem &links;
    DispatchSystem &dispatch;
};

} // namespace Jujubekeel
