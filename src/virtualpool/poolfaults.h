#pragma once

#include "virtualfleet/seededrandom.h"
#include "virtualpool/poolworkload.h"
#include "virtualpool/virtualpool.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Jujubekeel {

/// Draws a fault of a server, an instance, the store, a link, the apply lag or lost answers and applies it at once. It
/// is healed automatically after 0.3 to 6.3 s, some kinds after half or a quarter of that.
void applyRandomFault(VirtualPool &pool, SeededRandom &random);

/// Faults of a run beside the random ones.
struct PoolFaultOptions
{
    bool restoredStore = false; ///< the store returns from an older copy, once or twice
    /// Once or twice the primary crashes and an instance restarts, while one replica is behind and the other one busy.
    bool crashWithRestart = false;
    /// Once or twice a replica loses its directory entry and one instance, but goes on receiving, while the other replica
    /// is behind and the primary crashes. In half of these cases all instances restart.
    bool unlistedReplica = false;
    /// Once or twice the primary is cut off and replaced, and returns before its successor, which crashes.
    bool returningPrimary = false;
};

/// Result of one run under load.
struct PoolRunResult
{
    std::vector<std::string> violations;
    std::size_t operations = 0;
    std::size_t answered = 0;
    std::uint64_t promotions = 0;
    std::vector<std::string> logLines; ///< of all instances, and one line for each fault
};

/// Runs the default load of PoolWorkload for 12 s with one to five random faults, lets the fleet settle and checks the
/// run with findViolations() and VirtualPool::fencingViolations().
[[nodiscard]] PoolRunResult runRandomFaults(std::uint64_t seed, VirtualPoolOptions options = {},
                                            PoolFaultOptions faultOptions = {});

/// Nine instances in three failure domains. One in each domain is a member; the others relay their work to members.
[[nodiscard]] VirtualPoolOptions largeFleetOptions(std::uint64_t seed);

/// 87 instances in six failure domains of three regions, 16 of them members, and three backend servers that accept 56
/// connections each, for the callers of 86 organisations.
[[nodiscard]] VirtualPoolOptions organisationFleetOptions(std::uint64_t seed);

} // namespace Jujubekeel
