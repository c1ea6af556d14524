#pragma once

#include "catalog/configurationreading.h"
#include "configcheck/finding.h"
#include "configcheck/namemask.h"

#include <vector>

namespace Jujubekeel {

/// Finds what goes wrong when a configuration replaces the version in force. Owned by ConfigurationCheck; the mask must
/// outlive it.
class InForceCheck final
{
public:
    explicit InForceCheck(const NameMask &nameMask) : mask(nameMask) {}

    /// \a hasDifferences: the two configurations differ in more than their version.
    [[nodiscard]] std::vector<Finding> check(const ConfigurationReading &reading, const RouteTable &inForce,
                                             bool hasDifferences) const;

private:
    const NameMask &mask;
};

} // namespace Jujubekeel
