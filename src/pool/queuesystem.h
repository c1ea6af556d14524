#pragma once

#include "pool/calleroutcome.h"
#include "pool/poolids.h"
#include "pool/poolmessages.h"
#include "pool/serverchooser.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

struct PoolWorld;
struct SessionRow;

/// The queues of work that waits for a link: their order, the wait that is expected in them, and the refusal of work
/// that is not served in time. Used by DispatchSystem, which sends the work.
class QueueSystem final
{
public:
    /// Completes the work of a session with an error.
    using Refuse = std::function<void(SessionId session, OutcomeCode code, std::string text)>;

    QueueSystem(PoolWorld &poolWorld, Refuse refuseWork)
        : world(poolWorld), chooser(poolWorld), refuse(std::move(refuseWork))
    {
    }

    /// Queues the session's work, or refuses it if the queue is longer than can be served before its deadline.
    void enqueue(SessionId session, ServiceId service);
    /// Queued work of a service, in the order in which it is to be served.
    [[nodiscard]] std::vector<SessionId> inOrder(ServiceId service) const;
    /// The session's queued work has been sent.
    void served(SessionId session);
    /// A pass over the queue of the service has ended.
    void passEnded(ServiceId service);
    /// Empties the queue of a service and returns its work in order.
    std::vector<SessionId> takeAll(ServiceId service);
    /// Removes the session's work, if it is queued.
    void remove(SessionId session);

    /// Planned stop: refuses all queued work.
    void refuseAll();
    /// Refuses the session's queued work because its key or organisation is no longer valid.
    void deny(SessionId session, std::string reason);
    /// Refuses the session's queued work if its deadline has passed. \a service is the one that would run it now.
    void checkWait(SessionId session, ServiceId service);

private:
    /// When the work has to leave the queue to be answered within the latency objective of its route.
    [[nodiscard]] TimePoint startBy(const SessionRow &session, ServiceId service) const;

    PoolWorld &world;
    ServerChooser chooser;
    Refuse refuse;
};

} // namespace Jujubekeel
