#include "authority/writeauthoritypolicy.h"

#include "core/world.h"

#include <algorithm>

namespace Jujubekeel {

namespace {

/// True if the server's log up to \a end contains the entry. The entry may be of an earlier term than the server's, for
/// example when the server answers a repeated request key; the starts of the terms in between show whether it survived.
bool containsEntry(const World &world, BackendId backend, LogPosition end, LogPosition entry)
{
    return end.term != 0 && end.term >= entry.term
           && world.at(backend).history.relation(end, entry) == MarkRelation::Contained;
}

} // namespace

std::uint32_t requiredAcknowledgements(const World &world, DatabaseId database)
{
    return static_cast<std::uint32_t>(world.at(database).backends.size() / 2);
}

bool GroupConfirmationPolicy::isWriteConfirmed(const World &world, BackendId backend, LogPosition position)
{
    return containsEntry(world, backend, world.at(backend).confirmation.confirmed, position);
}

bool GroupConfirmationPolicy::isReadConfirmed(const World &world, BackendId backend, std::uint64_t term,
                                              TimePoint since)
{
    const ConfirmationState &state = world.at(backend).confirmation;
    return state.barrierTerm == term && term != 0 && state.barrierSentAt >= since;
}

bool PlatformLeasePolicy::isWriteConfirmed(const World &world, BackendId backend, LogPosition position)
{
    const BackendRow &row = world.at(backend);
    const LeaseState &lease = row.confirmation.lease;
    const bool valid = lease.term != 0 && lease.term == row.history.lastTerm() && world.now < lease.validUntil;
    return valid && containsEntry(world, backend, std::max(row.received, row.applied), position);
}

bool PlatformLeasePolicy::isReadConfirmed(const World &world, BackendId backend, std::uint64_t term, TimePoint since)
{
    // A lease that is valid now rules out any other primary up to now, so `since` is not needed.
    static_cast<void>(since);
    const LeaseState &lease = world.at(backend).confirmation.lease;
    return lease.term == term && term != 0 && world.now < lease.validUntil;
}

bool LeaseAndConfirmationPolicy::isWriteConfirmed(const World &world, BackendId backend, LogPosition position)
{
    return GroupConfirmationPolicy::isWriteConfirmed(world, backend, position)
           && PlatformLeasePolicy::isWriteConfirmed(world, backend, position);
}

bool LeaseAndConfirmationPolicy::isReadConfirmed(const World &world, BackendId backend, std::uint64_t term,
                                                 TimePoint since)
{
    return GroupConfirmationPolicy::isReadConfirmed(world, backend, term, since)
           && PlatformLeasePolicy::isReadConfirmed(world, backend, term, since);
}

} // namespace Jujubekeel
