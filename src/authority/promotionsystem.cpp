#include "authority/promotionsystem.h"

#include "core/world.h"

namespace Jujubekeel {

void PromotionSystem::connectionOpened(World &, ConnectionId, bool, Actions &)
{
}

void PromotionSystem::connectionLost(World &, ConnectionId, Actions &)
{
}

void PromotionSystem::answered(World &, ConnectionId, const BackendAnswer &, Actions &)
{
}

void PromotionSystem::handle(World &, const PlatformAnswer &, Actions &)
{
}

void PromotionSystem::tick(World &, Actions &)
{
}

} // namespace Jujubekeel
