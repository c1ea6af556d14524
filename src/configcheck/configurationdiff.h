#pragma once

#include "catalog/routetable.h"
#include "configcheck/difference.h"
#include "configcheck/namemask.h"

#include <string>
#include <vector>

namespace Jujubekeel {

struct Organisation;

/// Compares two versions of a configuration as they come into force. Owned by ConfigurationCheck; the mask must outlive
/// it.
class ConfigurationDiff final
{
public:
    explicit ConfigurationDiff(const NameMask &nameMask) : mask(nameMask) {}

    [[nodiscard]] std::vector<Difference> compare(const RouteTable &inForce, const RouteTable &checked);

private:
    void compareRoutes(const RouteTable &inForce, const RouteTable &checked);
    void compareRoute(const Route &inForce, const Route &checked);
    void compareServices(const RouteTable &inForce, const RouteTable &checked);
    void compareOrganisations(const RouteTable &inForce, const RouteTable &checked);
    void compareOrganisation(const Organisation &inForce, const Organisation &checked);
    void compareKeys(const OrganisationTable &inForce, const OrganisationTable &checked);
    /// Adds a changed field of the entry that is compared, if the texts differ or \a differs.
    void addField(ConfigurationField field, const std::string &from, const std::string &to, bool differs = false);
    /// Adds a changed limit; an infinite value stands for no limit.
    void addLimit(ConfigurationField field, double from, double to, const char *lowered);
    void add(DifferenceKind kind, const std::string &name, std::string effect = {});

    const NameMask &mask;
    std::vector<Difference> differences;
    ConfigurationPart part = ConfigurationPart::Whole; ///< that is compared
    std::string entry;                                 ///< shown name of the entry that is compared
};

} // namespace Jujubekeel
