#include "virtualfleet/scenario.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>

namespace Jujubekeel {

namespace {

/// A case of `jujubekeel-bench --scenario random` that once violated a guarantee.
struct RegressionSeed
{
    FleetUser user;
    std::size_t faults;
    std::uint64_t seed;
};

class RegressionSeeds : public testing::TestWithParam<RegressionSeed>
{
};

// Guards against failures found by a random search: rules that arrived only 10 s after a short outage of the platform
// (P7), a leaving primary that received new work for too long after its rule was known (P7), and abandoned transactions
// that delayed a planned stop for its whole grace period (P8).
TEST_P(RegressionSeeds, KeepTheGuarantees)
{
    const RegressionSeed regression = GetParam();
    ScenarioOptions options{.user = regression.user, .seed = regression.seed};
    options.faults = drawFaults(regression.seed, regression.faults);
    options.load = std::chrono::seconds(10);
    const ScenarioResult result = runScenario(options);
    EXPECT_TRUE(result.violations.empty()) << describeFaults(options.faults) << "\n"
                                           << describeViolations(result.violations);
}

std::string seedTestName(const testing::TestParamInfo<RegressionSeed> &param)
{
    return std::string(fleetUserName(param.param.user)) + std::to_string(param.param.faults) + "Faults"
           + std::to_string(param.param.seed);
}

INSTANTIATE_TEST_SUITE_P(
    Search, RegressionSeeds,
    testing::Values(RegressionSeed{FleetUser::Association, 2, 20096}, RegressionSeed{FleetUser::Association, 3, 20045},
                    RegressionSeed{FleetUser::Association, 3, 20104}, RegressionSeed{FleetUser::Association, 3, 20516},
                    RegressionSeed{FleetUser::Association, 3, 20670}, RegressionSeed{FleetUser::Hjolasmidja, 3, 20809},
                    RegressionSeed{FleetUser::Hjolasmidja, 3, 20884}, RegressionSeed{FleetUser::Hjolasmidja, 3, 21327},
                    RegressionSeed{FleetUser::Hjolasmidja, 3, 21923}),
    seedTestName);

} // namespace

} // namespace Jujubekeel
