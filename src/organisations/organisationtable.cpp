#include "organisations/organisationtable.h"

#include <utility>

namespace Jujubekeel {

bool OrganisationTable::add(Organisation organisation, std::span<const KeyDigest> keys)
{
    if (this->byName.contains(organisation.name))
        return false;
    if (organisation.limit)
        this->rateSum += organisation.limit->operationsPerSecond;
    std::string name = organisation.name;
    const auto shared = std::make_shared<const Organisation>(std::move(organisation));
    this->byName.emplace(std::move(name), shared);
    for (const KeyDigest &key : keys) {
        const auto [entry, added] = this->byKey.emplace(key, shared);
        if (added || entry->second == shared)
            continue;
        if (entry->second)
            this->ambiguousCount += 1;
        entry->second = nullptr;
    }
    return true;
}

std::shared_ptr<const Organisation> OrganisationTable::findByKey(const KeyDigest &key) const
{
    const auto found = this->byKey.find(key);
    return found == this->byKey.end() ? nullptr : found->second;
}

std::shared_ptr<const Organisation> OrganisationTable::findByName(std::string_view name) const
{
    const auto found = this->byName.find(name);
    return found == this->byName.end() ? nullptr : found->second;
}

} // namespace Jujubekeel
