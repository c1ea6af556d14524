#include "catalog/organisationdifference.h"

#include "catalog/tablechanges.h"
#include "catalog/tabledigest.h"

#include <unordered_map>
#include <utility>

namespace Jujubekeel {

OrganisationDifference OrganisationDifference::make(std::uint64_t baseVersion, const TableChanges &changes,
                                                    const OrganisationTable &later, std::uint64_t laterDigest)
{
    OrganisationDifference difference{.baseVersion = baseVersion, .version = later.version(), .digest = laterDigest};
    for (const std::string &name : changes.organisations) {
        if (const auto organisation = later.findByName(name))
            difference.organisations.push_back(*organisation);
        else
            difference.removedOrganisations.push_back(name);
    }
    for (const KeyDigest &key : changes.keys) {
        if (const auto organisation = later.findByKey(key))
            difference.keys[organisation->name].push_back(key);
        else
            difference.removedKeys.push_back(key);
    }
    return difference;
}

std::shared_ptr<const OrganisationTable> OrganisationDifference::appliedTo(const OrganisationTable &base) const
{
    if (base.version() != this->baseVersion || this->version <= this->baseVersion)
        return nullptr;
    std::map<std::string, Organisation> entries;
    for (const auto &[name, organisation] : base.all())
        entries.emplace(name, *organisation);
    for (const std::string &name : this->removedOrganisations)
        entries.erase(name);
    for (const Organisation &organisation : this->organisations)
        entries.insert_or_assign(organisation.name, organisation);

    std::unordered_map<KeyDigest, std::string, KeyDigest::Hash> holders;
    for (const auto &[key, organisation] : base.allKeys()) {
        if (organisation)
            holders.emplace(key, organisation->name);
    }
    for (const KeyDigest &key : this->removedKeys)
        holders.erase(key);
    for (const auto &[name, added] : this->keys) {
        for (const KeyDigest &key : added)
            holders.insert_or_assign(key, name);
    }
    std::map<std::string, std::vector<KeyDigest>> keysOf;
    for (const auto &[key, name] : holders)
        keysOf[name].push_back(key);

    auto table = std::make_shared<OrganisationTable>(this->version);
    for (auto &[name, organisation] : entries) {
        const auto found = keysOf.find(name);
        static_cast<void>(
            table->add(std::move(organisation), found == keysOf.end() ? std::vector<KeyDigest>() : found->second));
    }
    // Keys of an organisation that the result does not contain are missing in the table, which the digest shows.
    return digestOf(*table) == this->digest ? table : nullptr;
}

} // namespace Jujubekeel
