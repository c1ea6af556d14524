#pragma once

#include "core/backendmessages.h"
#include "core/connectionrow.h"
#include "core/id.h"
#include "core/time.h"
#include "routing/agesamples.h"
#include "session/logposition.h"
#include "session/termhistory.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Jujubekeel {

enum class PromotionStep : std::uint8_t {
    Idle,
    CatchingUp, ///< planned switchover: writes are paused until the candidate holds the whole log
    Claiming,   ///< conditional update of the promotions object
    Fencing,
    AwaitingLease, ///< lease policies: the lease of the earlier term may still be valid
    Promoting,
    BackingOff,
};

/// Knowledge of one backend server of the group over a short-lived control connection of the coordinator.
struct PromotionMember
{
    ConnectionId connection;  ///< invalid: none
    bool open = false;        ///< the connection is established
    TimePoint notBefore{0};   ///< next attempt to connect
    TimePoint failedAt{0};    ///< last refused or lost connection; 0: none since the last answer
    std::uint64_t serial = 0; ///< request under way; 0: none
    BackendOperation operation = BackendOperation::Status;
    std::uint64_t requestTerm = 0;      ///< Fence, Promote, Follow: term in that request
    TimePoint sentAt{0};                ///< of that request
    TimePoint deadline{0};              ///< the connection is closed if no answer came by then
    TimePoint nextProbe{0};             ///< when the next status is due
    std::optional<ServerStatus> status; ///< last status received on this connection or an earlier one
    TimePoint answeredAt{0};            ///< arrival of that status; 0: none
    TimePoint unconfirmedAt{0};         ///< arrival of the last BarrierTimeout; 0: none since the last Ok
    std::uint64_t fencedTerm = 0;       ///< highest term whose fence by this instance the server accepted
    std::uint64_t refusedTerm = 0;      ///< highest term whose fence by this instance the server refused
    bool followPending = false;         ///< must be told to follow the present primary
    bool statusRequested = false;       ///< reported under an older term; its status is asked for
    TimePoint behindSince{0};           ///< since when it has been reported under an older term; 0: it is not
    LogPosition lastReportedEnd;        ///< last reported end of its log while it lagged
    TimePoint progressAt{0};            ///< when that last rose; 0: it does not lag
    TimePoint nextRepair{0};            ///< when it may be inspected again
};

/// Progress of a promotion that this instance orders as coordinator of the database. Written by PromotionSystem.
struct PromotionState
{
    PromotionStep step = PromotionStep::Idle;
    std::uint64_t term = 0; ///< term of the promotion under way
    TimePoint stepStarted{0};
    TimePoint notBefore{0}; ///< no new promotion before this time
    Duration retryDelay{0};
    std::uint64_t platformCall = 0; ///< claim under way
    std::uint64_t claimVersion = 0; ///< version of the promotions object read for the claim
    bool planned = false;           ///< planned switchover of a primary that is leaving
    BackendId candidate;
    TimePoint suspectSince{0}; ///< primary without status since; 0: not suspect
    TimePoint cutOffSince{0};  ///< primary without acknowledgement by a replica since; 0: not cut off
    std::uint32_t failures = 0;
    bool excludePrimary = false; ///< the replaced primary can't be chosen and doesn't count for the majority
    TimePoint primaryReachableSince{
        0}; ///< since when the primary has been heard through its owner or directly; 0: it is not
    std::uint64_t refusedTerm = 0;        ///< term that a server of the group was found fenced at, above the known one
    TimePoint refusedSince{0};            ///< when that was found
    bool isCoordinator = false;           ///< this instance is the coordinator
    TimePoint coordinatorSince{0};        ///< start of that
    std::vector<PromotionMember> members; ///< same order as DatabaseRow::backends; empty until first needed
    bool claimWriting = false;            ///< the platform call under way is the conditional update
    TimePoint claimSentAt{0};             ///< of the platform call under way
    std::uint64_t claimSequence = 0;      ///< of the last update sent; recognises it after a lost answer
    std::uint64_t claimedTerm = 0;        ///< highest term found in the promotions object
    InstanceId rival;                     ///< another live promoter named there for a newer term
    std::uint64_t rivalTerm = 0;
    TimePoint rivalSince{0};
    TimePoint unfinishedFenceSince{
        0}; ///< since when a majority has refused the known term without a new primary; 0: no
    // Planned switchover.
    bool drained = false;        ///< the owner reported that nothing that writes runs
    LogPosition drainedPosition; ///< end of the log at that time
    TimePoint pauseStarted{0};
    TimePoint nextPause{0}; ///< when the owner is asked again
    // Lease policies.
    std::uint64_t leaseCall = 0;
    bool leaseWriting = false;
    TimePoint leaseSentAt{0};
    std::uint64_t leaseSequence = 0;
    bool leaseTaken = false; ///< renewals of older terms are refused since leaseTakenAt
    TimePoint leaseTakenAt{0};
    bool leaseNeverHeld = false; ///< no lease existed before
};

/// What this proxy knows about one database. `primary` and `history` are written by GroupMonitorSystem alone.
struct DatabaseRow
{
    std::vector<BackendId> backends;
    BackendId primary;          ///< invalid: not known
    TermHistory history;        ///< newest that was seen
    TimePoint lastPromotion{0}; ///< when the present primary became known
    PromotionState promotion;
    AgeSamples ageSamples;              ///< written by RequestSystem
    bool writesPaused = false;          ///< planned switchover: the owner keeps new writes in the queue
    TimePoint writesPausedUntil{0};     ///< the pause ends by itself if the coordinator doesn't renew it
    std::uint64_t writesPausedTerm = 0; ///< term that the pause applies to
    InstanceId writesPausedBy;          ///< coordinator that asked
    bool writesDrained = false;         ///< the coordinator was told that nothing that writes runs
};

} // namespace Jujubekeel
