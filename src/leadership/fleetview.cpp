#include "leadership/fleetview.h"

#include <algorithm>
#include <set>

namespace Jujubekeel {

namespace {

constexpr std::string_view recordPrefix = "leader.";
constexpr std::string_view memberPrefix = "member.";

} // namespace

std::string FleetView::recordName(std::string_view service)
{
    return std::string(recordPrefix) + std::string(service);
}

std::string FleetView::memberName(std::string_view instance)
{
    return std::string(memberPrefix) + std::string(instance);
}

void FleetView::apply(const FleetUpdate &update, TimePoint now)
{
    if (update.revision < this->knownRevision)
        return;
    if (update.complete)
        this->removeMissing(update);
    for (const FleetObject &object : update.objects)
        this->applyObject(object, now);
    this->knownRevision = update.revision;
}

void FleetView::removeMissing(const FleetUpdate &update)
{
    std::set<std::string, std::less<>> present;
    for (const FleetObject &object : update.objects)
        present.insert(object.name);
    std::erase_if(this->recordRows, [&](const auto &row) { return !present.contains(recordName(row.first)); });
    std::erase_if(this->memberRows, [&](const auto &row) { return !present.contains(memberName(row.first)); });
}

void FleetView::applyObject(const FleetObject &object, TimePoint now)
{
    const std::string_view name = object.name;
    if (name.starts_with(recordPrefix)) {
        const std::string service(name.substr(recordPrefix.size()));
        auto record = LeadershipRecord::fromText(object.content);
        if (object.deleted)
            this->recordRows.erase(service);
        else if (record && this->recordRows[service].revision < object.revision)
            this->recordRows[service] = Record{.record = *record, .revision = object.revision, .seenAt = now};
    } else if (name.starts_with(memberPrefix)) {
        const std::string instance(name.substr(memberPrefix.size()));
        auto record = MemberRecord::fromText(object.content);
        if (object.deleted)
            this->memberRows.erase(instance);
        else if (record && this->memberRows[instance].revision < object.revision)
            this->memberRows[instance] = Member{.record = *record, .revision = object.revision, .seenAt = now};
    }
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

std::string FleetView::lastHolder() const
{
    const auto last =
        std::max_element(this->recordRows.begin(), this->recordRows.end(), [](const auto &left, const auto &right) {
            return left.second.revision < right.second.revision;
        });
    return last == this->recordRows.end() ? std::string() : last->second.record.holder;
}

} // namespace Jujubekeel
