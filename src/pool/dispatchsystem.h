#pragma once

#include "pool/linksystem.h"
#include "pool/poolids.h"
#include "pool/poolmessages.h"
#include "pool/serverchooser.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace Jujubekeel {

struct PoolWorld;
struct ServerRow;
struct SessionRow;

/// Brings the pending work of sessions to backend servers: queue, choice of the server and the link, what a shared link
/// needs for the session, and refusals. ResultSystem takes the answers. Owned by PoolCore.
class DispatchSystem final
{
public:
    /// Called with the answer to a session's work; the work is over.
    using Finish = std::function<void(SessionId session, CallerReply reply)>;

    DispatchSystem(PoolWorld &poolWorld, LinkSystem &linkSystem, Finish finishWork);

    /// Takes the session's work; it is answered at once, or later through Finish.
    void submit(SessionId session);
    /// The transaction's begin has been answered: sends the statement that it was begun for.
    void sendFirstStatement(SessionId session, LinkId link) { this->sendStatement(session, link, std::nullopt); }
    /// Offers work that has not run to another server, or puts it back into the queue. \a error says why it did not run.
    void requeue(SessionId session, std::optional<OutcomeError> error);
    /// Ends the work of a session.
    void finishWork(SessionId session, CallerReply reply) { this->finish(session, std::move(reply)); }
    void finishWithError(SessionId session, OutcomeCode code, std::string text, SessionState state);

    /// Ends the server's side of a transaction without an answer to the caller.
    void rollBack(SessionId session);
    /// Forgets work of a caller that has left.
    void abandon(SessionId session);
    /// Planned stop: refuses all work that waits.
    void refuseQueued();
    /// The wait of a session's queued work may be over.
    void checkWait(SessionId session);

    /// Sends queued work of a service as far as links are free.
    void dispatchQueued(ServiceId service);
    /// The link has no user any more; its connection state is for others to decide.
    void detach(LinkId link);
    /// Gives a link without a transaction to whoever waits.
    void releaseLink(LinkId link);
    void sendRollback(LinkId link);

    /// Asks an idle primary for its position, so that reads can go to replicas. Returns true if a question is under way.
    bool requestPosition(ServiceId service);
    /// Finds out whether a silent primary is there: asks for its position, or opens a connection if no link is free.
    void probePrimary(ServiceId service);

    /// What this instance believes of the session's primary, for logs: id, leadership, age of the proof, links, queue.
    [[nodiscard]] std::string describePrimary(const SessionRow &session) const;
    [[nodiscard]] ServiceId serviceOf(const SessionRow &session) const;

private:
    bool trySend(SessionId session);
    bool relay(SessionId session);
    void describeSession(const SessionRow &session, LinkId link);
    bool sendTo(SessionId session, ServerId server, std::optional<LogPosition> after);
    void sendStatement(SessionId session, LinkId link, std::optional<LogPosition> after);
    [[nodiscard]] TimePoint answerDeadline(const SessionRow &session, const ServerRow &server) const;
    void prepareLink(SessionRow &session, LinkId link);
    void dispatchQueue(ServiceId service);
    void enqueue(SessionId session);
    void removeFromQueue(SessionId session);

    PoolWorld &world;
    LinkSystem &links;
    ServerChooser chooser;
    Finish finish;
};

} // namespace Jujubekeel
