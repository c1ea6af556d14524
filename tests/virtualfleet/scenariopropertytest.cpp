#include "virtualfleet/scenario.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <sstream>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace Jujubekeel {

namespace {

constexpr std::uint64_t firstSeed = 1000;
constexpr std::uint64_t seedCount = 12; // for each user and number of faults

std::string describe(const ScenarioOptions &options)
{
    return std::string(fleetUserName(options.user)) + ", seed " + std::to_string(options.seed) + ", "
           + describeFaults(options.faults);
}

class RandomFaults : public testing::TestWithParam<std::size_t>
{
};

// Guards against violations of the guarantees under faults at random times and steps. The seeds are run in a loop
// without shrinking, because a smaller seed is not a simpler run; the failing options are printed.
TEST_P(RandomFaults, KeepTheGuarantees)
{
    for (const FleetUser user : {FleetUser::Association, FleetUser::Hjolasmidja}) {
        for (std::uint64_t seed = firstSeed; seed < firstSeed + seedCount; ++seed) {
            ScenarioOptions options{.user = user, .seed = seed, .faults = drawFaults(seed, GetParam())};
            options.load = std::chrono::seconds(10);
            const ScenarioResult result = runScenario(options);
            EXPECT_TRUE(result.violations.empty()) << describe(options) << "\n"
                                                   << describeViolations(result.violations);
            // A run that serves almost no requests violates no guarantee, so a minimum of served requests is checked.
            EXPECT_GE(result.load.ok * 4, result.load.sent) << describe(options);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Counts, RandomFaults, testing::Values(1, 2, 3),
                         [](const testing::TestParamInfo<std::size_t> &param) {
                             return std::to_string(param.param) + "Faults";
                         });

// Guards against violations of the guarantees under random workloads and fault lists. RapidCheck shrinks a failing list
// to the faults that cause the failure.
TEST(ScenarioProperty, AnyFaultListKeepsTheGuarantees)
{
    const auto genFault = rc::gen::map(rc::gen::tuple(rc::gen::inRange<std::size_t>(0, allFaultCases().size()),
                                                      rc::gen::inRange<std::size_t>(0, allFaultSteps().size()),
                                                      rc::gen::inRange(500, 5000), rc::gen::inRange(200, 5000)),
                                       [](const std::tuple<std::size_t, std::size_t, int, int> &drawn) {
                                           return std::pair(std::pair(std::get<0>(drawn), std::get<1>(drawn)),
                                                            std::pair(std::get<2>(drawn), std::get<3>(drawn)));
                                       });
    rc::detail::TestParams params;
    params.seed = firstSeed;
    params.maxSuccess = 12;
    params.maxSize = 3; // length of the fault list
    params.disableShrinking = false;
    rc::detail::TestMetadata metadata;
    metadata.id = "AnyFaultListKeepsTheGuarantees";
    const auto outcome = rc::detail::checkTestable(
        [&] {
            const auto drawn =
                *rc::gen::container<std::vector<std::pair<std::pair<std::size_t, std::size_t>, std::pair<int, int>>>>(
                    genFault);
            ScenarioOptions options{.user = *rc::gen::element(FleetUser::Association, FleetUser::Hjolasmidja),
                                    .seed = *rc::gen::inRange<std::uint64_t>(1, 1000)};
            for (const auto &[kind, times] : drawn)
                options.faults.push_back(ScenarioFault{.fault = allFaultCases()[kind.first],
                                                       .step = allFaultSteps()[kind.second],
                                                       .after = std::chrono::milliseconds(times.first),
                                                       .duration = std::chrono::milliseconds(times.second)});
            options.load = std::chrono::seconds(8);
            options.workload.movePercent = *rc::gen::inRange<std::uint32_t>(0, 100);
            options.workload.keyPercent = *rc::gen::inRange<std::uint32_t>(0, 100);
            options.workload.transactionPercent = *rc::gen::inRange<std::uint32_t>(0, 40);
            const ScenarioResult result = runScenario(options);
            if (!result.violations.empty())
                RC_FAIL(describe(options) + "\n" + describeViolations(result.violations));
        },
        metadata, params);
    std::ostringstream report;
    rc::detail::printResultMessage(outcome, report);
    EXPECT_TRUE(outcome.is<rc::detail::SuccessResult>()) << "seed " << params.seed << "\n" << report.str();
}

} // namespace

} // namespace Jujubekeel
