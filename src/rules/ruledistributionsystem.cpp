#include "rules/ruledistributionsystem.h"

#include "core/world.h"

namespace Jujubekeel {

void RuleDistributionSystem::handle(World &, InstanceId, const RulesUpdate &, Actions &)
{
}

void RuleDistributionSystem::handle(World &, InstanceId, const RulesQuery &, Actions &)
{
}

void RuleDistributionSystem::handle(World &, const PlatformAnswer &, Actions &)
{
}

void RuleDistributionSystem::noticeVersion(World &, InstanceId, std::uint64_t, Actions &)
{
}

void RuleDistributionSystem::tick(World &, Actions &)
{
}

void RuleDistributionSystem::adopt(World &, std::uint64_t, const std::string &, Actions &)
{
}

} // namespace Jujubekeel
