#include "routing/router.h"

#include "core/world.h"

#include <span>
#include <tuple>

namespace Jujubekeel {

namespace {

Route refuse(ResultCode code, std::string reason)
{
    return Route{.code = code, .reason = std::move(reason)};
}

/// Sort key of replicas, best first: own failure domain, shorter queue, order in the layout.
std::tuple<bool, std::uint32_t, std::uint32_t> preference(const World &world, BackendId backend)
{
    const bool remote = world.layout.at(backend).failureDomain != world.layout.at(world.self).failureDomain;
    return {remote, world.at(backend).queueLength, backend.index};
}

/// The replica to read from. The route is not found if no replica qualifies.
Route chooseReplica(const World &world, const EntryRow &entry)
{
    const DatabaseRow &database = world.at(entry.database);
    Route best;
    for (const BackendId backend : database.backends) {
        const BackendRow &row = world.at(backend);
        if (backend == database.primary || row.leaving || !Router::hasLiveOwner(world, backend))
            continue;
        if (entry.failedBackend == backend)
            continue;
        // The known position may be as old as the last heartbeat. The answer carries the position of the read itself.
        const MarkRelation relation = row.history.relation(row.applied, entry.mark);
        const bool mayHaveCaughtUp = relation == MarkRelation::NotReached && world.now >= row.speculativeReadFrom;
        if (relation != MarkRelation::Contained && !mayHaveCaughtUp)
            continue;
        const std::optional<Duration> age = database.ageSamples.age(row.applied, row.history, world.now);
        if (!age || *age > *entry.acceptedAge)
            continue;
        if (best.found && preference(world, best.backend) <= preference(world, backend))
            continue;
        best = Route{.found = true, .backend = backend, .owner = row.owner, .age = age};
        best.reason = mayHaveCaughtUp
                          ? "nearest replica within the accepted age; the answer is checked for the session's writes"
                          : "nearest replica within the accepted age that contains the session's writes";
    }
    return best;
}

Route choosePrimary(const World &world, const EntryRow &entry)
{
    const DatabaseRow &database = world.at(entry.database);
    if (!database.primary.isValid())
        return refuse(ResultCode::NoPrimary, "no primary is known");
    if (Router::refusesNewWork(world, database.primary))
        return refuse(ResultCode::NoPrimary, "the primary is leaving and no other was promoted yet");
    const InstanceId owner = Router::ownerOf(world, database.primary, entry.decision.attempts);
    if (!owner.isValid())
        return refuse(ResultCode::NoOwner, "no live instance holds the connections of the primary");
    return Route{.found = true, .backend = database.primary, .owner = owner};
}

} // namespace

Route Router::routeRead(const World &world, const EntryRow &entry)
{
    // Without its token, the writes of a session are unknown. Only the primary is certain to contain them.
    if (entry.acceptedAge && entry.markKnown) {
        Route replica = chooseReplica(world, entry);
        if (replica.found)
            return replica;
    }

    Route primary = choosePrimary(world, entry);
    primary.barrier = true;
    if (primary.found) {
        primary.reason = !entry.acceptedAge ? "no rule accepts older data"
                         : entry.markKnown  ? "no replica satisfies the accepted age and the session's writes"
                                            : "the session came without its mark";
    } else if (entry.acceptedAge) {
        primary.code = ResultCode::ReplicaTooOld;
        primary.reason = "no replica satisfies the request, and " + primary.reason;
    }
    return primary;
}

Route Router::routeWrite(const World &world, const EntryRow &entry)
{
    Route primary = choosePrimary(world, entry);
    if (primary.found)
        primary.reason = "the primary takes the writes";
    return primary;
}

InstanceId Router::ownerOf(const World &world, BackendId backend, std::uint32_t attempts)
{
    if (hasLiveOwner(world, backend))
        return world.at(backend).owner;
    if (world.isFullMesh())
        return InstanceId{};
    const std::span<const InstanceId> candidates = world.candidates.forBackend(backend);
    if (candidates.empty())
        return InstanceId{};
    const InstanceId guess = candidates[attempts % candidates.size()];
    return guess == world.self ? InstanceId{} : guess;
}

bool Router::hasLiveOwner(const World &world, BackendId backend)
{
    const BackendRow &row = world.at(backend);
    if (!row.owner.isValid() || row.ownerClosing)
        return false;
    if (row.owner == world.self)
        return row.ownership.step == OwnershipStep::Owned;
    return world.at(row.owner).live;
}

bool Router::refusesNewWork(const World &world, BackendId backend)
{
    const BackendRow &row = world.at(backend);
    return row.leaving && world.now - row.leavingSince > world.options.drain.leavingGrace;
}

} // namespace Jujubekeel
