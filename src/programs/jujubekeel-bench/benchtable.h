#pragma once

#include "core/statehasher.h"
#include "virtualfleet/scenario.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

/// One row of the table: a scenario that runs with several seeds.
struct BenchCase
{
    std::string name;
    ScenarioOptions options;        ///< the seed is set for each run
    bool hasGap = false;            ///< the fault interrupts writes, so that the failover gap is shown
    Duration gapTarget{0};          ///< limit of the worst failover gap; 0: none
    Duration medianTarget{0};       ///< limit of the median failover gap; 0: none
    bool hasReplicaTarget = false;  ///< the share of reads at replicas has a target
    std::uint32_t randomFaults = 0; ///< number of faults drawn from the seed; 0: the faults of the options
    double offeredRate = 0;         ///< capacity cases: requests per second; 0: no goodput is shown
};

/// Runs cases and prints one table row for each, then the design targets with the measured results. Owned by main; one
/// thread.
class BenchTable final
{
public:
    BenchTable(std::uint64_t tableFirstSeed, std::uint64_t tableSeedCount);

    void printHeader() const;
    void run(const BenchCase &benchCase);
    void printTargets() const;
    /// Combined state hash of all runs so far; the same for the same cases and seeds.
    [[nodiscard]] std::uint64_t stateHash() const { return this->hasher.value(); }

private:
    struct Target
    {
        std::string text;
        std::string measured;
        bool isMet = false;
    };

    void addTarget(std::string text, std::string measured, bool isMet);

    std::uint64_t firstSeed;
    std::uint64_t seedCount;
    std::vector<Target> targets;
    StateHasher hasher;
    double capacityGoodput = 0; ///< of the last case at capacity; the case at twice the capacity is compared with it
};

} // namespace Jujubekeel
