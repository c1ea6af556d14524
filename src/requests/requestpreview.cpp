#include "requests/requestpreview.h"

#include "core/world.h"
#include "requests/requestintake.h"
#include "routing/router.h"

namespace Jujubekeel {

namespace {

/// Applied positions of the database's servers as known to this instance, as text.
std::string describePositions(const World &world, DatabaseId database)
{
    std::string text;
    for (const BackendId backend : world.at(database).backends) {
        const LogPosition applied = world.at(backend).applied;
        text += (text.empty() ? "" : ", ") + world.layout.at(backend).name + " at " + std::to_string(applied.term) + '/'
                + std::to_string(applied.position);
        if (world.at(backend).leaving)
            text += " leaving";
    }
    return text;
}

} // namespace

std::optional<Decision> RequestPreview::decide(const World &world, const PreviewRequest &request, FailureReason &reason)
{
    const auto database = world.databaseByName.find(request.database);
    if (database == world.databaseByName.end()) {
        reason.set(ResultCode::UnknownDatabase, "database \"" + request.database + "\" is not in the settings");
        return std::nullopt;
    }
    if (!world.rules) {
        reason.set(ResultCode::NoRules, "no rule set has been received yet");
        return std::nullopt;
    }

    EntryRow entry{.database = database->second, .markKnown = true};
    entry.request.database = request.database;
    entry.request.operation = request.operation;
    entry.request.kind = request.kind;
    RequestIntake::applyRules(world, entry);
    const Route route =
        request.kind == RequestKind::Read ? Router::routeRead(world, entry) : Router::routeWrite(world, entry);
    if (!route.found) {
        reason.set(route.code, route.reason);
        return std::nullopt;
    }
    entry.decision.backend = world.layout.at(route.backend).name;
    entry.decision.owner = world.layout.at(route.owner).name;
    entry.decision.reason = route.reason + "; known positions: " + describePositions(world, entry.database);
    if (route.age)
        entry.decision.age = *route.age;
    return entry.decision;
}

} // namespace Jujubekeel
