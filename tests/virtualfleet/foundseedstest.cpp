#include "virtualfleet/scenario.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>

namespace Jujubekeel {

namespace {

/// A case of `jujubekeel-bench --scenario random` that broke a guarantee once.
struct FoundSeed
{
    FleetUser user;
    std::size_t faults;
    std::uint64_t seed;
};

class FoundSeeds : public testing::TestWithParam<FoundSeed>
{
};

// Guards against faults that a random search found: rules that stayed away for 10 s after a short outage of the platform
// (P7), a leaving primary that took new work for too long after its rule was known (P7), and abandoned transactions that
// kept a planned stop waiting for its whole grace time (P8).
TEST_P(FoundSeeds, KeepTheGuarantees)
{
    const FoundSeed found = GetParam();
    ScenarioOptions options{.user = found.user, .seed = found.seed};
    options.faults = drawFaults(found.seed, found.faults);
    options.load = std::chrono::seconds(10);
    const ScenarioResult result = runScenario(options);
    EXPECT_TRUE(result.violations.empty()) << describeFaults(options.faults) << "\n"
                                           << describeViolations(result.violations);
}

std::string seedTestName(const testing::TestParamInfo<FoundSeed> &param)
{
    return std::string(fleetUserName(param.param.user)) + std::to_string(param.param.faults) + "Faults"
           + std::to_string(param.param.seed);
}

INSTANTIATE_TEST_SUITE_P(
    Search, FoundSeeds,
    testing::Values(FoundSeed{FleetUser::Association, 2, 20096}, FoundSeed{FleetUser::Association, 3, 20045},
                    FoundSeed{FleetUser::Association, 3, 20104}, FoundSeed{FleetUser::Association, 3, 20516},
                    FoundSeed{FleetUser::Association, 3, 20670}, FoundSeed{FleetUser::Hjolasmidja, 3, 20809},
                    FoundSeed{FleetUser::Hjolasmidja, 3, 20884}, FoundSeed{FleetUser::Hjolasmidja, 3, 21327},
                    FoundSeed{FleetUser::Hjolasmidja, 3, 21923}),
    seedTestName);

} // namespace

} // namespace Jujubekeel
