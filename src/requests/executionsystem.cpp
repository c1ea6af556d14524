#include "requests/executionsystem.h"

#include "core/world.h"

namespace Jujubekeel {

void ExecutionSystem::handle(World &, InstanceId, const ForwardRequest &, Actions &)
{
}

void ExecutionSystem::connectionOpened(World &, ConnectionId, bool, Actions &)
{
}

void ExecutionSystem::connectionLost(World &, ConnectionId, Actions &)
{
}

void ExecutionSystem::answered(World &, ConnectionId, const BackendAnswer &, Actions &)
{
}

void ExecutionSystem::tick(World &, Actions &)
{
}

void ExecutionSystem::advance(World &, Actions &)
{
}

} // namespace Jujubekeel
