#include "configcheck/entrycheck.h"

#include <set>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace Jujubekeel {

namespace {

ConfigurationPlace routePlace(const ConfigurationReading::RouteEntry &entry, ConfigurationField field)
{
    return {.part = ConfigurationPart::Routes, .index = entry.index, .field = field};
}

std::string entryText(std::size_t index)
{
    return "entry " + std::to_string(index);
}

std::string keyCount(std::size_t count)
{
    return std::to_string(count) + (count == 1 ? " key" : " keys");
}

/// Keys of one entry with the same fault.
struct FaultyKeys
{
    std::size_t count = 0;
    std::size_t first = 0; ///< position in the entry's list

    void add(std::size_t position)
    {
        this->first = this->count == 0 ? position : this->first;
        this->count += 1;
    }
};

} // namespace

std::vector<Finding> EntryCheck::check(const ConfigurationReading &reading)
{
    this->findings.clear();
    this->checkRoutes(reading);
    this->checkServices(reading);
    this->checkKeys(reading);
    this->checkNames(reading);
    return std::move(this->findings);
}

void EntryCheck::checkRoutes(const ConfigurationReading &reading)
{
    if (reading.routes.empty() && !reading.rejected) {
        this->add(FindingSeverity::Warning, "no-routes", {.part = ConfigurationPart::Routes},
                  "no route: no caller can open a session");
    }
    // Of a rejected configuration some routes or services may be missing here because of their faults.
    std::set<std::string_view> services;
    for (const auto &entry : reading.services)
        services.insert(entry.name);
    std::unordered_map<std::string_view, std::size_t> lastEntry;
    for (const auto &entry : reading.routes)
        lastEntry[entry.route.database] = entry.index;

    std::set<std::string_view> used;
    for (const auto &entry : reading.routes) {
        const Route &route = entry.route;
        used.insert(route.service);
        if (route.name.empty()) {
            this->add(FindingSeverity::Warning, "route-name-empty", routePlace(entry, ConfigurationField::Name),
                      "is empty: log lines cannot name the route");
        }
        if (!entry.canBeOpened) {
            this->add(FindingSeverity::Error, "database-unreachable", routePlace(entry, ConfigurationField::Database),
                      "is empty or contains a blank or line break, so that no caller can name the database");
        }
        if (const std::size_t last = lastEntry.at(route.database); last != entry.index) {
            this->add(FindingSeverity::Error, "route-replaced", routePlace(entry, ConfigurationField::Database),
                      "database " + this->mask.quoted(route.database) + " is named again by " + entryText(last)
                          + ", which replaces this route");
        }
        if (route.service.empty()) {
            this->add(FindingSeverity::Error, "service-empty", routePlace(entry, ConfigurationField::Service),
                      "is empty: no server belongs to the service");
        } else if (!reading.rejected && !services.contains(route.service)) {
            this->add(
                FindingSeverity::Warning, "service-not-listed", routePlace(entry, ConfigurationField::Service),
                "service " + this->mask.quoted(route.service) + " is not among the services; it gets the default of "
                    + std::to_string(RouteTable::ServiceLimits{}.maxConnections) + " connections for each server");
        }
    }
    for (const auto &entry : reading.services) {
        if (!reading.rejected && !entry.name.empty() && !used.contains(entry.name)) {
            this->add(FindingSeverity::Note, "service-unused",
                      {.part = ConfigurationPart::Services, .index = entry.index},
                      "no route uses service " + this->mask.quoted(entry.name));
        }
    }
}

void EntryCheck::checkServices(const ConfigurationReading &reading)
{
    std::unordered_map<std::string_view, std::size_t> lastEntry;
    for (const auto &entry : reading.services)
        lastEntry[entry.name] = entry.index;
    for (const auto &entry : reading.services) {
        const ConfigurationPlace place{
            .part = ConfigurationPart::Services, .index = entry.index, .field = ConfigurationField::Name};
        if (entry.name.empty())
            this->add(FindingSeverity::Error, "service-empty", place, "is empty: no server belongs to the service");
        if (const std::size_t last = lastEntry.at(entry.name); last != entry.index) {
            this->add(FindingSeverity::Error, "service-replaced", place,
                      "service " + this->mask.quoted(entry.name) + " is named again by " + entryText(last)
                          + ", which replaces this entry");
        }
    }
}

void EntryCheck::checkKeys(const ConfigurationReading &reading)
{
    // Entry that holds each key, and the keys that several entries hold.
    std::unordered_map<KeyDigest, std::size_t, KeyDigest::Hash> holders;
    std::unordered_set<KeyDigest, KeyDigest::Hash> shared;
    for (const auto &entry : reading.organisations) {
        for (const KeyDigest &key : entry.keys) {
            if (holders.emplace(key, entry.index).first->second != entry.index)
                shared.insert(key);
        }
    }
    for (const auto &entry : reading.organisations) {
        ConfigurationPlace place{
            .part = ConfigurationPart::Organisations, .index = entry.index, .field = ConfigurationField::Keys};
        if (entry.keys.empty()) {
            place.field = ConfigurationField::None;
            this->add(FindingSeverity::Warning, "organisation-without-keys", place,
                      "organisation " + this->mask.quoted(entry.organisation.name)
                          + " has no keys: no caller belongs to it");
            continue;
        }
        FaultyKeys repeated;
        FaultyKeys ambiguous;
        std::unordered_set<KeyDigest, KeyDigest::Hash> seen;
        for (std::size_t position = 0; position < entry.keys.size(); ++position) {
            if (!seen.insert(entry.keys[position]).second)
                repeated.add(position);
            else if (shared.contains(entry.keys[position]))
                ambiguous.add(position);
        }
        if (repeated.count > 0) {
            place.element = repeated.first;
            this->add(FindingSeverity::Warning, "key-repeated", place,
                      keyCount(repeated.count) + " of this entry listed more than once; the first is here");
        }
        if (ambiguous.count > 0) {
            place.element = ambiguous.first;
            this->add(FindingSeverity::Error, "key-ambiguous", place,
                      keyCount(ambiguous.count)
                          + " also listed by another organisation and valid for neither; the first is here");
        }
        if (!entry.unsendableKeys.empty()) {
            place.element = entry.unsendableKeys.front();
            this->add(FindingSeverity::Error, "key-unusable", place,
                      keyCount(entry.unsendableKeys.size())
                          + " empty, too long, or with a blank or line break, so that no caller can send them; the "
                            "first is here");
        }
    }
}

void EntryCheck::checkNames(const ConfigurationReading &reading)
{
    for (const auto &entry : reading.routes) {
        this->checkName(routePlace(entry, ConfigurationField::Name), entry.route.name);
        this->checkName(routePlace(entry, ConfigurationField::Database), entry.route.database);
        this->checkName(routePlace(entry, ConfigurationField::Service), entry.route.service);
    }
    for (const auto &entry : reading.services) {
        this->checkName({.part = ConfigurationPart::Services, .index = entry.index, .field = ConfigurationField::Name},
                        entry.name);
    }
    for (const auto &entry : reading.organisations) {
        this->checkName(
            {.part = ConfigurationPart::Organisations, .index = entry.index, .field = ConfigurationField::Name},
            entry.organisation.name);
    }
}

void EntryCheck::checkName(const ConfigurationPlace &place, const std::string &name)
{
    if (this->mask.hidesKey(name))
        this->add(FindingSeverity::Warning, "name-contains-key", place, "contains a key; names appear in log lines");
}

void EntryCheck::add(FindingSeverity severity, const char *code, const ConfigurationPlace &place, std::string text)
{
    this->findings.push_back({.severity = severity, .code = code, .place = place, .text = std::move(text)});
}

} // namespace Jujubekeel
