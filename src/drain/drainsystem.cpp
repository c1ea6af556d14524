#include "drain/drainsystem.h"

#include "core/world.h"

#include <algorithm>
#include <string>

namespace Jujubekeel {

namespace {

bool holdsOwnership(const World &world)
{
    return std::ranges::any_of(world.activeBackends,
                               [&](BackendId id) { return world.at(id).ownership.step != OwnershipStep::None; });
}

void markLeavingBackends(World &world, Actions &actions)
{
    for (std::uint32_t index = 0; index < world.backends.size(); ++index) {
        BackendRow &row = world.backends[index];
        const std::string &name = world.layout.backends[index].name;
        const Rule *rule = world.rules->findLeavingRule(name);
        const bool leaving = rule != nullptr;
        if (leaving == row.leaving)
            continue;
        row.leaving = leaving;
        row.leavingSince = leaving ? world.now : TimePoint{0};
        WriteLog entry{.level = LogLevel::Info,
                       .event = leaving ? "backend-server-leaving" : "backend-server-back",
                       .fields = {{"backend_server", name}}};
        if (rule != nullptr) {
            entry.fields.emplace_back("rule_line", std::to_string(rule->line));
            entry.fields.emplace_back("requester", rule->requester);
        }
        actions.emplace_back(std::move(entry));
    }
}

} // namespace

void DrainSystem::requestStop(World &world, Actions &actions)
{
    if (world.stopping)
        return;
    world.stopping = true;
    world.stopRequestedAt = world.now;
    actions.emplace_back(WriteLog{.level = LogLevel::Info, .event = "stop-requested", .fields = {}});
}

void DrainSystem::tick(World &world, Actions &actions)
{
    // Leaving backend servers.
    if (world.rules && world.rules->version() != this->appliedRulesVersion) {
        this->appliedRulesVersion = world.rules->version();
        markLeavingBackends(world, actions);
    }

    // Planned stop.
    if (!world.stopping || this->stopSent)
        return;
    const bool idle = world.entries.size() == 0 && world.executions.size() == 0 && world.transactions.size() == 0
                      && !holdsOwnership(world);
    const bool graceOver = world.now - world.stopRequestedAt > world.options.drain.stopGrace;
    if (!idle && !graceOver)
        return;
    this->stopSent = true;
    if (!idle) {
        actions.emplace_back(WriteLog{.level = LogLevel::Warning,
                                      .event = "stop-grace-over",
                                      .fields = {{"requests", std::to_string(world.entries.size())},
                                                 {"executions", std::to_string(world.executions.size())},
                                                 {"transactions", std::to_string(world.transactions.size())}}});
    }
    actions.emplace_back(StopProcess{});
}

} // namespace Jujubekeel
