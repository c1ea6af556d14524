#include "membership/candidatetable.h"

#include "core/world.h"
#include "membership/rendezvous.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string>

namespace Jujubekeel {

namespace {

/// Stands for "no preferred failure domain".
constexpr std::uint32_t noDomain = std::numeric_limits<std::uint32_t>::max();
/// Only the best-ranked instance of a database is needed.
constexpr std::size_t coordinatorLimit = 1;

bool isPresent(const InstanceRow &row)
{
    return row.live && !row.leaving;
}

} // namespace

void CandidateTable::refresh(const World &world)
{
    if (this->backendRows.size() != world.backends.size() || this->present.size() != world.instances.size()) {
        this->build(world);
        return;
    }
    bool changed = false;
    for (std::uint32_t index = 0; index < world.instances.size(); ++index) {
        const bool now = isPresent(world.instances[index]);
        if (now == this->present[index])
            continue;
        this->present[index] = now;
        const InstanceId id{.index = index, .generation = 0};
        if (now)
            this->add(world, id);
        else
            this->remove(world, id);
        changed = true;
    }
    if (changed) {
        this->changeCount += 1;
        this->collectCandidacies(world);
    }
}

InstanceId CandidateTable::coordinator(DatabaseId database) const
{
    const std::vector<InstanceId> &ranked = this->databaseRows.at(database.index).ranked;
    return ranked.empty() ? InstanceId{} : ranked.front();
}

void CandidateTable::build(const World &world)
{
    // Names are replaced by numbers: keys and instances by hashes, failure domains by order of appearance.
    std::map<std::string, std::uint32_t> domains;
    const auto number = [&](const std::string &domain) {
        return domains.emplace(domain, static_cast<std::uint32_t>(domains.size())).first->second;
    };
    this->present.clear();
    this->instanceHashes.clear();
    this->instanceDomains.clear();
    for (std::uint32_t index = 0; index < world.instances.size(); ++index) {
        const InstanceSettings &settings = world.layout.instances[index];
        this->present.push_back(isPresent(world.instances[index]));
        this->instanceHashes.push_back(rendezvousKey(settings.name));
        this->instanceDomains.push_back(number(settings.failureDomain));
    }

    this->backendRows.clear();
    this->backendDomains.clear();
    for (const BackendSettings &settings : world.layout.backends) {
        this->backendDomains.push_back(number(settings.failureDomain));
        Row row{.keyHash = rendezvousKey(settings.name), .ranked = {}};
        this->rank(world, row, this->backendDomains.back(), world.options.membership.candidates);
        this->backendRows.push_back(std::move(row));
    }
    this->databaseRows.clear();
    for (const DatabaseSettings &settings : world.layout.databases) {
        Row row{.keyHash = rendezvousKey(settings.name), .ranked = {}};
        this->rank(world, row, noDomain, coordinatorLimit);
        this->databaseRows.push_back(std::move(row));
    }
    this->changeCount += 1;
    this->collectCandidacies(world);
}

bool CandidateTable::isBetter(const Row &row, std::uint32_t domain, InstanceId left, InstanceId right) const
{
    if (domain != noDomain) {
        const bool leftInside = this->instanceDomains[left.index] == domain;
        const bool rightInside = this->instanceDomains[right.index] == domain;
        if (leftInside != rightInside)
            return leftInside;
    }
    const std::uint64_t leftScore = rendezvousScore(row.keyHash, this->instanceHashes[left.index]);
    const std::uint64_t rightScore = rendezvousScore(row.keyHash, this->instanceHashes[right.index]);
    return leftScore != rightScore ? leftScore > rightScore : left < right;
}

void CandidateTable::insert(Row &row, InstanceId instance, std::uint32_t domain, std::size_t limit) const
{
    if (row.ranked.size() >= limit && !this->isBetter(row, domain, instance, row.ranked.back()))
        return;
    const auto place = std::ranges::find_if(
        row.ranked, [&](InstanceId other) { return this->isBetter(row, domain, instance, other); });
    row.ranked.insert(place, instance);
    if (row.ranked.size() > limit)
        row.ranked.pop_back();
}

void CandidateTable::rank(const World &world, Row &row, std::uint32_t domain, std::size_t limit) const
{
    row.ranked.clear();
    for (std::uint32_t index = 0; index < world.instances.size(); ++index) {
        if (this->present[index])
            this->insert(row, {.index = index, .generation = 0}, domain, limit);
    }
}

void CandidateTable::add(const World &world, InstanceId instance)
{
    for (std::size_t index = 0; index < this->backendRows.size(); ++index)
        this->insert(this->backendRows[index], instance, this->backendDomains[index],
                     world.options.membership.candidates);
    for (Row &row : this->databaseRows)
        this->insert(row, instance, noDomain, coordinatorLimit);
}

void CandidateTable::remove(const World &world, InstanceId instance)
{
    // Only rows that list the instance change; the next best instance enters such a row.
    for (std::size_t index = 0; index < this->backendRows.size(); ++index) {
        Row &row = this->backendRows[index];
        if (std::ranges::find(row.ranked, instance) != row.ranked.end())
            this->rank(world, row, this->backendDomains[index], world.options.membership.candidates);
    }
    for (Row &row : this->databaseRows) {
        if (std::ranges::find(row.ranked, instance) != row.ranked.end())
            this->rank(world, row, noDomain, coordinatorLimit);
    }
}

void CandidateTable::collectCandidacies(const World &world)
{
    this->candidacies.clear();
    for (std::uint32_t index = 0; index < this->backendRows.size(); ++index) {
        const std::vector<InstanceId> &ranked = this->backendRows[index].ranked;
        if (std::ranges::find(ranked, world.self) != ranked.end())
            this->candidacies.push_back({.index = index, .generation = 0});
    }
}

} // namespace Jujubekeel
