#pragma once

#include "core/action.h"
#include "core/backendmessages.h"
#include "core/id.h"
#include "core/peermessages.h"
#include "core/time.h"

#include <span>

namespace Jujubekeel {

struct World;

/// Tracks the state of each database group: roles, positions, term histories and the primary. Writes the routing
/// members of BackendRow, and the primary and the history of DatabaseRow. Updates never go back: a primary of an older
/// term never replaces one of a newer term. Owned by ProxyCore; used only within ProxyCore::step. Stateless, so other
/// systems may hold an instance as well.
class GroupMonitorSystem final
{
public:
    /// Status that came from the server itself in answer to a request sent at \a sentAt.
    void observeStatus(World &world, BackendId backend, const ServerStatus &status, TimePoint sentAt);
    /// Report from a peer, sent at \a sentAtLeast or later on this instance's clock.
    void observeReport(World &world, InstanceId from, const BackendReport &report, TimePoint sentAtLeast);
    /// All reports of one heartbeat. A server that \a from owned and that is missing from \a reports has no known owner
    /// any more.
    void observeOwned(World &world, InstanceId from, std::span<const BackendReport> reports);
    /// A new primary. Notices of terms that are not newer than the known one are ignored.
    void observePromotion(World &world, const PromotionNotice &notice);
    /// Applied position from an answer to a statement. \a receivedAt is the arrival of the answer on this instance's
    /// clock.
    void observePosition(World &world, BackendId backend, LogPosition applied, TimePoint receivedAt);
    /// The server was confirmed as primary by a request sent at \a asOf, and its log ended at \a end afterwards. Ignored
    /// unless the server is the primary of the newest known term.
    void observeConfirmed(World &world, BackendId backend, LogPosition end, TimePoint asOf);
    /// This instance took or released the server's lock.
    void observeOwnership(World &world, BackendId backend, bool owned);
    /// Report on an owned server for the next heartbeat.
    [[nodiscard]] static BackendReport makeReport(const World &world, BackendId backend);
};

} // namespace Jujubekeel
