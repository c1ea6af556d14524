#pragma once

#include "core/backendmessages.h"
#include "core/id.h"
#include "core/time.h"
#include "session/logposition.h"
#include "session/termhistory.h"

#include <cstdint>

namespace Jujubekeel {

enum class OwnershipStep : std::uint8_t {
    None,        ///< another instance owns the server, or nobody does
    Connecting,  ///< control connection being opened
    Locking,     ///< Lock or PreemptLock sent
    Terminating, ///< TerminateOthers sent
    Owned,
    Closing, ///< no new work; the lock is released once nothing runs
    Unlocking,
};

/// This instance executes work at the server: it owns it, or is about to release it.
[[nodiscard]] constexpr bool executesWork(OwnershipStep step)
{
    return step == OwnershipStep::Owned || step == OwnershipStep::Closing;
}

/// This instance holds the server's lock.
[[nodiscard]] constexpr bool holdsLock(OwnershipStep step)
{
    return executesWork(step) || step == OwnershipStep::Unlocking;
}

/// Ownership of one backend server by this instance. Written by OwnershipSystem.
struct OwnershipState
{
    OwnershipStep step = OwnershipStep::None;
    ConnectionId control;
    TimePoint notBefore{0}; ///< next attempt
    Duration retryDelay{0};
    TimePoint noLiveOwnerSince{0};     ///< since when no live owner has been known; 0: there is one
    InstanceId betterCandidate;        ///< best-ranked live candidate; invalid: this instance
    TimePoint betterCandidateSince{0}; ///< since when it has been that candidate
    TimePoint nextRanking{0};          ///< when the candidates are ranked again
    TimePoint ownedSince{0};           ///< start of the present ownership
    TimePoint closingSince{0};         ///< start of Closing
    std::uint32_t handovers = 0;   ///< in a row that came back to this instance; lengthens the pause before the next
    bool preempting = false;       ///< the attempt under way takes the lock from its holder
    InstanceId blockedBy;          ///< holder named by the last refused Lock; invalid: none
    TimePoint blockedSince{0};     ///< since when the holder has been heard by nobody that was asked
    TimePoint holderQueriedAt{0};  ///< when the live peers were asked whether they hear the holder; 0: not yet
    std::uint32_t preemptions = 0; ///< in a row; lengthens the pause before the next
    TimePoint lastPreemption{0};
    TimePoint lastAnswer{0}; ///< last answer on the control connection
    TimePoint nextPing{0};
    // The one control request that may be under way.
    std::uint64_t serial = 0; ///< 0: none
    BackendOperation operation = BackendOperation::Status;
    TimePoint sentAt{0};
    std::uint64_t barrierPosition = 0;
};

/// Lease of the database's primary as its owner holds it. Written by ConfirmationSystem; lease policies only.
struct LeaseState
{
    std::uint64_t term = 0;        ///< term that the lease was granted for; 0: none
    TimePoint validUntil{0};       ///< own clock, counted from the moment the renewal was sent
    std::uint64_t call = 0;        ///< platform call under way; 0: none
    bool writing = false;          ///< that call is the conditional update
    TimePoint sentAt{0};           ///< of that call
    TimePoint nextRenewal{0};      ///< when the next renewal is due
    bool versionKnown = false;     ///< false: read the object before the next update
    std::uint64_t version = 0;     ///< of the lease object
    std::uint64_t sequence = 0;    ///< of the last update sent; recognises it after a lost answer
    std::uint64_t writtenTerm = 0; ///< term in that update
    TimePoint writtenAt{0};        ///< send time of that update
};

/// What the owner has had confirmed by the group. Written by ConfirmationSystem from answers to barriers.
struct ConfirmationState
{
    LogPosition confirmed;               ///< highest position acknowledged by enough replicas under the server's term
    TimePoint barrierSentAt{0};          ///< send time of the last barrier that was answered Ok
    std::uint64_t barrierTerm = 0;       ///< term of that answer
    bool barrierRequested = false;       ///< an execution waits; send the next barrier at once
    std::uint64_t requestedPosition = 0; ///< highest position that a waiting execution needs acknowledged
    TimePoint lastAcknowledged{0};       ///< last time any replica was seen to acknowledge under the server's term
    LeaseState lease;                    ///< lease policies only
};

/// What this proxy knows about one backend server, as owner from the server itself, else from the owner's heartbeats.
struct BackendRow
{
    DatabaseId database;
    // Knowledge for routing. Written by GroupMonitorSystem.
    InstanceId owner;             ///< invalid: not known
    TimePoint ownerReportedAt{0}; ///< last time the owner reported it
    bool ownerClosing = false;
    BackendRole role = BackendRole::Unknown;
    LogPosition applied;
    LogPosition received;
    TermHistory history;
    TimePoint statusAt{0};         ///< own clock; when applied and received were true at the latest
    std::uint32_t queueLength = 0; ///< at the owner
    /// Replica: reads are tried here on the chance that it has caught up with the session, from this time on. Moved on,
    /// with a doubling pause, by each read that found it behind. Written by RequestSystem.
    TimePoint speculativeReadFrom{0};
    Duration speculativeReadBackoff{0};
    /// Primary only: `confirmedEnd` was the end of the confirmed log at own time `confirmedEndAsOf` or later.
    LogPosition confirmedEnd;
    TimePoint confirmedEndAsOf{0};
    bool leaving = false; ///< a rule says so; written by DrainSystem when the rules change
    TimePoint leavingSince{0};
    // Owner only.
    OwnershipState ownership;
    ConfirmationState confirmation;
    std::uint32_t openConnections = 0;                   ///< work connections open or being opened
    std::uint32_t slotsInUse = 0;                        ///< statements under way
    Duration serviceTime = std::chrono::milliseconds(5); ///< moving average of a statement's time
    TimePoint openNotBefore{0};                          ///< pause after a failed work connection
};

} // namespace Jujubekeel
