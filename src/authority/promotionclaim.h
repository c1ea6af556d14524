#pragma once

#include "authority/plannedswitchover.h"
#include "core/action.h"
#include "core/id.h"
#include "core/platformmessages.h"

namespace Jujubekeel {

struct World;

/// Claims a term at the platform by a conditional update of the promotions object. Recognises an own update whose
/// answer was lost, and backs off for another live promoter that claimed first. Writes the claim and rival members of
/// PromotionState. Owned by PromotionSystem; used only within ProxyCore::step. Stateless.
class PromotionClaim final
{
public:
    void start(World &world, DatabaseId database, Actions &actions);
    /// Returns true if the platform did not answer in time and the promotion continues without the claim.
    [[nodiscard]] bool tick(World &world, DatabaseId database, Actions &actions);
    /// Answer to the call PromotionState::platformCall. Returns true if PromotionState::term is claimed.
    [[nodiscard]] bool answered(World &world, DatabaseId database, const PlatformAnswer &answer, Actions &actions);

private:
    void read(World &world, DatabaseId database, Actions &actions);

    PlannedSwitchover switchover;
};

} // namespace Jujubekeel
