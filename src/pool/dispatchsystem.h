#pragma once

#include "pool/linksystem.h"
#include "pool/poolids.h"
#include "pool/poolmessages.h"
#include "pool/serverchooser.h"

#include <functional>
#include <string>

namespace Jujubekeel {

struct PendingWork;
struct PoolWorld;
struct SessionRow;

/// Carries the pending work of sessions to backend servers: queue, choice of the server, transactions on their links,
/// retries of what has not run, and the outcome. Owned by PoolCore.
class DispatchSystem final
{
public:
    /// Called with the answer to a session's work; the work is over.
    using Finish = std::function<void(SessionId session, CallerReply reply)>;

    DispatchSystem(PoolWorld &poolWorld, LinkSystem &linkSystem, Finish finishWork);

    /// Takes the session's work; it is answered at once, or later through Finish.
    void submit(SessionId session);
    /// Ends the server's side of a transaction without an answer to the caller.
    void rollBack(SessionId session);
    /// Forgets work of a caller that has left.
    void abandon(SessionId session);

    void exchangeCompleted(LinkId link, CompletedExchange completed);
    /// Settles the work on a link and closes it.
    void linkLost(LinkId link, LinkEnd end);
    void linkOpened(LinkId link);
    /// The deadline of a session's work may have passed.
    void checkWork(SessionId session);
    /// Sends queued work of a service as far as links are free.
    void drain(ServiceId service);
    /// Planned stop: refuses all work that waits.
    void refuseQueued();
    /// End of a planned stop: gives every statement under way its final answer.
    void settleAll();
    /// Delivers or gives up results that wait for a proof of leadership.
    void reviewWithheld(ServiceId service);
    /// Asks an idle primary for its position, so that reads can go to replicas. Returns true if a question is under way.
    bool askPosition(ServiceId service);
    /// Finds out whether a silent primary is there: asks for its position, or opens a connection if no link is free.
    void probePrimary(ServiceId service);

    /// What this instance believes of the session's primary, for logs: id, leadership, age of the proof, links, queue.
    [[nodiscard]] std::string describePrimary(const SessionRow &session) const;
    [[nodiscard]] ServiceId serviceOf(const SessionRow &session) const;

private:
    bool trySend(SessionId session);
    bool sendTo(SessionId session, ServerId server, std::optional<LogPosition> after);
    void sendStatement(SessionId session, LinkId link, std::optional<LogPosition> after);
    void prepareLink(SessionRow &session, LinkId link);
    void enqueue(SessionId session);
    void requeue(SessionId session, std::optional<OutcomeError> error);
    void removeFromQueue(SessionId session);
    void detach(LinkId link);
    void releaseLink(LinkId link);
    void sendRollback(LinkId link);

    void beginCompleted(LinkId link, CompletedExchange &completed);
    void statementCompleted(LinkId link, CompletedExchange &completed);
    void statementFailed(SessionId session, LinkId link, CompletedExchange &completed);
    void statementSucceeded(SessionId session, LinkId link, CompletedExchange &completed);
    void settleLost(SessionId session, LinkEnd end);
    void recordSample(LinkId link, const CompletedExchange &completed);
    void noteBehind(ServerId server);
    [[nodiscard]] bool leadershipProved(const LinkRow &link, ServiceId service) const;
    void finishWithError(SessionId session, OutcomeCode code, std::string text, SessionState state);

    PoolWorld &world;
    LinkSystem &links;
    ServerChooser chooser;
    Finish finish;
};

} // namespace Jujubekeel
