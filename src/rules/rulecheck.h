#pragma once

#include "core/fleetlayout.h"
#include "rules/ruleset.h"

#include <vector>

namespace Jujubekeel {

/// Reports rules that refer to nothing in the settings: unknown backend servers, and database patterns that match no
/// database. Separate from RuleSet::parse, because a proxy must accept a rule set that names servers that its own
/// settings do not list.
[[nodiscard]] std::vector<RuleError> checkRules(const RuleSet &rules, const FleetLayout &layout);

} // namespace Jujubekeel
