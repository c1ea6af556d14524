#pragma once

#include "organisations/organisationtable.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Jujubekeel {

struct TableChanges;

/// What turns one version of the organisations into a later one. Contains digests of keys, never keys.
struct OrganisationDifference
{
    std::uint64_t baseVersion = 0;                      ///< to which it applies
    std::uint64_t version = 0;                          ///< of the result
    std::uint64_t digest = 0;                           ///< of the result, as digestOf()
    std::vector<Organisation> organisations;            ///< added, or with another priority or limit
    std::vector<std::string> removedOrganisations;      ///< their keys are in `removedKeys` or in `keys`
    std::map<std::string, std::vector<KeyDigest>> keys; ///< added, by organisation; also those that another one held
    std::vector<KeyDigest> removedKeys;

    /// \a laterDigest is that of \a later.
    [[nodiscard]] static OrganisationDifference make(std::uint64_t baseVersion, const TableChanges &changes,
                                                     const OrganisationTable &later, std::uint64_t laterDigest);
    /// The later table. Null if the difference was not made for this table.
    [[nodiscard]] std::shared_ptr<const OrganisationTable> appliedTo(const OrganisationTable &base) const;
};

} // namespace Jujubekeel
