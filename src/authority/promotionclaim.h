#pragma once

#include "authority/plannedswitchover.h"
#include "core/action.h"
#include "core/id.h"
#include "core/platformmessages.h"

namespace Jujubekeel {

struct World;

/// Claim of a term at the platform: a conditional update of the promotions object, recognised after a lost answer and
/// left to another live promoter that was first. Writes the claim and rival parts of PromotionState. Owned by
/// PromotionSystem; runs within its step. Has no state of its own.
class PromotionClaim final
{
public:
    void start(World &world, DatabaseId database, Actions &actions);
    /// True: the platform did not answer in time, and the promotion goes on without the claim.
    [[nodiscard]] bool tick(World &world, DatabaseId database, Actions &actions);
    /// Answer to the call PromotionState::platformCall. True: PromotionState::term is claimed.
    [[nodiscard]] bool answered(World &world, DatabaseId database, const PlatformAnswer &answer, Actions &actions);

private:
    void read(World &world, DatabaseId database, Actions &actions);

    PlannedSwitchover switchover;
};

} // namespace Jujubekeel
