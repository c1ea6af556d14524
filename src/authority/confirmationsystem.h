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

/// Tells whether the group has confirmed a write or a read at the primary, as AuthorityOptions::policy demands. Writes
/// BackendRow::confirmation from answers on the owner's control connection, and holds the lease of the lease policies.
/// Owned by ProxyCore; runs within its step. Has no state of its own, so that other systems may hold one as well.
class ConfirmationSystem final
{
public:
    /// Asks for a barrier as soon as the control connection is free. \a position is the end of the log that must be
    /// acknowledged; 0 asks for the present end of what reads see.
    static void request(World &world, BackendId backend, std::uint64_t position = 0);
    /// Any answer with a status on the control connection: takes over acknowledged positions.
    void observeStatus(World &world, BackendId backend, const ServerStatus &status);
    /// An Ok answer to a barrier that was sent at \a sentAt.
    void observeBarrier(World &world, BackendId backend, const ServerStatus &status, TimePoint sentAt);
    /// True if enough replicas hold the write under the term it was written in, as the policy in force demands.
    [[nodiscard]] static bool isWriteConfirmed(const World &world, BackendId backend, LogPosition position);
    /// True if the server was confirmed as primary of \a term by a barrier sent at or after \a since.
    [[nodiscard]] static bool isReadConfirmed(const World &world, BackendId backend, std::uint64_t term,
                                              TimePoint since);

    /// Renews the leases of owned primaries; does nothing under group confirmation.
    void tick(World &world, Actions &actions);
    void handle(World &world, const PlatformAnswer &answer);
};

} // namespace Jujubekeel
