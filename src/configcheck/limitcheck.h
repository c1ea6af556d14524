#pragma once

#include "catalog/configurationreading.h"
#include "configcheck/checkoptions.h"
#include "configcheck/finding.h"
#include "configcheck/namemask.h"

#include <string>
#include <vector>

namespace Jujubekeel {

/// Finds limits that contradict each other or the size of the deployment. Owned by ConfigurationCheck; the mask must
/// outlive it.
class LimitCheck final
{
public:
    LimitCheck(const CheckOptions &checkOptions, const NameMask &nameMask) : options(checkOptions), mask(nameMask) {}

    [[nodiscard]] std::vector<Finding> check(const ConfigurationReading &reading);

private:
    void checkRoutes(const ConfigurationReading &reading);
    void checkRates(const ConfigurationReading &reading);
    void checkRateSum(const ConfigurationReading &reading);
    void checkConnections(const ConfigurationReading &reading);
    void checkConnectionsOf(const ConfigurationReading::ServiceEntry &entry, std::size_t organisations);
    void add(FindingSeverity severity, const char *code, const ConfigurationPlace &place, std::string text);

    CheckOptions options;
    const NameMask &mask;
    std::vector<Finding> findings;
};

} // namespace Jujubekeel
