#include "ownership/ownershipsystem.h"

#include "core/world.h"

namespace Jujubekeel {

void OwnershipSystem::connectionOpened(World &, ConnectionId, bool, Actions &)
{
}

void OwnershipSystem::connectionLost(World &, ConnectionId, Actions &)
{
}

void OwnershipSystem::answered(World &, ConnectionId, const BackendAnswer &, Actions &)
{
}

void OwnershipSystem::handover(World &, BackendId, Actions &)
{
}

void OwnershipSystem::tick(World &, Actions &)
{
}

void OwnershipSystem::sendBarriers(World &, Actions &)
{
}

} // namespace Jujubekeel
