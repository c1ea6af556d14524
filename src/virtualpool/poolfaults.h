#pragma once

#include "virtualfleet/seededrandom.h"
#include "virtualpool/poolworkload.h"
#include "virtualpool/virtualpool.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Jujubekeel {

/// Draws a fault and applies it at once: servers, instances, store, links, lag or answers, for 0.3 to 6.3 s. It ends by
/// itself.
void applyRandomFault(VirtualPool &pool, SeededRandom &random);

/// What one run under load showed.
struct PoolRunResult
{
    std::vector<std::string> violations;
    std::size_t operations = 0;
    std::size_t answered = 0;
    std::uint64_t promotions = 0;
    std::vector<std::string> logLines; ///< of all instances, with the faults
};

/// Runs the usual load for 12 s with one to five random faults, then lets the fleet settle and checks all rules.
[[nodiscard]] PoolRunResult runRandomFaults(std::uint64_t seed, VirtualPoolOptions options = {});

/// Nine instances in three failure domains, of which one in each domain is a member and the others relay their work.
[[nodiscard]] VirtualPoolOptions largeFleetOptions(std::uint64_t seed);

} // namespace Jujubekeel
