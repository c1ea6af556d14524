#include "configcheck/inforcecheck.h"

namespace Jujubekeel {

std::vector<Finding> InForceCheck::check(const ConfigurationReading &reading, const RouteTable &inForce,
                                         bool hasDifferences) const
{
    std::vector<Finding> findings;
    const ConfigurationPlace versionPlace{.part = ConfigurationPart::Version};
    const std::string versions = "version " + std::to_string(reading.version) + " is not above "
                                 + std::to_string(inForce.version()) + ", which is in force";
    if (reading.version < inForce.version() || (reading.version == inForce.version() && hasDifferences)) {
        findings.push_back({.severity = FindingSeverity::Error,
                            .code = "version-not-higher",
                            .place = versionPlace,
                            .text = versions + ": instances ignore the configuration"});
    } else if (reading.version == inForce.version()) {
        findings.push_back({.severity = FindingSeverity::Note,
                            .code = "version-in-force",
                            .place = versionPlace,
                            .text = "this version is in force, with the same content"});
    }
    for (const auto &entry : reading.routes) {
        if (entry.route.service.empty() || inForce.hasService(entry.route.service))
            continue;
        findings.push_back(
            {.severity = FindingSeverity::Warning,
             .code = "service-not-in-force",
             .place = {.part = ConfigurationPart::Routes, .index = entry.index, .field = ConfigurationField::Service},
             .text = "the version in force does not name service " + this->mask.quoted(entry.route.service)
                     + "; check that its servers are running"});
    }
    if (!reading.requiresKeys && inForce.organisations()) {
        findings.push_back({.severity = FindingSeverity::Warning,
                            .code = "organisations-missing",
                            .place = {.part = ConfigurationPart::Organisations},
                            .text = "names no organisation, but the version in force does: all keys are withdrawn, and "
                                    "callers are denied until the instances restart"});
    }
    if (reading.requiresKeys && !inForce.organisations()) {
        findings.push_back({.severity = FindingSeverity::Warning,
                            .code = "organisations-introduced",
                            .place = {.part = ConfigurationPart::Organisations},
                            .text =
                                "the version in force names no organisation: from now on callers need a key, except on "
                                "public routes"});
    }
    return findings;
}

} // namespace Jujubekeel
