#include "authority/confirmationsystem.h"

#include "core/world.h"

namespace Jujubekeel {

void ConfirmationSystem::request(World &, BackendId)
{
}

void ConfirmationSystem::observeStatus(World &, BackendId, const ServerStatus &)
{
}

void ConfirmationSystem::observeBarrier(World &, BackendId, const ServerStatus &, TimePoint)
{
}

bool ConfirmationSystem::isWriteConfirmed(const World &, BackendId, LogPosition)
{
    return false;
}

bool ConfirmationSystem::isReadConfirmed(const World &, BackendId, std::uint64_t, TimePoint)
{
    return false;
}

} // namespace Jujubekeel
