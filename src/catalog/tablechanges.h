#pragma once

#include "organisations/keydigest.h"

#include <cstddef>
#include <set>
#include <string>

namespace Jujubekeel {

class OrganisationTable;
class RouteTable;

/// Names of the entries that differ between two versions of the configuration: added, changed or removed.
struct TableChanges
{
    std::set<std::string> databases; ///< of routes
    std::set<std::string> services;
    std::set<std::string> organisations;
    std::set<KeyDigest> keys; ///< whose organisation differs

    /// Routes, services and limits; organisations are compared by themselves.
    [[nodiscard]] static TableChanges between(const RouteTable &earlier, const RouteTable &later);
    [[nodiscard]] static TableChanges between(const OrganisationTable &earlier, const OrganisationTable &later);

    void merge(const TableChanges &other);
    /// Number of entries.
    [[nodiscard]] std::size_t count() const;
    /// Memory that the names take, in bytes, approximately.
    [[nodiscard]] std::size_t bytes() const;
};

} // namespace Jujubekeel
