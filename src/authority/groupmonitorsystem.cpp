#include "authority/groupmonitorsystem.h"

#include "core/world.h"

#include <algorithm>
#include <cassert>

namespace Jujubekeel {

namespace {

/// True if \a history is newer or more complete than \a other: it ends with a newer term, or it contains intermediate
/// terms that the other lacks because it was built from promotion notices.
bool isMoreComplete(const TermHistory &history, const TermHistory &other)
{
    if (history.lastTerm() != other.lastTerm())
        return history.lastTerm() > other.lastTerm();
    return history.starts().size() > other.starts().size();
}

/// Clears the known primary, because it has been replaced.
void clearPrimary(World &world, DatabaseId database)
{
    DatabaseRow &row = world.at(database);
    if (row.primary.isValid() && world.at(row.primary).role == BackendRole::Primary)
        world.at(row.primary).role = BackendRole::Unknown;
    row.primary = BackendId{};
}

/// Sets the known primary. The newest known end of the confirmed log is carried over: entries confirmed under the
/// earlier term are part of the new primary's log.
void setPrimary(World &world, DatabaseId database, BackendId primary)
{
    DatabaseRow &row = world.at(database);
    if (row.primary != primary) {
        clearPrimary(world, database);
        world.announcementPending = true;
    }
    BackendRow &newPrimary = world.at(primary);
    for (const BackendId backend : row.backends) {
        const BackendRow &server = world.at(backend);
        if (server.confirmedEndAsOf > newPrimary.confirmedEndAsOf) {
            newPrimary.confirmedEnd = server.confirmedEnd;
            newPrimary.confirmedEndAsOf = server.confirmedEndAsOf;
        }
    }
    row.primary = primary;
    newPrimary.role = BackendRole::Primary;
}

/// Adopts a newer or more complete history and, if \a primary is valid, the primary of its last term.
void observeTerm(World &world, DatabaseId database, const TermHistory &history, BackendId primary)
{
    DatabaseRow &row = world.at(database);
    const std::uint64_t known = row.history.lastTerm();
    if (history.lastTerm() == 0 || history.lastTerm() < known)
        return;

    const bool newer = history.lastTerm() > known;
    if (isMoreComplete(history, row.history))
        row.history = history;
    if (!primary.isValid()) {
        // The primary of the newer term is not known yet, but the known one has been replaced.
        if (newer)
            clearPrimary(world, database);
        return;
    }
    // A term has only one primary, so a second claim to the known term is ignored.
    if (newer || !row.primary.isValid()) {
        setPrimary(world, database, primary);
        row.lastPromotion = world.now;
    }
}

void raise(LogPosition &position, LogPosition to)
{
    position = std::max(position, to);
}

/// Sets the role that a server reported under the last term of \a history.
void setRole(World &world, BackendId backend, BackendRole role, const TermHistory &history)
{
    BackendRow &row = world.at(backend);
    const DatabaseRow &group = world.at(row.database);
    // A primary of a superseded term is not treated as primary, whatever role it reports. A status that the new primary
    // sent before its promotion still shows a replica of the earlier term and is ignored.
    if (role == BackendRole::Primary && group.primary != backend)
        row.role = BackendRole::Unknown;
    else if (group.primary != backend || history.lastTerm() >= group.history.lastTerm())
        row.role = role;
}

} // namespace

void GroupMonitorSystem::observeStatus(World &world, BackendId backend, const ServerStatus &status, TimePoint sentAt)
{
    assert(backend.index < world.backends.size());
    BackendRow &row = world.at(backend);

    // Positions of a server only increase in the order (term, position), so the highest one is the newest.
    if (isMoreComplete(status.history, row.history))
        row.history = status.history;
    raise(row.applied, status.applied);
    raise(row.received, status.received);
    // The primary: the server itself, or the one that a replica follows.
    const DatabaseId database = row.database;
    if (status.role == BackendRole::Primary) {
        observeTerm(world, database, status.history, backend);
    } else if (status.role == BackendRole::Replica) {
        const BackendId followed = world.layout.findBackend(status.primary);
        const bool sameGroup = followed.isValid() && world.at(followed).database == database;
        observeTerm(world, database, status.history, sameGroup && followed != backend ? followed : BackendId{});
    }

    if (sentAt >= row.statusAt) {
        row.statusAt = sentAt;
        setRole(world, backend, status.role, status.history);
    }
}

void GroupMonitorSystem::observeReport(World &world, InstanceId from, const BackendReport &report,
                                       TimePoint sentAtLeast)
{
    assert(report.backend.index < world.backends.size());
    BackendRow &row = world.at(report.backend);

    // Owner. Of two instances that claim a server, the one with the later report wins. Reports do not change the owner
    // of a server that this instance owns.
    if (!holdsLock(row.ownership.step)) {
        const bool isKnownOwner = row.owner == from;
        const bool ownerUnavailable = !row.owner.isValid() || !world.at(row.owner).live;
        if (isKnownOwner || ownerUnavailable || row.ownerReportedAt < world.now) {
            row.owner = from;
            row.ownerReportedAt = world.now;
            row.ownerClosing = report.closing;
            row.queueLength = report.queueLength;
        }
    }

    // Positions.
    if (isMoreComplete(report.history, row.history))
        row.history = report.history;
    raise(row.applied, report.applied);
    raise(row.received, std::max(report.received, report.applied));

    // The primary, and the end of its confirmed log.
    observeTerm(world, row.database, report.history, report.primary ? report.backend : BackendId{});
    if (sentAtLeast >= row.statusAt) {
        row.statusAt = sentAtLeast;
        setRole(world, report.backend, report.primary ? BackendRole::Primary : BackendRole::Replica, report.history);
    }
    const DatabaseRow &group = world.at(row.database);
    if (report.primary && report.confirmedAge >= Duration{0} && report.history.lastTerm() == group.history.lastTerm())
        this->observeConfirmed(world, report.backend, report.received, sentAtLeast - report.confirmedAge);
}

void GroupMonitorSystem::observeOwned(World &world, InstanceId from, std::span<const BackendReport> reports)
{
    for (std::uint32_t index = 0; index < world.backends.size(); ++index) {
        BackendRow &row = world.backends[index];
        if (row.owner != from)
            continue;
        const bool reported =
            std::ranges::any_of(reports, [&](const BackendReport &report) { return report.backend.index == index; });
        if (!reported) {
            row.owner = InstanceId{};
            row.ownerClosing = false;
        }
    }
}

void GroupMonitorSystem::observePromotion(World &world, const PromotionNotice &notice)
{
    assert(notice.database.index < world.databases.size());
    assert(notice.primary.index < world.backends.size());
    DatabaseRow &row = world.at(notice.database);
    if (notice.start.term < row.history.lastTerm())
        return;
    if (notice.start.term == row.history.lastTerm() && row.primary.isValid())
        return;

    row.history.append(notice.start);
    setPrimary(world, notice.database, notice.primary);
    row.lastPromotion = world.now;
}

void GroupMonitorSystem::observePosition(World &world, BackendId backend, LogPosition applied, TimePoint receivedAt)
{
    assert(backend.index < world.backends.size());
    assert(receivedAt <= world.now);
    BackendRow &row = world.at(backend);
    raise(row.applied, applied);
    raise(row.received, applied);
}

void GroupMonitorSystem::observeConfirmed(World &world, BackendId backend, LogPosition end, TimePoint asOf)
{
    assert(backend.index < world.backends.size());
    BackendRow &row = world.at(backend);
    const DatabaseRow &group = world.at(row.database);
    if (group.primary != backend || end.term > group.history.lastTerm() || asOf <= row.confirmedEndAsOf)
        return;
    raise(row.confirmedEnd, end);
    row.confirmedEndAsOf = asOf;
}

void GroupMonitorSystem::observeOwnership(World &world, BackendId backend, bool owned)
{
    assert(backend.index < world.backends.size());
    BackendRow &row = world.at(backend);
    if (owned) {
        row.owner = world.self;
        row.ownerReportedAt = world.now;
        row.ownerClosing = false;
    } else if (row.owner == world.self) {
        row.owner = InstanceId{};
        row.ownerClosing = false;
    }
    world.announcementPending = true;
}

BackendReport GroupMonitorSystem::makeReport(const World &world, BackendId backend)
{
    assert(backend.index < world.backends.size());
    const BackendRow &row = world.at(backend);
    const DatabaseRow &group = world.at(row.database);
    // Only the server's own term counts: an owner that still holds a replaced primary must not report it as confirmed.
    const bool primary = group.primary == backend && row.role == BackendRole::Primary
                         && row.history.lastTerm() == group.history.lastTerm();
    const bool confirmed = primary && row.confirmedEndAsOf > TimePoint{0};

    // The reported end of the log is the one that confirmedAge refers to.
    return BackendReport{.backend = backend,
                         .primary = primary,
                         .applied = row.applied,
                         .received = confirmed ? row.confirmedEnd : row.received,
                         .history = row.history,
                         .confirmedAge = confirmed ? world.now - row.confirmedEndAsOf : Duration{-1},
                         .queueLength = row.queueLength,
                         .closing = row.ownership.step == OwnershipStep::Closing || row.ownerClosing};
}

} // namespace Jujubekeel
