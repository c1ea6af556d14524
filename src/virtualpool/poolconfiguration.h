#pragma once

#include "catalog/routetable.h"
#include "organisations/organisationtable.h"
#include "virtualpool/virtualpooloptions.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Jujubekeel {

/// The configuration that the store of a VirtualPool holds. Databases: `primary`, `bounded` (reads up to 1.5 s old) and
/// `own` (reads see the session's own writes, others up to 2.5 s old), all on the first group; those of the group i
/// after it have the suffix `-i`. Owned by VirtualPool.
class PoolConfiguration final
{
public:
    explicit PoolConfiguration(const VirtualPoolOptions &poolOptions)
        : namedOrganisations(poolOptions.namedOrganisations), options(poolOptions)
    {
    }

    [[nodiscard]] std::shared_ptr<const RouteTable> makeRoutes() const;
    /// Name of one of the databases above in a group.
    [[nodiscard]] static std::string databaseOf(const std::string &database, std::size_t group);
    /// Name of one of VirtualPoolOptions::organisations, and its key.
    [[nodiscard]] static std::string organisationName(std::size_t organisation);
    [[nodiscard]] static std::string organisationKey(std::size_t organisation);

    static constexpr const char *primaryRoute = "primary";
    static constexpr const char *boundedRoute = "bounded";
    static constexpr const char *ownRoute = "own";

    std::uint64_t version = 1;
    std::set<std::string> databases{primaryRoute, boundedRoute, ownRoute};
    std::set<std::string> publicDatabases;
    std::shared_ptr<const OrganisationTable> organisations; ///< null: those of the options
    std::vector<Organisation> namedOrganisations;           ///< VirtualPoolOptions::namedOrganisations
    std::size_t fillerRoutes = 0;                           ///< further databases, to make the table large

private:
    void addRoutes(RouteTable &routes, std::size_t group) const;

    const VirtualPoolOptions &options;
};

} // namespace Jujubekeel
