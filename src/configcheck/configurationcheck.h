#pragma once

#include "catalog/configurationreading.h"
#include "configcheck/checkoptions.h"
#include "configcheck/configurationreport.h"
#include "configcheck/namemask.h"

namespace Jujubekeel {

/// Checks a configuration before it is sent to the platform. Decides without input or output; owned by the program.
class ConfigurationCheck final
{
public:
    /// \a nameMask knows the keys of all configurations that are checked, and must outlive the check.
    ConfigurationCheck(const CheckOptions &checkOptions, const NameMask &nameMask)
        : options(checkOptions), mask(nameMask)
    {
    }

    /// \a inForce: null if the version in force is not known. If the configuration is rejected, nothing is compared.
    [[nodiscard]] ConfigurationReport check(const ConfigurationReading &reading, const RouteTable *inForce) const;

private:
    CheckOptions options;
    const NameMask &mask;
};

} // namespace Jujubekeel
