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
    CatchingUp, ///< planned switchover: writes are paused until the candidate has received the whole log
    Claiming,   ///< conditional update of the promotions object
    Fencing,
    AwaitingLease, ///< lease policies: the lease of the earlier term may still be valid
    Promoting,
    BackingOff,
};

/// State of one backend server of the group, read by the coordinator over a short-lived control connection. Written by
/// PromotionSystem.
struct PromotionMember
{
    ConnectionId connection;  ///< invalid: none
    bool open = false;        ///< the connection is established
    TimePoint notBefore{0};   ///< earliest time of the next attempt to connect
    TimePoint failedAt{0};    ///< last connection that was refused or lost; 0: none since the last answer
    std::uint64_t serial = 0; ///< request in progress; 0: none
    BackendOperation operation = BackendOperation::Status;
    std::uint64_t requestTerm = 0;      ///< Fence, Promote, Follow: term in that request
    TimePoint sentAt{0};                ///< send time of that request
    TimePoint deadline{0};              ///< the connection is closed if there is no answer by then
    TimePoint nextProbe{0};             ///< when the next status request is due
    std::optional<ServerStatus> status; ///< last status received on this connection or an earlier one
    TimePoint answeredAt{0};            ///< arrival of that status; 0: none
    TimePoint unconfirmedAt{0};         ///< arrival of the last BarrierTimeout; 0: none since the last Ok
    std::uint64_t fencedTerm = 0;       ///< highest term for which the server accepted a fence by this instance
    std::uint64_t refusedTerm = 0;      ///< highest term for which the server refused a fence by this instance
    bool followPending = false;         ///< a Follow for the current primary must be sent
    bool statusRequested = false;       ///< reported under an older term or not progressing; its status must be read
    TimePoint behindSince{0};           ///< start of the reports under an older term; 0: its term is up to date
    LogPosition lastReportedEnd;        ///< last reported end of its log while behind the primary
    TimePoint progressAt{0};            ///< when that end last advanced; 0: it is not behind the primary
    TimePoint nextRepair{0};            ///< earliest time of its next inspection
};

/// Failure detection and promotion by this instance as coordinator of the database. Written by PromotionSystem.
struct PromotionState
{
    PromotionStep step = PromotionStep::Idle;
    std::uint64_t term = 0; ///< term of the promotion in progress
    TimePoint stepStarted{0};
    TimePoint notBefore{0}; ///< no new promotion before this time
    Duration retryDelay{0};
    std::uint64_t platformCall = 0; ///< platform call of the claim in progress; 0: none
    std::uint64_t claimVersion = 0; ///< version of the promotions object read for the claim
    bool planned = false;           ///< the promotion is a planned switchover from a leaving primary
    BackendId candidate;
    TimePoint suspectSince{0}; ///< since when the primary has sent no status; 0: not suspect
    TimePoint cutOffSince{0};  ///< since when replicas have not acknowledged to the primary; 0: not cut off
    std::uint32_t failures = 0;
    bool excludePrimary = false;          ///< the replaced primary can't be chosen and doesn't count for the majority
    TimePoint primaryReachableSince{0};   ///< through its owner or directly; 0: not reachable
    std::uint64_t refusedTerm = 0;        ///< highest term that a server was found fenced at, if above the known term
    TimePoint refusedSince{0};            ///< when that fence was found
    bool isCoordinator = false;           ///< this instance coordinates promotions of the database
    TimePoint coordinatorSince{0};        ///< when it became the coordinator
    std::vector<PromotionMember> members; ///< same order as DatabaseRow::backends; empty until first needed
    bool claimWriting = false;            ///< the platform call in progress is the conditional update
    TimePoint claimSentAt{0};             ///< send time of that call
    std::uint64_t claimSequence = 0;      ///< of the last update sent; identifies it if its answer is lost
    std::uint64_t claimedTerm = 0;        ///< highest term found in the promotions object
    InstanceId rival;                     ///< another live instance that claimed a newer term there; invalid: none
    std::uint64_t rivalTerm = 0;          ///< term of that claim
    TimePoint rivalSince{0};              ///< when that claim was found
    TimePoint unfinishedFenceSince{0};    ///< since when a majority is fenced for a newer term without a primary; 0: no
    // Planned switchover.
    bool drained = false;        ///< the owner reported that no write is running
    LogPosition drainedPosition; ///< end of the log in that report
    TimePoint pauseStarted{0};
    TimePoint nextPause{0}; ///< when the pause is requested from the owner again
    // Lease policies.
    std::uint64_t leaseCall = 0;
    bool leaseWriting = false;
    TimePoint leaseSentAt{0};
    std::uint64_t leaseSequence = 0;
    bool leaseTaken = false; ///< since leaseTakenAt, renewals for older terms are refused
    TimePoint leaseTakenAt{0};
    bool leaseNeverHeld = false; ///< no lease had been granted before
};

/// State of one database as known to this proxy. `primary` and `history` are written by GroupMonitorSystem alone.
struct DatabaseRow
{
    std::vector<BackendId> backends;
    BackendId primary;          ///< invalid: not known
    TermHistory history;        ///< newest known term history
    TimePoint lastPromotion{0}; ///< when the current primary became known
    PromotionState promotion;
    AgeSamples ageSamples;              ///< written by RequestSystem
    bool writesPaused = false;          ///< planned switchover: the owner holds new writes in the queue
    TimePoint writesPausedUntil{0};     ///< the pause ends at this time unless the coordinator renews it
    std::uint64_t writesPausedTerm = 0; ///< term that the pause applies to
    InstanceId writesPausedBy;          ///< coordinator that requested the pause
    bool writesDrained = false;         ///< WritesDrained was sent to the coordinator
};

} // namespace Jujubekeel
