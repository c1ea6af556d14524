#pragma once

#include "core/id.h"
#include "core/time.h"
#include "routing/agesamples.h"
#include "session/termhistory.h"

#include <cstdint>
#include <vector>

namespace Jujubekeel {

enum class PromotionStep : std::uint8_t { Idle, CatchingUp, Claiming, Fencing, Promoting, BackingOff };

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
};

/// What this proxy knows about one database. `primary` and `history` are written by GroupMonitorSystem alone.
struct DatabaseRow
{
    std::vector<BackendId> backends;
    BackendId primary;          ///< invalid: not known
    TermHistory history;        ///< newest that was seen
    TimePoint lastPromotion{0}; ///< when the present primary became known
    PromotionState promotion;
    AgeSamples ageSamples;     ///< written by RequestSystem
    bool writesPaused = false; ///< planned switchover: the owner keeps new writes in the queue
};

} // namespace Jujubekeel
