#include "requests/requestsystem.h"

#include "core/world.h"

namespace Jujubekeel {

RequestSystem::RequestSystem(const SessionOptions &options) : codec(options.tokenKeys)
{
}

void RequestSystem::handle(World &, const CallerRequest &, Actions &)
{
}

void RequestSystem::callerGone(World &, std::uint64_t)
{
}

void RequestSystem::handle(World &, const ForwardAnswer &, Actions &)
{
}

void RequestSystem::tick(World &, Actions &)
{
}

} // namespace Jujubekeel
