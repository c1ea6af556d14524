#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace Jujubekeel {

/// Work that waits for a connection: round robin over organisations, and for each organisation by priority. Within a
/// priority, work that can still be answered within its latency objective goes first, the most urgent one before others;
/// then late work. Entries without an objective are in order of arrival. All work without an organisation counts as that
/// of one. \a Work is a small value with equality. Owned by ServiceRow.
template <typename Work>
class OrganisationQueue final
{
public:
    struct Entry
    {
        Work work{};
        std::uint32_t priority = 0; ///< 0 is the highest
        TimePoint arrivedAt{0};
        bool needsPrimary = false;           ///< only connections to the primary can serve it
        TimePoint startBy{TimePoint::max()}; ///< work that starts later is late; max: it has no objective
    };

    void insert(std::string_view organisation, Entry entry);
    /// Entries that are served before \a entry if it is inserted, in the order that applies at \a now.
    [[nodiscard]] std::size_t countBefore(std::string_view organisation, const Entry &entry, TimePoint now) const;
    /// Removes work that is served now: its organisation has had its turn.
    void take(const Work &work) { this->erase(work, true); }
    /// Removes work that is not served. Does nothing if it is not in the queue.
    void remove(const Work &work) { this->erase(work, false); }
    /// Empties the queue and returns its work in order.
    std::vector<Work> takeAll(TimePoint now);

    /// All work, in the order in which it is to be served at \a now.
    [[nodiscard]] std::vector<Work> inOrder(TimePoint now) const;
    [[nodiscard]] std::size_t size() const { return this->count; }
    [[nodiscard]] bool empty() const { return this->count == 0; }
    /// Whether the organisation has work that a connection to the primary, or to another server, can serve.
    [[nodiscard]] bool hasWork(std::string_view organisation, bool atPrimary) const;

private:
    struct Group
    {
        std::vector<Entry> entries; ///< by priority, then by startBy, then by arrival; never empty
        std::size_t needsPrimary = 0;
        std::uint64_t turn = 0; ///< groups with a lower one are served first
    };

    [[nodiscard]] static bool isBefore(const Entry &left, const Entry &right);
    /// Place of \a entry in the order that applies at \a now.
    [[nodiscard]] static std::size_t placeOf(const std::vector<Entry> &entries, const Entry &entry, TimePoint now);
    [[nodiscard]] static std::vector<Work> ordered(const std::vector<Entry> &entries, TimePoint now);
    void erase(const Work &work, bool hadTurn);

    std::map<std::string, Group, std::less<>> groups; ///< by organisation
    std::uint64_t nextTurn = 0;
    std::size_t count = 0;
};

template <typename Work>
bool OrganisationQueue<Work>::isBefore(const Entry &left, const Entry &right)
{
    return std::tie(left.priority, left.startBy, left.arrivedAt)
           < std::tie(right.priority, right.startBy, right.arrivedAt);
}

template <typename Work>
std::size_t OrganisationQueue<Work>::placeOf(const std::vector<Entry> &entries, const Entry &entry, TimePoint now)
{
    const bool isLate = entry.startBy < now;
    return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), [&](const Entry &other) {
        if (other.priority != entry.priority)
            return other.priority < entry.priority;
        const bool isOtherLate = other.startBy < now;
        return isOtherLate == isLate ? !isBefore(entry, other) : isLate;
    }));
}

template <typename Work>
std::vector<Work> OrganisationQueue<Work>::ordered(const std::vector<Entry> &entries, TimePoint now)
{
    std::vector<Work> result;
    result.reserve(entries.size());
    const auto append = [&](auto from, auto to) {
        std::transform(from, to, std::back_inserter(result), [](const Entry &entry) { return entry.work; });
    };
    for (auto first = entries.begin(); first != entries.end();) {
        const auto end =
            std::find_if(first, entries.end(), [&](const Entry &entry) { return entry.priority != first->priority; });
        const auto inTime = std::find_if(first, end, [&](const Entry &entry) { return entry.startBy >= now; });
        append(inTime, end);
        append(first, inTime);
        first = end;
    }
    return result;
}

template <typename Work>
void OrganisationQueue<Work>::insert(std::string_view organisation, Entry entry)
{
    auto found = this->groups.find(organisation);
    if (found == this->groups.end())
        found = this->groups.emplace(std::string(organisation), Group{.turn = this->nextTurn++}).first;
    Group &group = found->second;
    const auto place = std::upper_bound(group.entries.begin(), group.entries.end(), entry, isBefore);
    group.needsPrimary += entry.needsPrimary ? 1 : 0;
    group.entries.insert(place, std::move(entry));
    this->count += 1;
}

template <typename Work>
std::size_t OrganisationQueue<Work>::countBefore(std::string_view organisation, const Entry &entry, TimePoint now) const
{
    const auto own = this->groups.find(organisation);
    const std::size_t round = own == this->groups.end() ? 0 : placeOf(own->second.entries, entry, now);
    const std::uint64_t turn = own == this->groups.end() ? this->nextTurn : own->second.turn;
    std::size_t before = round;
    for (auto other = this->groups.begin(); other != this->groups.end(); ++other) {
        if (other != own)
            before += std::min(other->second.entries.size(), round + (other->second.turn < turn ? 1 : 0));
    }
    return before;
}

template <typename Work>
void OrganisationQueue<Work>::erase(const Work &work, bool hadTurn)
{
    for (auto group = this->groups.begin(); group != this->groups.end(); ++group) {
        std::vector<Entry> &entries = group->second.entries;
        const auto found =
            std::find_if(entries.begin(), entries.end(), [&](const Entry &entry) { return entry.work == work; });
        if (found == entries.end())
            continue;
        group->second.needsPrimary -= found->needsPrimary ? 1 : 0;
        entries.erase(found);
        this->count -= 1;
        if (entries.empty())
            this->groups.erase(group);
        else if (hadTurn)
            group->second.turn = this->nextTurn++;
        return;
    }
}

template <typename Work>
std::vector<Work> OrganisationQueue<Work>::inOrder(TimePoint now) const
{
    std::vector<const Group *> byTurn;
    byTurn.reserve(this->groups.size());
    for (const auto &[organisation, group] : this->groups)
        byTurn.push_back(&group);
    std::sort(byTurn.begin(), byTurn.end(),
              [](const Group *left, const Group *right) { return left->turn < right->turn; });
    std::vector<std::vector<Work>> remaining;
    remaining.reserve(byTurn.size());
    for (const Group *group : byTurn)
        remaining.push_back(ordered(group->entries, now));
    std::vector<Work> result;
    result.reserve(this->count);
    for (std::size_t round = 0; !remaining.empty(); ++round) {
        std::erase_if(remaining, [&](const std::vector<Work> &work) { return work.size() <= round; });
        for (const std::vector<Work> &work : remaining)
            result.push_back(work[round]);
    }
    return result;
}

template <typename Work>
std::vector<Work> OrganisationQueue<Work>::takeAll(TimePoint now)
{
    std::vector<Work> all = this->inOrder(now);
    this->groups.clear();
    this->count = 0;
    return all;
}

template <typename Work>
bool OrganisationQueue<Work>::hasWork(std::string_view organisation, bool atPrimary) const
{
    const auto found = this->groups.find(organisation);
    return found != this->groups.end() && (atPrimary || found->second.entries.size() > found->second.needsPrimary);
}

} // namespace Jujubekeel
