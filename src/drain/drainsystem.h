#pragma once

#include "core/action.h"

namespace Jujubekeel {

struct World;

/// Marks backend servers as leaving from the rules, and runs the planned stop of this proxy: no new requests, ownership
/// handed over, then StopProcess once nothing is in flight or after the grace time. Owned by ProxyCore; runs within its
/// step.
class DrainSystem final
{
public:
    void requestStop(World &world, Actions &actions);
    void tick(World &world, Actions &actions);

private:
    bool stopSent = false;
    std::uint64_t seenRulesVersion = 0;
};

} // namespace Jujubekeel
