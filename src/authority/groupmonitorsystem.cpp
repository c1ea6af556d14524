#include "authority/groupmonitorsystem.h"

#include "core/world.h"

namespace Jujubekeel {

void GroupMonitorSystem::observeStatus(World &, BackendId, const ServerStatus &, TimePoint)
{
}

void GroupMonitorSystem::observeReport(World &, InstanceId, const BackendReport &, TimePoint)
{
}

void GroupMonitorSystem::observePromotion(World &, const PromotionNotice &)
{
}

void GroupMonitorSystem::observePosition(World &, BackendId, LogPosition, TimePoint)
{
}

BackendReport GroupMonitorSystem::makeReport(const World &, BackendId)
{
    return {};
}

} // namespace Jujubekeel
