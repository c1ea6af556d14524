#pragma once

#include "core/action.h"
#include "core/backendmessages.h"
#include "core/id.h"
#include "core/platformmessages.h"

#include <map>

namespace Jujubekeel {

struct World;

/// Orders promotions of the databases that this instance coordinates: detects a primary that is gone or cut off, claims
/// the term, fences a majority, promotes the most up-to-date server and announces it; also planned switchovers. Writes
/// DatabaseRow::promotion. Owned by ProxyCore; runs within its step.
class PromotionSystem final
{
public:
    /// The connection must have the purpose Promotion.
    void connectionOpened(World &world, ConnectionId connection, bool ok, Actions &actions);
    void connectionLost(World &world, ConnectionId connection, Actions &actions);
    void answered(World &world, ConnectionId connection, const BackendAnswer &answer, Actions &actions);
    void handle(World &world, const PlatformAnswer &answer, Actions &actions);
    void tick(World &world, Actions &actions);
};

} // namespace Jujubekeel
