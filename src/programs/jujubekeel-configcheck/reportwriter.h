#pragma once

#include "configcheck/configurationreport.h"
#include "configurationlocator.h"

#include <string>

namespace Jujubekeel {

/// Formats the report on a configuration as text or as JSON (docs/operations.md). Owned by main; one thread. The locator
/// must outlive it.
class ReportWriter final
{
public:
    ReportWriter(std::string fileName, const ConfigurationLocator &textLocator);

    /// One line for each finding and difference, and a summary.
    [[nodiscard]] std::string toText(const ConfigurationReport &report) const;
    /// One JSON object on one line.
    [[nodiscard]] std::string toJson(const ConfigurationReport &report) const;

private:
    std::string file;
    const ConfigurationLocator &locator;
};

} // namespace Jujubekeel
