#pragma once

#include "core/backendmessages.h"
#include "core/id.h"
#include "core/time.h"
#include "session/logposition.h"
#include "session/termhistory.h"

#include <cstdint>

namespace Jujubekeel {

enum class OwnershipStep : std::uint8_t {
    None,        ///< another instance owns the server, or none does
    Connecting,  ///< control connection being opened
    Locking,     ///< Lock or PreemptLock sent
    Terminating, ///< TerminateOthers sent
    Owned,
    Closing, ///< takes no new work; releases the lock when the running work has finished
    Unlocking,
};

/// True if this instance executes work at the server: it owns the server, or finishes its work before the release.
[[nodiscard]] constexpr bool executesWork(OwnershipStep step)
{
    return step == OwnershipStep::Owned || step == OwnershipStep::Closing;
}

/// True if this instance holds the server's lock.
[[nodiscard]] constexpr bool holdsLock(OwnershipStep step)
{
    return executesWork(step) || step == OwnershipStep::Unlocking;
}

/// Ownership of one backend server by this instance. The owner holds the server's lock and is the only instance that
/// executes statements there. Written by OwnershipSystem.
struct OwnershipState
{
    OwnershipStep step = OwnershipStep::None;
    ConnectionId control;
    TimePoint notBefore{0}; ///< earliest time of the next attempt to take the lock
    Duration retryDelay{0};
    TimePoint noLiveOwnerSince{0};     ///< start of the time without a known live owner; 0: an owner is known
    InstanceId betterCandidate;        ///< live candidate that ranks before this instance; invalid: none
    TimePoint betterCandidateSince{0}; ///< when that candidate became the best-ranked one
    TimePoint nextRanking{0};          ///< when the candidates are ranked again
    TimePoint ownedSince{0};           ///< start of the current ownership
    TimePoint closingSince{0};         ///< start of Closing
    std::uint32_t handovers = 0;   ///< consecutive handovers after which the server came back; doubles handoverAfter
    bool preempting = false;       ///< the attempt in progress uses PreemptLock
    InstanceId blockedBy;          ///< holder named by the last refused Lock; invalid: none
    TimePoint blockedSince{0};     ///< start of the time without a heartbeat of the holder at any queried peer
    TimePoint holderQueriedAt{0};  ///< send time of the HolderQuery to the live peers; 0: not sent
    std::uint32_t preemptions = 0; ///< consecutive preemptions; doubles preemptAfter
    TimePoint lastPreemption{0};
    TimePoint lastAnswer{0}; ///< last answer on the control connection
    TimePoint nextPing{0};
    // Control request in progress; there is at most one.
    std::uint64_t serial = 0; ///< 0: none
    BackendOperation operation = BackendOperation::Status;
    TimePoint sentAt{0};
    std::uint64_t barrierPosition = 0;
};

/// Lease of the database's primary, held by the primary's owner. Written by ConfirmationSystem; lease policies only.
struct LeaseState
{
    std::uint64_t term = 0;        ///< term that the lease was granted for; 0: none
    TimePoint validUntil{0};       ///< own clock; counted from the send time of the renewal
    std::uint64_t call = 0;        ///< platform call in progress; 0: none
    bool writing = false;          ///< that call is the conditional update
    TimePoint sentAt{0};           ///< send time of that call
    TimePoint nextRenewal{0};      ///< when the next renewal is due
    bool versionKnown = false;     ///< false: read the object before the next update
    std::uint64_t version = 0;     ///< last known version of the lease object
    std::uint64_t sequence = 0;    ///< of the last update sent; identifies it if its answer is lost
    std::uint64_t writtenTerm = 0; ///< term in that update
    TimePoint writtenAt{0};        ///< send time of that update
};

/// What the database group has confirmed to the server's owner. Written by ConfirmationSystem from answers to barriers.
struct ConfirmationState
{
    LogPosition confirmed;               ///< highest position acknowledged by enough replicas under the server's term
    TimePoint barrierSentAt{0};          ///< send time of the last barrier that was answered Ok
    std::uint64_t barrierTerm = 0;       ///< term of that answer
    bool barrierRequested = false;       ///< an execution waits for a barrier; it is sent at once
    std::uint64_t requestedPosition = 0; ///< highest position that waiting executions need acknowledged
    TimePoint lastAcknowledged{0};       ///< last acknowledgement by any replica under the server's term
    LeaseState lease;                    ///< lease policies only
};

/// State of one backend server as known to this proxy: from the server itself if this instance is the owner, else from
/// the owner's heartbeats.
struct BackendRow
{
    DatabaseId database;
    // Used for routing. Written by GroupMonitorSystem.
    InstanceId owner;             ///< invalid: not known
    TimePoint ownerReportedAt{0}; ///< time of the owner's last report about the server, own clock
    bool ownerClosing = false;
    BackendRole role = BackendRole::Unknown;
    LogPosition applied;
    LogPosition received;
    TermHistory history;
    TimePoint statusAt{0};         ///< own clock; the newest status was taken at this time or later
    std::uint32_t queueLength = 0; ///< at the owner
    /// Replica: start of speculative reads, which are sent although the replica's last known position is behind the
    /// session, because it may have caught up since. Each read that finds it behind postpones the next one, with
    /// exponential back-off. Written by RequestSystem.
    TimePoint speculativeReadFrom{0};
    Duration speculativeReadBackoff{0};
    /// Primary only: `confirmedEnd` was the end of the confirmed log at `confirmedEndAsOf` (own clock) or later.
    LogPosition confirmedEnd;
    TimePoint confirmedEndAsOf{0};
    bool leaving = false; ///< set by a rule; written by DrainSystem when the rules change
    TimePoint leavingSince{0};
    // Owner only.
    OwnershipState ownership;
    ConfirmationState confirmation;
    std::uint32_t openConnections = 0;                   ///< work connections open or being opened
    std::uint32_t slotsInUse = 0;                        ///< statements in progress
    Duration serviceTime = std::chrono::milliseconds(5); ///< moving average of a statement's time
    TimePoint openNotBefore{0};                          ///< no new work connection before this time, after one failed
};

} // namespace Jujubekeel
