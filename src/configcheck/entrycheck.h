#pragma once

#include "catalog/configurationreading.h"
#include "configcheck/finding.h"
#include "configcheck/namemask.h"

#include <string>
#include <vector>

namespace Jujubekeel {

/// Finds entries that never have an effect: routes that cannot be reached, keys that identify nobody. Owned by
/// ConfigurationCheck; the mask must outlive it.
class EntryCheck final
{
public:
    explicit EntryCheck(const NameMask &nameMask) : mask(nameMask) {}

    [[nodiscard]] std::vector<Finding> check(const ConfigurationReading &reading);

private:
    void checkRoutes(const ConfigurationReading &reading);
    void checkServices(const ConfigurationReading &reading);
    void checkKeys(const ConfigurationReading &reading);
    void checkNames(const ConfigurationReading &reading);
    void checkName(const ConfigurationPlace &place, const std::string &name);
    void add(FindingSeverity severity, const char *code, const ConfigurationPlace &place, std::string text);

    const NameMask &mask;
    std::vector<Finding> findings;
};

} // namespace Jujubekeel
