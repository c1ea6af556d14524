#include "leadership/fleetview.h"

#include "catalog/boundedjson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace Jujubekeel {

namespace {

constexpr std::string_view recordPrefix = "leader.";
constexpr std::string_view memberPrefix = "member.";
constexpr std::string_view groupPrefix = "group.";

/// A planned stop alone takes longer (PoolOptions::stopDrainDelay), so that no member comes and goes within this time.
constexpr Duration shortestMembership = std::chrono::seconds(2);

} // namespace

std::string FleetView::recordName(std::string_view service)
{
    return std::string(recordPrefix) + std::string(service);
}

std::string FleetView::recoveryText(std::uint64_t era)
{
    return nlohmann::json{{"era", era}}.dump();
}

std::string FleetView::memberName(std::string_view instance)
{
    return std::string(memberPrefix) + std::string(instance);
}

std::string FleetView::groupName(std::string_view service)
{
    return std::string(groupPrefix) + std::string(service);
}

bool FleetView::concernsMembers(std::string_view name)
{
    return name.starts_with(memberPrefix) || name == recoveryName;
}

bool FleetView::isReadable(std::string_view name, std::string_view content)
{
    if (name.starts_with(recordPrefix))
        return LeadershipRecord::fromText(content).has_value();
    if (name.starts_with(groupPrefix))
        return GroupRecord::fromText(content).has_value();
    return !name.starts_with(memberPrefix) || MemberRecord::fromText(content).has_value();
}

bool FleetView::apply(const FleetUpdate &update, TimePoint now)
{
    if (update.reported)
        return this->applyReported(update, now);
    const StoreVersion version = update.version();
    // Changes since a version of another era do not continue this view.
    const bool continues = update.complete || version.era == this->knownVersion.era || this->revision() == 0;
    if (version < this->knownVersion || !continues)
        return false;
    // Changes before a list are not seen.
    if (update.complete && this->revision() != 0 && now - this->viewedAt >= shortestMembership)
        this->lostMemberVersion = version;
    this->viewedAt = update.requestedAt;
    const bool entersEra = version.era != this->knownVersion.era || this->revision() == 0;
    if (entersEra)
        this->enterEra(now);
    this->knownVersion = version;
    for (const FleetObject &object : update.objects)
        this->applyMarker(object);
    // An instance that learns of the era only after its recovery adopts what the fleet has agreed on since.
    if (entersEra && this->isEraRecovered()) {
        this->recordRows.clear();
        this->removeMembers([](const std::string &, const Member &) { return true; });
    }
    if (update.complete)
        this->removeMissing(update);
    else if (this->isEraRecovered())
        this->removeMembers([&](const std::string &, const Member &row) { return row.version.era < version.era; });
    for (const FleetObject &object : update.objects)
        this->applyObject(object, version.era, now);
    return true;
}

bool FleetView::applyReported(const FleetUpdate &update, TimePoint now)
{
    if (update.version() < this->memberVersion())
        return false;
    // The version of the view stays as it is: a report does not contain the leadership records, whose changes must
    // still be accepted from the store.
    this->reportedVersion = update.version();
    std::set<std::string, std::less<>> present;
    for (const FleetObject &object : update.objects) {
        if (!object.name.starts_with(memberPrefix))
            continue;
        present.insert(object.name);
        // The report is newer than the view, also where a restored store has given the object a lower revision.
        this->memberRows.erase(object.name.substr(memberPrefix.size()));
        this->applyObject(object, update.era, now);
    }
    std::erase_if(this->memberRows, [&](const auto &row) { return !present.contains(memberName(row.first)); });
    return true;
}

StoreVersion FleetView::memberVersion() const
{
    return std::max(this->knownVersion, this->reportedVersion);
}

std::uint64_t FleetView::memberDigest() const
{
    // FNV-1a. Views of primaries and releases are left out, because only members use them.
    constexpr std::uint64_t offsetBasis = 14695981039346656037U;
    constexpr std::uint64_t prime = 1099511628211U;
    std::uint64_t digest = offsetBasis;
    const auto add = [&](std::string_view text) {
        for (const char letter : text)
            digest = (digest ^ static_cast<unsigned char>(letter)) * prime;
        digest = digest * prime + 1;
    };
    for (const auto &[instance, member] : this->memberRows) {
        add(instance);
        add(std::to_string(member.record.incarnation));
        add(member.record.relayAddress);
        add(member.record.failureDomain);
        add(std::to_string(static_cast<unsigned>(member.record.state)));
    }
    return digest;
}

void FleetView::enterEra(TimePoint now)
{
    this->hasEarlierEra = this->revision() != 0;
    this->eraFirstSeen = now;
    this->recoveredEra = 0;
    this->markerRevision = 0;
}

void FleetView::applyMarker(const FleetObject &object)
{
    if (object.name != recoveryName || object.revision <= this->markerRevision)
        return;
    const auto parsed = parseBoundedJson(object.content);
    const bool valid =
        parsed && parsed->is_object() && parsed->contains("era") && parsed->at("era").is_number_unsigned();
    this->recoveredEra = valid && !object.deleted ? parsed->at("era").get<std::uint64_t>() : 0;
    this->markerRevision = object.deleted ? 0 : object.revision;
}

bool FleetView::isEraRecovered() const
{
    return this->recoveredEra == this->knownVersion.era;
}

void FleetView::removeMissing(const FleetUpdate &update)
{
    std::set<std::string, std::less<>> present;
    for (const FleetObject &object : update.objects)
        present.insert(object.name);
    const std::uint64_t era = this->knownVersion.era;
    for (auto &[service, row] : this->recordRows) {
        row.lost = row.lost || row.version.era != era;
        if (row.lost && !present.contains(recordName(service)))
            row.version = {.era = era, .revision = 0};
    }
    std::erase_if(this->recordRows,
                  [&](const auto &row) { return !row.second.lost && !present.contains(recordName(row.first)); });
    std::erase_if(this->groupRows, [&](const auto &row) { return !present.contains(groupName(row.first)); });
    this->removeMembers([&](const std::string &instance, const Member &row) {
        const bool remembered = row.version.era != era && !this->isEraRecovered();
        return !remembered && !present.contains(memberName(instance));
    });
}

template <typename Condition>
void FleetView::removeMembers(Condition condition)
{
    std::erase_if(this->memberRows, [&](const auto &row) {
        if (!condition(row.first, row.second))
            return false;
        // An evicted member has acknowledged nothing since.
        if (!row.second.record.isEvicted())
            this->lostMemberVersion = this->knownVersion;
        return true;
    });
}

void FleetView::applyObject(const FleetObject &object, std::uint64_t era, TimePoint now)
{
    const std::string_view name = object.name;
    const StoreVersion version{.era = era, .revision = object.revision};
    if (name.starts_with(recordPrefix)) {
        const std::string service(name.substr(recordPrefix.size()));
        auto record = LeadershipRecord::fromText(object.content);
        if (object.deleted)
            this->recordRows.erase(service);
        else if (record)
            this->applyRecord(service, *record, version, now);
    } else if (name.starts_with(memberPrefix)) {
        const std::string instance(name.substr(memberPrefix.size()));
        auto record = MemberRecord::fromText(object.content);
        if (object.deleted)
            this->removeMembers([&](const std::string &member, const Member &) { return member == instance; });
        else if (record && this->memberRows[instance].version < version)
            this->memberRows[instance] = Member{.record = *record, .version = version, .seenAt = now};
    } else if (name.starts_with(groupPrefix)) {
        const std::string service(name.substr(groupPrefix.size()));
        auto record = GroupRecord::fromText(object.content);
        if (object.deleted)
            this->groupRows.erase(service);
        else if (record && this->groupRows[service].version < version)
            this->groupRows[service] = Group{.record = *record, .version = version};
    }
}

void FleetView::applyRecord(const std::string &service, const LeadershipRecord &record, StoreVersion version,
                            TimePoint now)
{
    Record &row = this->recordRows[service];
    if (row.version >= version)
        return;
    row.version = version;
    if (row.lost && row.record.isLaterThan(record))
        return;
    row = Record{.record = record, .version = version, .seenAt = now};
}

const FleetView::Record *FleetView::record(std::string_view service) const
{
    const auto found = this->recordRows.find(service);
    return found == this->recordRows.end() ? nullptr : &found->second;
}

const FleetView::Member *FleetView::member(std::string_view instance) const
{
    const auto found = this->memberRows.find(instance);
    return found == this->memberRows.end() ? nullptr : &found->second;
}

const FleetView::Group *FleetView::group(std::string_view service) const
{
    const auto found = this->groupRows.find(service);
    return found == this->groupRows.end() ? nullptr : &found->second;
}

const FleetView::Member *FleetView::currentMember(std::string_view instance) const
{
    const Member *found = this->member(instance);
    return found != nullptr && found->version.era == this->knownVersion.era ? found : nullptr;
}

std::string FleetView::lastHolder() const
{
    const auto last =
        std::max_element(this->recordRows.begin(), this->recordRows.end(), [](const auto &left, const auto &right) {
            return left.second.version < right.second.version;
        });
    return last == this->recordRows.end() ? std::string() : last->second.record.holder;
}

} // namespace Jujubekeel
