#pragma once

#include "core/statehasher.h"
#include "virtualfleet/scenario.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

/// One row of the table: the same scenario over several seeds.
struct BenchCase
{
    std::string name;
    ScenarioOptions options; ///< the seed is set for each run
    bool hasGap = false;     ///< the fault interrupts writes, so that the failover gap is shown
    Duration gapTarget{0};   ///< worst gap; 0: none
    Duration medianTarget{0};
    bool hasReplicaTarget = false;
    std::uint32_t randomFaults = 0; ///< number of faults drawn from the seed; 0: the faults of the options
    double offered = 0;             ///< capacity cases: requests per second offered; 0: no goodput is shown
};

/// Runs cases and prints them as rows of one table, then the targets of the design page with the result beside each.
/// Owned by main().
class BenchTable final
{
public:
    BenchTable(std::uint64_t tableFirstSeed, std::uint64_t tableSeedCount);

    void printHeader() const;
    void run(const BenchCase &benchCase);
    void printTargets() const;
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
    double capacityGoodput = 0; ///< of the last case at capacity; the one at twice the capacity follows it
};

} // namespace Jujubekeel
