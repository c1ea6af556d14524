#pragma once

#include "core/action.h"
#include "core/backendmessages.h"
#include "core/id.h"
#include "core/platformmessages.h"
#include "core/time.h"
#include "session/logposition.h"

#include <cstdint>

namespace Jujubekeel {

struct World;

/// Determines whether a write or a read at the primary is confirmed under AuthorityOptions::policy, and renews the
/// lease of the lease policies. Updates BackendRow::confirmation from answers on the owner's control connection. Owned
/// by ProxyCore; used only within ProxyCore::step. Stateless, so other systems may hold an instance as well.
class ConfirmationSystem final
{
public:
    /// Requests a barrier, which is sent as soon as the control connection is free. \a position is the log position
    /// that must be acknowledged; 0 stands for the position that the server has applied so far.
    static void requestBarrier(World &world, BackendId backend, std::uint64_t position = 0);
    /// Records the positions acknowledged by replicas, from any answer with a status on the control connection.
    void observeStatus(World &world, BackendId backend, const ServerStatus &status);
    /// Records an Ok answer to a barrier that was sent at \a sentAt.
    void observeBarrier(World &world, BackendId backend, const ServerStatus &status, TimePoint sentAt);
    /// True if the write at \a position may be acknowledged under the policy in force.
    [[nodiscard]] static bool isWriteConfirmed(const World &world, BackendId backend, LogPosition position);
    /// True if the server was confirmed as the primary of \a term at or after \a since, under the policy in force.
    [[nodiscard]] static bool isReadConfirmed(const World &world, BackendId backend, std::uint64_t term,
                                              TimePoint since);

    /// Renews the leases of owned primaries; does nothing under group confirmation.
    void tick(World &world, Actions &actions);
    void handle(World &world, const PlatformAnswer &answer);
};

} // namespace Jujubekeel
