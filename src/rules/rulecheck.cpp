#include "rules/rulecheck.h"

#include "rules/rulepattern.h"

#include <algorithm>

namespace Jujubekeel {

std::vector<RuleError> checkRules(const RuleSet &rules, const FleetLayout &layout)
{
    std::vector<RuleError> errors;
    for (const Rule &rule : rules.rules()) {
        if (rule.verb == RuleVerb::Leaving) {
            if (!layout.findBackend(rule.backend).isValid()) {
                errors.push_back({.line = rule.line,
                                  .text = "backend server \"" + rule.backend
                                          + "\" is not in the settings; expected the name of a backend server"});
            }
            continue;
        }
        // A pattern that matches no database is probably mistyped. In a no-repeat rule it would silently leave
        // non-idempotent operations unprotected.
        const bool matches = std::ranges::any_of(layout.databases, [&](const DatabaseSettings &database) {
            return matchesPattern(rule.databasePattern, database.name);
        });
        if (!matches) {
            errors.push_back({.line = rule.line,
                              .text = "database pattern \"" + rule.databasePattern
                                      + "\" matches no database of the settings; expected a pattern that matches one"});
        }
    }
    return errors;
}

} // namespace Jujubekeel
