#include "membership/membershipsystem.h"

#include "core/world.h"

namespace Jujubekeel {

void MembershipSystem::handle(World &, InstanceId, const Heartbeat &, Actions &)
{
}

void MembershipSystem::handle(World &, const PlatformAnswer &, Actions &)
{
}

void MembershipSystem::tick(World &, Actions &)
{
}

void MembershipSystem::announce(World &, Actions &)
{
}

} // namespace Jujubekeel
