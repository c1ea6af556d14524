#pragma once

#include "core/action.h"
#include "core/backendmessages.h"
#include "core/id.h"
#include "core/peermessages.h"
#include "core/time.h"

#include <span>

namespace Jujubekeel {

struct World;

/// Keeps what is known of each database group: roles, positions, term histories, the primary. Writes the knowledge parts
/// of BackendRow and DatabaseRow. Knowledge only goes forward: a primary of an older term never replaces one of a newer.
/// Owned by ProxyCore; runs within its step. Has no state of its own, so that other systems may hold one as well.
class GroupMonitorSystem final
{
public:
    /// Status that came from the server itself in answer to a request sent at \a sentAt.
    void observeStatus(World &world, BackendId backend, const ServerStatus &status, TimePoint sentAt);
    /// Report of a peer. \a sentAtLeast is an own time that is not later than the sending of the report.
    void observeReport(World &world, InstanceId from, const BackendReport &report, TimePoint sentAtLeast);
    /// All reports of one heartbeat: a server that \a from owned and that is missing here has no known owner any more.
    void observeOwned(World &world, InstanceId from, std::span<const BackendReport> reports);
    /// A new primary. Notices of terms that are not newer than the known one are ignored.
    void observePromotion(World &world, const PromotionNotice &notice);
    /// Position from an answer to a statement. \a receivedAt is the own time of the answer.
    void observePosition(World &world, BackendId backend, LogPosition applied, TimePoint receivedAt);
    /// The server was confirmed as primary by a request sent at \a asOf, and its log ended at \a end afterwards. Ignored
    /// unless the server is the primary of the newest known term.
    void observeConfirmed(World &world, BackendId backend, LogPosition end, TimePoint asOf);
    /// This instance took or released the server's lock.
    void observeOwnership(World &world, BackendId backend, bool owned);
    /// What this owner reports of a server in its next heartbeat. The server must be owned.
    [[nodiscard]] static BackendReport makeReport(const World &world, BackendId backend);
};

} // namespace Jujubekeel
