#include "catalog/tablechanges.h"

#include "catalog/routetable.h"
#include "organisations/organisationtable.h"

namespace Jujubekeel {

namespace {

/// Of one entry of a set: tree node, and the string or digest itself.
constexpr std::size_t entryBytes = 96;

/// Adds the keys of \a earlier and \a later whose values are absent from the other map, or differ by \a equal.
template <typename Map, typename Equal>
void addDifferingKeys(const Map &earlier, const Map &later, std::set<std::string> &names, const Equal &equal)
{
    for (const auto &[name, value] : later) {
        const auto found = earlier.find(name);
        if (found == earlier.end() || !equal(found->second, value))
            names.insert(name);
    }
    for (const auto &[name, value] : earlier) {
        if (!later.contains(name))
            names.insert(name);
    }
}

} // namespace

TableChanges TableChanges::between(const RouteTable &earlier, const RouteTable &later)
{
    TableChanges changes;
    addDifferingKeys(earlier.allRoutes(), later.allRoutes(), changes.databases,
                     [](const auto &left, const auto &right) { return left == right || left->hasSameContent(*right); });
    addDifferingKeys(earlier.allServices(), later.allServices(), changes.services,
                     [](const auto &left, const auto &right) { return left == right; });
    return changes;
}

TableChanges TableChanges::between(const OrganisationTable &earlier, const OrganisationTable &later)
{
    TableChanges changes;
    addDifferingKeys(earlier.all(), later.all(), changes.organisations,
                     [](const auto &left, const auto &right) { return *left == *right; });
    const auto holderOf = [](const OrganisationTable &table, const KeyDigest &key) {
        const auto holder = table.findByKey(key);
        return holder ? std::string_view(holder->name) : std::string_view();
    };
    for (const auto &[key, organisation] : later.allKeys()) {
        if (holderOf(earlier, key) != holderOf(later, key))
            changes.keys.insert(key);
    }
    for (const auto &[key, organisation] : earlier.allKeys()) {
        if (organisation && !later.findByKey(key))
            changes.keys.insert(key);
    }
    return changes;
}

void TableChanges::merge(const TableChanges &other)
{
    this->databases.insert(other.databases.begin(), other.databases.end());
    this->services.insert(other.services.begin(), other.services.end());
    this->organisations.insert(other.organisations.begin(), other.organisations.end());
    this->keys.insert(other.keys.begin(), other.keys.end());
}

std::size_t TableChanges::count() const
{
    return this->databases.size() + this->services.size() + this->organisations.size() + this->keys.size();
}

std::size_t TableChanges::bytes() const
{
    std::size_t bytes = this->count() * entryBytes;
    for (const auto *names : {&this->databases, &this->services, &this->organisations}) {
        for (const std::string &name : *names)
            bytes += name.size();
    }
    return bytes;
}

} // namespace Jujubekeel
