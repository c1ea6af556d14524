#include "drain/drainsystem.h"

#include "core/world.h"

namespace Jujubekeel {

void DrainSystem::requestStop(World &, Actions &)
{
}

void DrainSystem::tick(World &, Actions &)
{
}

} // namespace Jujubekeel
