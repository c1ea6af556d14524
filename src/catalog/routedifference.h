#pragma once

#include "catalog/routetable.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Jujubekeel {

struct TableChanges;

/// What turns one version of the routes and services into a later one. Organisations are not part of it.
struct RouteDifference
{
    std::uint64_t baseVersion = 0; ///< to which it applies
    std::uint64_t version = 0;     ///< of the result
    std::uint64_t digest = 0;      ///< of the result, as digestOf()
    Duration idleLimit{0};
    std::vector<std::shared_ptr<const Route>> routes;          ///< added or changed
    std::vector<std::string> removedRoutes;                    ///< databases
    std::map<std::string, RouteTable::ServiceLimits> services; ///< added or changed
    std::vector<std::string> removedServices;

    /// \a laterDigest is that of \a later.
    [[nodiscard]] static RouteDifference make(std::uint64_t baseVersion, const TableChanges &changes,
                                              const RouteTable &later, std::uint64_t laterDigest);
    /// The later table, without organisations, which shares the unchanged routes with \a base. Null if the difference was
    /// not made for this table.
    [[nodiscard]] std::shared_ptr<RouteTable> appliedTo(const RouteTable &base) const;
};

} // namespace Jujubekeel
