#include "virtualpool/poolfaults.h"

#include "virtualpool/poolchecker.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <utility>

namespace Jujubekeel {

namespace {

constexpr Duration warmUp = std::chrono::seconds(2);
constexpr Duration loadTime = std::chrono::seconds(12);
/// From the start of the load until all operations have ended and the fleet has settled.
constexpr Duration runTime = std::chrono::seconds(32);
constexpr std::uint64_t faultWindowMs = 10000;
constexpr std::uint64_t maxFaults = 5;

/// A delay from \a from to below \a below, in milliseconds.
Duration drawDelay(SeededRandom &random, std::uint64_t from, std::uint64_t below)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(from + random.below(below - from)));
}

/// Servers of the first group by their part in a fault, which depends on who leads when the fault begins.
struct FaultRoles
{
    std::size_t primary = 0;
    std::size_t behind = 0; ///< replica that receives nothing
    std::size_t other = 0;  ///< the other replica
};

/// \a distance: from the primary to the replica that is behind, 1 or 2.
FaultRoles assignRoles(VirtualPool &pool, std::size_t distance)
{
    const std::size_t size = pool.group().size();
    const std::size_t primary = pool.group().history().promotions.back().server;
    return {.primary = primary, .behind = (primary + distance) % size, .other = (primary + size - distance) % size};
}

void setBehind(VirtualPool &pool, const FaultRoles &roles)
{
    pool.note("replica behind server=" + std::to_string(roles.behind));
    pool.group().setReplicationIsolated(roles.behind, true);
}

/// Takes a copy of the store, which returns from it up to 8 s later.
void scheduleRestoration(VirtualPool &pool, SeededRandom &random)
{
    const Duration copyAt = drawDelay(random, 0, 7000);
    const Duration outageAt = copyAt + drawDelay(random, 200, 6000);
    const Duration outage = drawDelay(random, 100, 2500);
    pool.at(copyAt, [&pool] {
        pool.note("store copied");
        pool.store().takeCopy();
    });
    pool.at(outageAt, [&pool] {
        pool.note("store away");
        pool.setStoreAvailable(false);
    });
    pool.at(outageAt + outage, [&pool] {
        pool.note("store restored");
        pool.returnStoreFromCopy();
    });
}

/// A replica receives nothing and another one is too busy to tell its position. Meanwhile the primary crashes and an
/// instance restarts.
void scheduleCrash(VirtualPool &pool, SeededRandom &random)
{
    const Duration start = drawDelay(random, 0, 7000);
    const Duration crash = start + drawDelay(random, 50, 3000);
    const Duration restart = crash + drawDelay(random, 20, 1500);
    const Duration end = crash + drawDelay(random, 500, 6000);
    const std::size_t instance = random.below(pool.instanceCount());
    const std::size_t distance = 1 + random.below(2);
    const auto roles = std::make_shared<FaultRoles>();
    pool.at(start, [&pool, roles, distance] {
        *roles = assignRoles(pool, distance);
        setBehind(pool, *roles);
    });
    pool.at(crash, [&pool, roles, instance] {
        pool.note("crash server=" + std::to_string(roles->primary) + " instance=" + std::to_string(instance));
        pool.group().setBusyStatuses(roles->other, std::numeric_limits<std::uint32_t>::max());
        pool.killInstance(instance);
        pool.stopServer(roles->primary);
    });
    pool.at(restart, [&pool, instance] { pool.startInstance(instance); });
    pool.at(end, [&pool, roles] {
        pool.group().setBusyStatuses(roles->other, 0);
        pool.group().setReplicationIsolated(roles->behind, false);
        pool.startServer(roles->primary);
    });
}

/// A replica whose directory entry has lapsed goes on receiving, and one instance does not reach it. The other replica
/// receives nothing, and the primary crashes.
void scheduleUnlistedReplica(VirtualPool &pool, SeededRandom &random)
{
    const Duration unlistedAt = drawDelay(random, 0, 6000);
    const Duration behindAt = unlistedAt + drawDelay(random, 0, 3000);
    const Duration crashAt = behindAt + drawDelay(random, 50, 3000);
    const Duration listedAt = crashAt + drawDelay(random, 200, 4000);
    const Duration end = listedAt + drawDelay(random, 200, 3000);
    const std::size_t instance = random.below(pool.instanceCount());
    const bool allRestart = random.below(2) == 0;
    const auto roles = std::make_shared<FaultRoles>();
    const std::size_t distance = 1 + random.below(2);
    pool.at(unlistedAt, [&pool, roles, distance, instance] {
        *roles = assignRoles(pool, distance);
        pool.note("unlisted server=" + std::to_string(roles->other) + " instance=" + std::to_string(instance));
        pool.isolateInstanceFromServer(instance, roles->other, true);
        pool.setListed(roles->other, false);
    });
    pool.at(behindAt, [&pool, roles] { setBehind(pool, *roles); });
    pool.at(crashAt, [&pool, roles, allRestart] {
        pool.note("crash server=" + std::to_string(roles->primary));
        pool.stopServer(roles->primary);
        for (std::size_t other = 0; allRestart && other < pool.instanceCount(); ++other) {
            pool.killInstance(other);
            pool.at(std::chrono::milliseconds(100), [&pool, other] { pool.startInstance(other); });
        }
    });
    pool.at(listedAt, [&pool, roles, instance] {
        pool.isolateInstanceFromServer(instance, roles->other, false);
        pool.setListed(roles->other, true);
    });
    pool.at(end, [&pool, roles] {
        pool.group().setReplicationIsolated(roles->behind, false);
        pool.startServer(roles->primary);
    });
}

/// A replica receives nothing. The primary is cut off and replaced, and its successor crashes before the cut ends.
void scheduleReturningPrimary(VirtualPool &pool, SeededRandom &random)
{
    const Duration behindAt = drawDelay(random, 0, 6000);
    const Duration cutAt = behindAt + drawDelay(random, 50, 2000);
    const Duration crashAt = cutAt + drawDelay(random, 1000, 3000);
    const Duration cutEnd = crashAt + drawDelay(random, 0, 1500);
    const Duration behindEnd = cutEnd + drawDelay(random, 500, 3000);
    const Duration end = behindEnd + drawDelay(random, 0, 3000);
    const auto roles = std::make_shared<FaultRoles>();
    const std::size_t distance = 1 + random.below(2);
    const std::size_t reaching = random.below(pool.instanceCount());
    const auto setCut = [&pool, roles, reaching](bool cut) {
        pool.group().setReplicationIsolated(roles->primary, cut);
        for (std::size_t instance = 0; instance < pool.instanceCount(); ++instance)
            pool.isolateInstanceFromServer(instance, roles->primary, cut && instance != reaching);
    };
    pool.at(behindAt, [&pool, roles, distance] {
        *roles = assignRoles(pool, distance);
        setBehind(pool, *roles);
    });
    pool.at(cutAt, [&pool, roles, setCut] {
        pool.note("cut off server=" + std::to_string(roles->primary));
        setCut(true);
    });
    pool.at(crashAt, [&pool, roles] {
        pool.note("crash server=" + std::to_string(roles->other));
        pool.stopServer(roles->other);
    });
    pool.at(cutEnd, [setCut] { setCut(false); });
    pool.at(behindEnd, [&pool, roles] { pool.group().setReplicationIsolated(roles->behind, false); });
    pool.at(end, [&pool, roles] { pool.startServer(roles->other); });
}

} // namespace

void applyRandomFault(VirtualPool &pool, SeededRandom &random)
{
    const std::size_t instance = random.below(pool.instanceCount());
    const std::size_t server = random.below(3);
    const Duration length = std::chrono::milliseconds(300 + static_cast<std::int64_t>(random.below(6000)));
    const std::size_t instances = pool.instanceCount();
    const bool relays = instances > 3;
    const std::uint64_t kind = random.below(relays ? 12 : 11);
    pool.note("fault kind=" + std::to_string(kind) + " instance=" + std::to_string(instance)
              + " server=" + std::to_string(server) + " us=" + std::to_string(length.count()));
    switch (kind) {
    case 0:
        pool.stopServer(server);
        pool.at(length, [&pool, server] { pool.startServer(server); });
        return;
    case 1:
        pool.killInstance(instance);
        pool.at(length / 4, [&pool, instance] { pool.startInstance(instance); });
        return;
    case 2:
        pool.freezeInstance(instance, length);
        return;
    case 3:
        pool.setStoreReachable(instance, false);
        pool.at(length, [&pool, instance] { pool.setStoreReachable(instance, true); });
        return;
    case 4:
        pool.setStoreAvailable(false);
        pool.at(length, [&pool] { pool.setStoreAvailable(true); });
        return;
    case 5:
        pool.isolateInstanceFromServer(instance, server, true);
        pool.at(length, [&pool, instance, server] { pool.isolateInstanceFromServer(instance, server, false); });
        return;
    case 6:
        for (std::size_t other = 0; other < instances; ++other)
            pool.isolateInstanceFromServer(other, server, other != instance);
        pool.at(length, [&pool, server, instances] {
            for (std::size_t other = 0; other < instances; ++other)
                pool.isolateInstanceFromServer(other, server, false);
        });
        return;
    case 7:
        pool.group().setReplicationIsolated(server, true);
        pool.at(length, [&pool, server] { pool.group().setReplicationIsolated(server, false); });
        return;
    case 8:
        pool.group().setApplyLag(server, length / 4);
        pool.at(length, [&pool, server] { pool.group().setApplyLag(server, std::chrono::milliseconds(20)); });
        return;
    case 9:
        pool.group().setLostAnswers(server, 10);
        pool.at(length, [&pool, server] { pool.group().setLostAnswers(server, 0); });
        return;
    case 11: {
        const std::size_t other = (instance + 1 + random.below(instances - 1)) % instances;
        pool.isolateInstances(instance, other, true);
        pool.at(length, [&pool, instance, other] { pool.isolateInstances(instance, other, false); });
        return;
    }
    default:
        pool.setStoreAnswersLost(true);
        pool.at(length / 2, [&pool] { pool.setStoreAnswersLost(false); });
        return;
    }
}

VirtualPoolOptions largeFleetOptions(std::uint64_t seed)
{
    VirtualPoolOptions options{.instances = 9, .relays = true, .seed = seed};
    options.pool.minMembers = 3;
    options.pool.maxMembers = 3;
    return options;
}

VirtualPoolOptions organisationFleetOptions(std::uint64_t seed)
{
    VirtualPoolOptions options{.instances = 87, .relays = true, .organisations = 86, .seed = seed};
    options.instanceDomains = {"d0", "d1", "d2", "d3", "d4", "d5"};
    options.regionOf = {{"d0", "r0"}, {"d1", "r0"}, {"d2", "r1"}, {"d3", "r1"}, {"d4", "r2"}, {"d5", "r2"}};
    options.group.domains = {"d0", "d2", "d4"};
    options.group.slots = 4;
    options.group.connectionLimit = 56;
    options.farDelay = std::chrono::microseconds(900);
    options.regionDelay = std::chrono::milliseconds(8);
    return options;
}

PoolRunResult runRandomFaults(std::uint64_t seed, VirtualPoolOptions options, PoolFaultOptions faultOptions)
{
    options.seed = seed;
    SeededRandom random(seed);
    VirtualPool pool(std::move(options));
    PoolWorkload workload(pool, {.seed = seed});
    pool.run(warmUp);
    workload.start(pool.now() + loadTime);
    const std::uint64_t faults = 1 + random.below(maxFaults);
    for (std::uint64_t fault = 0; fault < faults; ++fault) {
        const auto delay = static_cast<std::int64_t>(random.below(faultWindowMs));
        pool.at(std::chrono::milliseconds(delay), [&] { applyRandomFault(pool, random); });
    }
    if (faultOptions.restoredStore) {
        for (std::uint64_t count = 1 + random.below(2); count > 0; --count)
            scheduleRestoration(pool, random);
    }
    if (faultOptions.crashWithRestart) {
        for (std::uint64_t count = 1 + random.below(2); count > 0; --count)
            scheduleCrash(pool, random);
    }
    if (faultOptions.unlistedReplica) {
        for (std::uint64_t count = 1 + random.below(2); count > 0; --count)
            scheduleUnlistedReplica(pool, random);
    }
    if (faultOptions.returningPrimary) {
        for (std::uint64_t count = 1 + random.below(2); count > 0; --count)
            scheduleReturningPrimary(pool, random);
    }
    pool.run(runTime);

    std::vector<std::string> violations = findViolations(pool.group(), workload);
    const std::vector<std::string> &fencing = pool.fencingViolations();
    violations.insert(violations.end(), fencing.begin(), fencing.end());
    const auto &all = workload.operations();
    return PoolRunResult{.violations = std::move(violations),
                         .operations = all.size(),
                         .answered = static_cast<std::size_t>(std::count_if(
                             all.begin(), all.end(), [](const PoolOperation &entry) { return entry.answered; })),
                         .promotions = pool.promotions(),
                         .logLines = pool.logLines()};
}

} // namespace Jujubekeel
