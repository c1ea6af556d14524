#include "catalog/revisioncoverage.h"

#include <algorithm>
#include <iterator>

namespace Jujubekeel {

namespace {

/// The watches report a change at different times: they pause after an update, and their answers take different ways.
constexpr Duration reportGrace = std::chrono::milliseconds(500);
/// Between two listings of a kind. Objects of a kind that is not followed look like lost changes.
constexpr Duration listingInterval = std::chrono::seconds(2);

} // namespace

void RevisionCoverage::setFollowed(FollowedKind kind, bool followed, TimePoint now)
{
    Kind &row = this->kinds.at(static_cast<std::size_t>(kind));
    if (row.followed == followed)
        return;
    row = Kind{.followed = followed};
    this->update(now);
}

void RevisionCoverage::reported(FollowedKind kind, StoreVersion version, std::span<const std::uint64_t> revisions,
                                TimePoint now)
{
    if (version.era < this->highest.era)
        return;
    if (version.era > this->highest.era) {
        this->highest = StoreVersion{};
        this->reportedRevisions.clear();
    }
    this->highest = std::max(this->highest, version);
    this->reportedRevisions.insert(revisions.begin(), revisions.end());
    Kind &row = this->kinds.at(static_cast<std::size_t>(kind));
    row.covered = std::max(row.covered, version);
    this->update(now);
}

void RevisionCoverage::update(TimePoint now)
{
    std::uint64_t lowest = this->highest.revision;
    for (Kind &kind : this->kinds) {
        if (!kind.followed)
            continue;
        lowest = std::min(lowest, kind.covered.era == this->highest.era ? kind.covered.revision : 0);
        if (!this->lacksChanges(kind)) {
            kind.dueAt.reset();
        } else if (!kind.dueAt) {
            kind.dueAt = now + reportGrace;
            if (kind.lastListing)
                kind.dueAt = std::max(*kind.dueAt, *kind.lastListing + listingInterval);
        }
    }
    this->reportedRevisions.erase(this->reportedRevisions.begin(), this->reportedRevisions.upper_bound(lowest));
}

bool RevisionCoverage::lacksChanges(const Kind &kind) const
{
    if (this->highest.revision == 0)
        return false;
    if (kind.covered.era != this->highest.era)
        return true;
    const auto from = this->reportedRevisions.upper_bound(kind.covered.revision);
    const auto end = this->reportedRevisions.upper_bound(this->highest.revision);
    const auto known = static_cast<std::uint64_t>(std::distance(from, end));
    return this->highest.revision > kind.covered.revision + known;
}

std::optional<TimePoint> RevisionCoverage::nextDue() const
{
    std::optional<TimePoint> next;
    for (const Kind &kind : this->kinds) {
        if (kind.dueAt && (!next || *kind.dueAt < *next))
            next = kind.dueAt;
    }
    return next;
}

std::vector<FollowedKind> RevisionCoverage::takeDue(TimePoint now)
{
    std::vector<FollowedKind> due;
    for (std::size_t index = 0; index < this->kinds.size(); ++index) {
        Kind &kind = this->kinds.at(index);
        if (!kind.dueAt || now < *kind.dueAt)
            continue;
        kind.lastListing = now;
        kind.dueAt = now + listingInterval;
        due.push_back(static_cast<FollowedKind>(index));
    }
    return due;
}

} // namespace Jujubekeel
