#pragma once

#include "core/action.h"

namespace Jujubekeel {

struct World;

/// Marks backend servers as leaving according to the rules, and runs the planned stop of this proxy: no new requests,
/// ownership handed over, then StopProcess as soon as nothing is in progress or the grace time has passed. Owned by
/// ProxyCore; used only within ProxyCore::step.
class DrainSystem final
{
public:
    /// Starts the planned stop. Further calls have no effect.
    void requestStop(World &world, Actions &actions);
    void tick(World &world, Actions &actions);

private:
    bool stopSent = false;
    std::uint64_t appliedRulesVersion = 0; ///< rules that the leaving marks were last derived from
};

} // namespace Jujubekeel
