#pragma once

#include "core/action.h"
#include "core/backendmessages.h"
#include "core/databaserow.h"
#include "core/id.h"
#include "core/time.h"

#include <cstddef>

namespace Jujubekeel {

struct World;

/// Short-lived control connections of a coordinator to the servers of a group: opens and closes them, sends one request
/// at a time and closes connections whose request is not answered in time. Writes the connection members of
/// PromotionMember. Owned by PromotionSystem; used only within ProxyCore::step. Stateless, so the other classes of a
/// promotion may hold an instance as well.
class MemberConnections final
{
public:
    /// Time between two status requests to a server of a group whose primary is suspect, and pause after a failed
    /// connection.
    static constexpr Duration probeInterval = std::chrono::milliseconds(100);

    /// The member must have no connection.
    void open(World &world, DatabaseId database, std::size_t member, Actions &actions);
    /// Does nothing if the member has no connection.
    void close(World &world, PromotionMember &member, Actions &actions);
    /// The connection must be established and idle.
    void send(World &world, DatabaseId database, std::size_t member, BackendRequest request, Duration timeout,
              Actions &actions);
    /// Requests the status, or a barrier if \a barrier is set, once \a interval has passed since the last probe. Opens
    /// the connection first if there is none.
    void probe(World &world, DatabaseId database, std::size_t member, bool barrier, Duration interval,
               Actions &actions);
    /// Closes the connections whose deadline has passed.
    void expire(World &world, DatabaseId database, Actions &actions);
    void opened(World &world, ConnectionId connection, bool ok);
    void lost(World &world, ConnectionId connection);
};

} // namespace Jujubekeel
