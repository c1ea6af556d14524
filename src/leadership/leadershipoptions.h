#pragma once

#include "core/time.h"

namespace Jujubekeel {

/// Timing of the checks of primaries, of their replacement and of the registration of members.
struct LeadershipOptions
{
    Duration checkInterval = std::chrono::milliseconds(50); ///< time between two checks of the primaries
    /// A primary counts as unreachable after connecting to it has failed for this long.
    Duration connectFailureLimit = std::chrono::milliseconds(200);
    /// A primary counts as unreachable after it has answered nothing for this long.
    Duration silenceLimit = std::chrono::milliseconds(700);
    /// Silence after which a primary is probed by a position request or by a new connection.
    Duration probeAfter = std::chrono::milliseconds(200);
    /// A primary counts as unreachable if a probe, which takes no slot, is not answered within this time.
    Duration probeTimeout = std::chrono::milliseconds(250);
    /// A primary without a directory entry and without a connection counts as unreachable after this time.
    Duration missingLimit = std::chrono::milliseconds(700);
    Duration viewWait = std::chrono::milliseconds(120);  ///< time for the views of the other instances to arrive
    Duration rankDelay = std::chrono::milliseconds(300); ///< additional delay of each rank before an instance acts
    Duration writeRetryDelay = std::chrono::milliseconds(150); ///< after a failed write of the own member object
    /// Planned replacement: time in which running work at the primary may finish.
    Duration plannedDrainTimeout = std::chrono::milliseconds(1000);
    /// An unfinished replacement is taken over by another instance after this time; longer than the authority lease.
    Duration takeOverAfter = std::chrono::milliseconds(7500);
    /// Added to the authority lease when waiting for it to expire at other instances.
    Duration leaseMargin = std::chrono::milliseconds(100);
    Duration statusWait = std::chrono::milliseconds(350); ///< time for the candidates to report their log positions
    /// Time for a candidate that has not answered, if others lack commits that it may hold.
    Duration evidenceWait = std::chrono::milliseconds(1500);
    /// Time for servers that are unreachable, if all that have answered follow an earlier term than the old primary. The
    /// platform no longer lists a server that has ended after three check-in intervals.
    Duration absentWait = std::chrono::milliseconds(4000);
    Duration statusRefresh = std::chrono::milliseconds(200); ///< age after which a candidate is asked again
    Duration waitLogInterval = std::chrono::seconds(5);      ///< between two log lines about awaited candidates
    /// Time for a candidate to catch up with an old primary that still answers. Without one the replacement is abandoned.
    Duration catchUpWait = std::chrono::milliseconds(1500);
    /// From an abandoned planned replacement to the next attempt, in which the primary serves.
    Duration plannedRetryDelay = std::chrono::milliseconds(2000);
    /// Time between two checks of a replacement in progress, and between two status requests to a server whose answer ends
    /// a step.
    Duration stepInterval = std::chrono::milliseconds(10);
    Duration callRetryDelay = std::chrono::milliseconds(200); ///< before an unanswered call is repeated
    /// Time in which a candidate must report that it is primary after the platform accepted its promotion.
    Duration promotionTimeout = std::chrono::milliseconds(4000);
    /// Number of time slots over which the instances that see a vacancy for a member spread their registrations.
    std::uint32_t registrationSlots = 64;
    /// Length of a time slot. A registration reaches the other instances within this time.
    Duration registrationSlotInterval = std::chrono::milliseconds(12);
    /// A member that has been unreachable for this long no longer counts towards the limit of members.
    Duration memberTimeout = std::chrono::seconds(8);
    /// After the store has returned from an older copy: time in which instances that know more write it again, before
    /// leadership counts as verified. It must end within the authority lease, the outage included, so that work goes on.
    Duration recoveryWait = std::chrono::milliseconds(1500);
    /// The backend servers write their entries again within 2 s. An instance that does not remember the time before needs
    /// them before it counts leadership as verified.
    Duration entryWait = std::chrono::milliseconds(2500);
    /// Without a record the first primary is the server whose entry says so. If there is none this long after the last
    /// server was listed, one is promoted. Entries that lapsed are back within 2 s.
    Duration firstPrimaryWait = std::chrono::milliseconds(2500);
    /// The same for a service that appears while this instance runs, and at the first start of the fleet: the primary may
    /// start later than the replicas.
    Duration newServicePrimaryWait = std::chrono::seconds(10);
    Duration recoveryTurn = std::chrono::milliseconds(100); ///< between two members that write lost records again
    std::uint32_t recoveryTurns = 6;                        ///< later members write in the last turn
    /// Maximum age of the verified fleet view for starting a replacement and for requesting a promotion.
    Duration maxFleetViewAge = std::chrono::milliseconds(2500);
};

} // namespace Jujubekeel
