#pragma once

#include "virtualpool/unevenload.h"
#include "virtualpool/virtualpool.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Jujubekeel {

/// A load on the fleet, and the fault that goes with it.
struct PlacingScenario
{
    std::string name;
    std::string file; ///< part of the name of its plot
    double swing = 0;
    std::function<void(VirtualPool &pool, UnevenLoad &load)> apply;
};

/// A rule of placement, and how members report their work to each other.
struct PlacingPolicy
{
    std::string name;
    PlacementRule rule = PlacementRule::ShortestWait;
    std::uint32_t lostPercent = 0;  ///< of the reports between members
    Duration reportDelay{0};        ///< added to the way of a report
    std::int64_t primaryFactor = 2; ///< PoolOptions::primaryReadFactor
};

/// Results of the runs of one scenario with one policy.
struct PlacingFigures
{
    double sent = 0;
    double inTime = 0;
    double late = 0;
    double refused = 0;                          ///< Busy or Overload, after all attempts
    double errors = 0;                           ///< any other error, or no answer
    double rejections = 0;                       ///< by the servers
    double busiest = 0;                          ///< busiest server against the mean, each second, mean over the seeds
    double busiestOfReads = 0;                   ///< the same without the work that only primaries can do
    std::vector<Duration> durations;             ///< of the answers
    std::vector<Duration> firstGroup;            ///< of the answers of the group that has the fault
    std::vector<std::vector<Duration>> bySecond; ///< of the answers, by the second of the run in which they were sent
};

/// Runs one scenario with one policy and adds its results to \a figures.
void measurePlacing(const PlacingScenario &scenario, const PlacingPolicy &policy, std::uint64_t seed,
                    PlacingFigures &figures);

[[nodiscard]] std::vector<PlacingScenario> placingScenarios();
[[nodiscard]] std::vector<PlacingPolicy> placingPolicies();

} // namespace Jujubekeel
