#pragma once

#include "pool/linksystem.h"
#include "pool/pacesystem.h"
#include "pool/poolids.h"
#include "pool/poolmessages.h"
#include "pool/queuesystem.h"
#include "pool/serverchooser.h"
#include "pool/statementsender.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Jujubekeel {

struct PoolWorld;
struct SessionRow;

/// Sends the pending work of sessions to backend servers: chooses the server and the link, or lets the work wait in a
/// queue of QueueSystem. ResultSystem handles the responses. Owned by PoolCore.
class DispatchSystem final
{
public:
    /// Called with the reply that completes the work of a session.
    using Finish = std::function<void(SessionId session, CallerReply reply)>;

    DispatchSystem(PoolWorld &poolWorld, LinkSystem &linkSystem, Finish finishWork);

    /// The reason why a statement or transaction of a relayed session must be refused, so that the other instance offers
    /// it to another member: this one has not reached the store for too long to serve it, or may not connect to the
    /// primary yet. Empty: it need not be refused.
    [[nodiscard]] std::optional<OutcomeError> mustPassOn(const SessionRow &session, bool needsPrimary,
                                                         TimePoint consistentAt) const;
    /// Sends or queues the session's pending work. Finish is called for it, during this call or later.
    void submit(SessionId session);
    /// Sends the first statement of a transaction, after the backend server has answered Begin.
    void sendFirstStatement(SessionId session, LinkId link) { this->sender.sendStatement(session, link, std::nullopt); }
    /// Sends work that has not run to another server, or queues it again. \a error is the reason why it has not run.
    void requeue(SessionId session, std::optional<OutcomeError> error);
    /// Completes the work of a session.
    void finishWork(SessionId session, CallerReply reply) { this->finish(session, std::move(reply)); }
    void finishWithError(SessionId session, OutcomeCode code, std::string text, SessionState state);

    /// Rolls back the session's transaction on the backend server, without a reply to the caller.
    void rollBack(SessionId session);
    /// Discards the work of a caller that has disconnected.
    void abandon(SessionId session);
    /// Planned stop: refuses all queued work.
    void refuseQueued() { this->queues.refuseAll(); }
    /// Refuses the session's queued work because its key or organisation is no longer valid.
    void denyQueued(SessionId session, std::string reason) { this->queues.deny(session, std::move(reason)); }
    /// Refuses the session's queued work if its deadline has passed.
    void checkWait(SessionId session);

    /// Sends queued work of a service while there are free links.
    void dispatchQueued(ServiceId service);
    /// This instance's role or the known services have changed: work that waits for no service in particular is sent,
    /// or moved to the queue of its service.
    void dispatchUnassigned();
    /// Removes the user of a link. Does not end a transaction that is open on the link.
    void detach(LinkId link);
    /// Frees a link that has no open transaction, and dispatches queued work. Closes the link if this instance's role
    /// no longer allows it.
    void releaseLink(LinkId link);
    /// Rolls back the transaction that is open on the link. The link is free once the response has arrived.
    void sendRollback(LinkId link);

    /// Requests the primary's log position, which reads on replicas need. Returns true if a request is in progress.
    bool requestPosition(ServiceId service);
    /// Probes a primary that has not answered: requests its log position, or opens a connection if no link is free.
    void probePrimary(ServiceId service);

    /// Describes the primary of the session's service for logs: id, epoch, last verification, links, queue length.
    [[nodiscard]] std::string describePrimary(const SessionRow &session) const;
    /// Service whose queue the session's work uses: that of its route, or that of the members at a relaying instance and
    /// until this instance knows its role and the servers. Invalid if the service is unknown.
    [[nodiscard]] ServiceId serviceOf(const SessionRow &session) const;

private:
    /// Kinds of an organisation's queued work for which no link was free in one pass over a queue. A further attempt for
    /// work of the same kind would fail as well, and a queue may hold hundreds of entries.
    struct UnservedKinds
    {
        bool relayed = false;
        bool primary = false;                      ///< work that needs the primary
        bool withoutPosition = false;              ///< reads for which no log position is known
        std::optional<LogPosition> lowestPosition; ///< reads that must see this log position or a later one
    };

    [[nodiscard]] bool isUnserved(const UnservedKinds &kinds, const SessionRow &session) const;
    /// Records that trySend() has failed for the session.
    void addUnserved(UnservedKinds &kinds, const SessionRow &session) const;
    /// Sends the session's work. Returns false if it has to be queued: no suitable server has a free link.
    bool trySend(SessionId session);
    /// Whether the work needs the primary, or a position from it, and no connection to it may be opened yet.
    [[nodiscard]] bool lacksPrimaryLink(ServiceId service, bool needsPrimary, TimePoint consistentAt) const;
    /// Whether the session's work is sent to a member, not to a backend server.
    [[nodiscard]] bool isRelayed(const SessionRow &session, ServiceId service) const;
    /// The same as trySend(), to one of the members.
    bool relay(SessionId session);
    /// Sends work to the first candidate with a free link of the session's organisation. If there is none, returns false
    /// and opens a link to the first one that can be reached; an organisation that has links to the candidates gets
    /// another one only after the work has waited for as long as the handshake takes.
    bool sendToOpenLink(SessionId session, std::span<const ServerId> candidates,
                        std::optional<LogPosition> requiredPosition, bool lastResort);
    /// With adaptive pacing: opens a link to the first candidate if it has none that is free for the session's
    /// organisation, and is due for a trial statement or below its limit of links.
    void openToBest(SessionId session, std::span<const ServerId> candidates, bool lastResort);
    /// In whose name a link for the session's work is opened.
    [[nodiscard]] std::string_view linkOrganisation(SessionId session, ServerId server) const;
    /// \a lastResort: no other server can run the work, so that a suspended one gets more than trial statements.
    bool sendTo(SessionId session, ServerId server, std::optional<LogPosition> requiredPosition, bool lastResort);
    void dispatchQueue(ServiceId service);
    void enqueue(SessionId session);

    PoolWorld &world;
    LinkSystem &links;
    ServerChooser chooser;
    PaceSystem pace;
    StatementSender sender;
    QueueSystem queues;
    Finish finish;
};

} // namespace Jujubekeel
