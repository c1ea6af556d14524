#include "authority/writeauthoritypolicy.h"

#include "core/world.h"

namespace Jujubekeel {

std::uint32_t requiredAcknowledgements(const World &world, DatabaseId database)
{
    return static_cast<std::uint32_t>(world.at(database).backends.size() / 2);
}

bool GroupConfirmationPolicy::isWriteConfirmed(const World &world, BackendId backend, LogPosition position)
{
    const LogPosition confirmed = world.at(backend).confirmation.confirmed;
    // Positions of different terms are not compared: an entry of an earlier term may have been replaced.
    return confirmed.term == position.term && confirmed.position >= position.position;
}

bool GroupConfirmationPolicy::isReadConfirmed(const World &world, BackendId backend, std::uint64_t term,
                                              TimePoint since)
{
    const ConfirmationState &state = world.at(backend).confirmation;
    return state.barrierTerm == term && term != 0 && state.barrierSentAt >= since;
}

bool PlatformLeasePolicy::isWriteConfirmed(const World &world, BackendId backend, LogPosition position)
{
    const LeaseState &lease = world.at(backend).confirmation.lease;
    return lease.term == position.term && position.term != 0 && world.now < lease.validUntil;
}

bool PlatformLeasePolicy::isReadConfirmed(const World &world, BackendId backend, std::uint64_t term, TimePoint since)
{
    // A lease that is valid now excludes another primary at any time before now, so `since` adds nothing.
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
