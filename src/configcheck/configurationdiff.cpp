#include "configcheck/configurationdiff.h"

#include "configcheck/figures.h"
#include "organisations/organisationtable.h"

#include <limits>
#include <map>
#include <utility>

namespace Jujubekeel {

namespace {

constexpr double noLimit = std::numeric_limits<double>::infinity();
constexpr const char *lowerRateEffect = "applies within 5 s";

const char *consistencyText(ReadConsistency consistency)
{
    switch (consistency) {
    case ReadConsistency::BoundedStale:
        return "bounded staleness";
    case ReadConsistency::ReadYourWrites:
        return "read your writes";
    case ReadConsistency::Primary:
        break;
    }
    return "primary";
}

std::string limitText(double limit)
{
    return limit == noLimit ? "no limit" : numberText(limit);
}

/// Calls one of the functions for each name, in order: with the values of both maps, or with the only one.
template <typename Map, typename Removed, typename Added, typename Both>
void mergeNames(const Map &inForce, const Map &checked, Removed &&removed, Added &&added, Both &&both)
{
    auto old = inForce.begin();
    auto now = checked.begin();
    while (old != inForce.end() || now != checked.end()) {
        if (now == checked.end() || (old != inForce.end() && old->first < now->first)) {
            removed(*old++);
        } else if (old == inForce.end() || now->first < old->first) {
            added(*now++);
        } else {
            both(old->first, old->second, now->second);
            ++old;
            ++now;
        }
    }
}

} // namespace

std::vector<Difference> ConfigurationDiff::compare(const RouteTable &inForce, const RouteTable &checked)
{
    this->differences.clear();
    this->compareRoutes(inForce, checked);
    this->compareServices(inForce, checked);
    this->compareOrganisations(inForce, checked);
    this->part = ConfigurationPart::Limits;
    this->entry.clear();
    this->addField(ConfigurationField::TransactionIdleLimit, millisecondsText(inForce.transactionIdleLimit()),
                   millisecondsText(checked.transactionIdleLimit()));
    return std::move(this->differences);
}

void ConfigurationDiff::compareRoutes(const RouteTable &inForce, const RouteTable &checked)
{
    this->part = ConfigurationPart::Routes;
    mergeNames(
        inForce.allRoutes(), checked.allRoutes(),
        [&](const auto &route) {
            this->add(DifferenceKind::Removed, route.first, "callers can no longer open the database");
        },
        [&](const auto &route) { this->add(DifferenceKind::Added, route.first); },
        [&](const std::string &database, const auto &old, const auto &now) {
            this->entry = this->mask.shown(database);
            this->compareRoute(*old, *now);
        });
}

void ConfigurationDiff::compareRoute(const Route &inForce, const Route &checked)
{
    // Shown names of different routes may be equal, so the names themselves are compared.
    if (inForce.name != checked.name)
        this->addField(ConfigurationField::Name, this->mask.shown(inForce.name), this->mask.shown(checked.name), true);
    if (inForce.service != checked.service)
        this->addField(ConfigurationField::Service, this->mask.shown(inForce.service),
                       this->mask.shown(checked.service), true);
    this->addField(ConfigurationField::Consistency, consistencyText(inForce.consistency),
                   consistencyText(checked.consistency));
    this->addField(ConfigurationField::MaxStaleness, millisecondsText(inForce.maxStaleness),
                   millisecondsText(checked.maxStaleness));
    this->addField(ConfigurationField::StatementTimeout, millisecondsText(inForce.statementTimeout),
                   millisecondsText(checked.statementTimeout));
    this->addField(ConfigurationField::LatencyObjective, millisecondsText(inForce.latencyObjective),
                   millisecondsText(checked.latencyObjective));
    this->addField(ConfigurationField::Priority, std::to_string(inForce.priority), std::to_string(checked.priority));
    this->addField(ConfigurationField::Public, inForce.isPublic ? "true" : "false",
                   checked.isPublic ? "true" : "false");
}

void ConfigurationDiff::compareServices(const RouteTable &inForce, const RouteTable &checked)
{
    this->part = ConfigurationPart::Services;
    mergeNames(
        inForce.allServices(), checked.allServices(),
        [&](const auto &service) { this->add(DifferenceKind::Removed, service.first); },
        [&](const auto &service) { this->add(DifferenceKind::Added, service.first); },
        [&](const std::string &name, const auto &old, const auto &now) {
            this->entry = this->mask.shown(name);
            this->addLimit(ConfigurationField::MaxConnections, old.maxConnections, now.maxConnections, "");
            this->addField(ConfigurationField::SyncReplicas, std::to_string(old.syncReplicas),
                           std::to_string(now.syncReplicas));
        });
}

void ConfigurationDiff::compareOrganisations(const RouteTable &inForce, const RouteTable &checked)
{
    this->part = ConfigurationPart::Organisations;
    const OrganisationTable none;
    const OrganisationTable &old = inForce.organisations() ? *inForce.organisations() : none;
    const OrganisationTable &now = checked.organisations() ? *checked.organisations() : none;
    mergeNames(
        old.all(), now.all(), [&](const auto &organisation) { this->add(DifferenceKind::Removed, organisation.first); },
        [&](const auto &organisation) { this->add(DifferenceKind::Added, organisation.first); },
        [&](const std::string &name, const auto &before, const auto &after) {
            this->entry = this->mask.shown(name);
            this->compareOrganisation(*before, *after);
        });
    this->compareKeys(old, now);
}

void ConfigurationDiff::compareOrganisation(const Organisation &inForce, const Organisation &checked)
{
    this->addField(ConfigurationField::Priority, std::to_string(inForce.priority), std::to_string(checked.priority));
    const RateLimit unlimited{.operationsPerSecond = noLimit, .burst = noLimit};
    const RateLimit old = inForce.limit.value_or(unlimited);
    const RateLimit now = checked.limit.value_or(unlimited);
    this->addLimit(ConfigurationField::Rate, old.operationsPerSecond, now.operationsPerSecond, lowerRateEffect);
    this->addLimit(ConfigurationField::Burst, old.burst, now.burst, lowerRateEffect);
}

void ConfigurationDiff::compareKeys(const OrganisationTable &inForce, const OrganisationTable &checked)
{
    struct Counts
    {
        std::size_t added = 0;
        std::size_t withdrawn = 0;
    };
    std::map<std::string, Counts> counts;
    const auto count = [&counts](const OrganisationTable &table, const OrganisationTable &other,
                                 std::size_t Counts::*kind) {
        for (const auto &[key, organisation] : table.allKeys()) {
            const auto holder = other.findByKey(key);
            if (organisation && (!holder || holder->name != organisation->name))
                counts[organisation->name].*kind += 1;
        }
    };
    count(checked, inForce, &Counts::added);
    count(inForce, checked, &Counts::withdrawn);
    for (const auto &[name, changed] : counts) {
        this->entry = this->mask.shown(name);
        if (changed.added > 0) {
            this->differences.push_back({.kind = DifferenceKind::KeysAdded,
                                         .part = this->part,
                                         .name = this->entry,
                                         .field = ConfigurationField::Keys,
                                         .to = std::to_string(changed.added)});
        }
        if (changed.withdrawn > 0) {
            this->differences.push_back({.kind = DifferenceKind::KeysWithdrawn,
                                         .part = this->part,
                                         .name = this->entry,
                                         .field = ConfigurationField::Keys,
                                         .from = std::to_string(changed.withdrawn),
                                         .effect = "sessions of these keys end"});
        }
    }
}

void ConfigurationDiff::addField(ConfigurationField field, const std::string &from, const std::string &to, bool differs)
{
    if (from == to && !differs)
        return;
    this->differences.push_back({.kind = DifferenceKind::Changed,
                                 .part = this->part,
                                 .name = this->entry,
                                 .field = field,
                                 .from = from,
                                 .to = to});
}

void ConfigurationDiff::addLimit(ConfigurationField field, double from, double to, const char *lowered)
{
    if (from == to)
        return;
    const bool isLowered = to < from;
    this->differences.push_back({.kind = isLowered ? DifferenceKind::Lowered : DifferenceKind::Raised,
                                 .part = this->part,
                                 .name = this->entry,
                                 .field = field,
                                 .from = limitText(from),
                                 .to = limitText(to),
                                 .effect = isLowered ? lowered : ""});
}

void ConfigurationDiff::add(DifferenceKind kind, const std::string &name, std::string effect)
{
    this->differences.push_back(
        {.kind = kind, .part = this->part, .name = this->mask.shown(name), .effect = std::move(effect)});
}

} // namespace Jujubekeel
