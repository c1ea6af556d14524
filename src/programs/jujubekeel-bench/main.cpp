#include "benchtable.h"
#include "programs/commandline/commandline.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

constexpr const char *usage =
    R"(jujubekeel-bench runs the decision library in virtual time and prints one table and a state hash.

Usage:
  jujubekeel-bench [--seed=NUMBER] [--seeds=COUNT] [--user=NAME] [--scenario=NAME]
  jujubekeel-bench trace FAULT STEP [--seed=NUMBER] [--user=NAME] [--load=SECONDS]
  jujubekeel-bench trace-random COUNT [--seed=NUMBER] [--user=NAME] [--load=SECONDS]
  jujubekeel-bench (-h | --help | --version)

The command trace runs one fault of docs/fault-matrix.md, for example "trace ProxyKilled Sent", and prints the log lines
of the proxies and the violations. The command trace-random does the same for a seed of the scenario "random" with COUNT
faults.

Options:
  --seed=NUMBER    First seed [default: 1].
  --seeds=COUNT    Number of seeds for each case [default: 5].
  --user=NAME      association, hjolasmidja or all [default: all].
  --scenario=NAME  healthy, faults, failover, authority, primary-only, capacity, random or all [default: all].
  --load=SECONDS   Length of a traced load [default: 9].
  -h --help        Show this text.
  --version        Show the version.
)";

constexpr std::uint32_t maxNumber = 1'000'000;
constexpr std::uint32_t maxRandomFaults = 10;
constexpr std::uint32_t maxLoadSeconds = 3600;

constexpr Duration killedGapTarget = std::chrono::seconds(3);
constexpr Duration killedMedianTarget = std::chrono::seconds(1);
constexpr Duration cutOffGapTarget = std::chrono::seconds(10);
// Longer than the load, so that the gap ends with a promotion and not with the recovery of the old primary.
constexpr Duration permanentFaultTime = std::chrono::seconds(60);
// 100 writes/s for each database, so that gaps are measured to about 10 ms.
constexpr std::uint32_t gapRequestsPerSecond = 300;
constexpr Duration capacityServiceTime = std::chrono::milliseconds(5);

BenchCase gapCase(FleetUser user, FaultCase fault, const std::string &name)
{
    BenchCase result{.name = name, .options = {.user = user}, .hasGap = true};
    result.options.faults = {{.fault = fault, .duration = permanentFaultTime}};
    result.options.load = std::chrono::seconds(14);
    result.options.onlyWrites = true;
    result.options.workload.requestsPerSecond = gapRequestsPerSecond;
    result.gapTarget = fault == FaultCase::PrimaryKilled ? killedGapTarget : cutOffGapTarget;
    if (fault == FaultCase::PrimaryKilled)
        result.medianTarget = killedMedianTarget;
    return result;
}

std::vector<BenchCase> makeCases(FleetUser user, const std::string &scenario)
{
    std::vector<BenchCase> cases;
    const auto isSelected = [&](const char *name) { return scenario == "all" || scenario == name; };

    if (isSelected("healthy"))
        cases.push_back(BenchCase{.name = "healthy", .options = {.user = user}, .hasReplicaTarget = true});
    if (isSelected("healthy")) {
        // Callers that pause about two seconds between requests, as interactive users do; other cases pause less.
        BenchCase entry{.name = "healthy, two seconds between a session's requests",
                        .options = {.user = user},
                        .hasReplicaTarget = true};
        entry.options.workload.sessions = 300;
        cases.push_back(std::move(entry));
    }
    if (isSelected("faults")) {
        for (const FaultCase fault : allFaultCases()) {
            BenchCase entry{.name = std::string(faultCaseName(fault)), .options = {.user = user}, .hasGap = true};
            entry.options.faults = {{.fault = fault}};
            cases.push_back(std::move(entry));
        }
    }
    if (isSelected("failover")) {
        cases.push_back(gapCase(user, FaultCase::PrimaryKilled, "failover, primary killed"));
        cases.push_back(gapCase(user, FaultCase::PrimaryCutOff, "failover, primary cut off"));
    }
    if (isSelected("authority")) {
        const std::vector<std::pair<std::string, AuthorityPolicy>> policies{
            {"confirmation", AuthorityPolicy::GroupConfirmation},
            {"lease", AuthorityPolicy::PlatformLease},
            {"lease and confirmation", AuthorityPolicy::LeaseAndConfirmation}};
        for (const auto &[name, policy] : policies) {
            for (const FaultCase fault :
                 {FaultCase::PrimaryKilled, FaultCase::PrimaryCutOff, FaultCase::PlatformDown}) {
                BenchCase entry = gapCase(user, fault, name + ", " + std::string(faultCaseName(fault)));
                entry.options.proxy.authority.policy = policy;
                // The targets hold for the policy in use only; these rows compare its cost with that of the others.
                entry.gapTarget = Duration{0};
                entry.medianTarget = Duration{0};
                cases.push_back(std::move(entry));
            }
            // The isolated primary then fails permanently, so that only writes on other servers of the group survive.
            BenchCase entry = gapCase(user, FaultCase::PrimaryCutOff, name + ", PrimaryCutOff then PrimaryKilled");
            entry.options.proxy.authority.policy = policy;
            entry.options.faults.push_back(
                {.fault = FaultCase::PrimaryKilled, .after = std::chrono::seconds(4), .duration = permanentFaultTime});
            entry.gapTarget = Duration{0};
            cases.push_back(std::move(entry));
        }
    }
    if (scenario == "random") {
        // Searches for seeds that violate a guarantee; not part of the table in docs/measurements.md.
        for (const std::uint32_t count : {1U, 2U, 3U}) {
            BenchCase entry{
                .name = std::to_string(count) + " random faults", .options = {.user = user}, .hasGap = true};
            entry.options.load = std::chrono::seconds(10);
            entry.randomFaults = count;
            cases.push_back(std::move(entry));
        }
    }
    if (isSelected("primary-only")) {
        BenchCase entry{.name = "reads at the primary, fixed timeout 1 s", .options = {.user = user}};
        entry.options.primaryOnly = true;
        entry.options.workload.timeout = std::chrono::seconds(1);
        cases.push_back(std::move(entry));
    }
    if (isSelected("capacity")) {
        // Writes use only the slots of the primaries, so the capacity is their number divided by the service time.
        const FleetLayout layout = makeUserProfile(user).layout;
        const double capacity = static_cast<double>(layout.databases.size() * layout.backends.front().slots) * 1e6
                                / static_cast<double>(capacityServiceTime.count());
        for (const int factor : {1, 2}) {
            BenchCase entry{.name = factor == 1 ? "capacity" : "twice the capacity", .options = {.user = user}};
            entry.offeredRate = capacity * factor;
            entry.options.serviceTime = capacityServiceTime;
            entry.options.onlyWrites = true;
            entry.options.load = std::chrono::seconds(6);
            entry.options.workload.requestsPerSecond = static_cast<std::uint32_t>(entry.offeredRate);
            entry.options.workload.transactionPercent = 0;
            entry.options.workload.timeout = std::chrono::seconds(1);
            cases.push_back(std::move(entry));
        }
    }
    return cases;
}

template <typename Value, typename NameFunction>
std::optional<Value> findByName(std::span<const Value> values, const std::string &name, NameFunction nameOf)
{
    const auto found = std::ranges::find_if(values, [&](Value value) { return nameOf(value) == name; });
    return found == values.end() ? std::nullopt : std::optional(*found);
}

/// Runs one fault, or the random faults of a seed, and prints the log lines of the proxies and the violations.
int runTrace(const CommandLine &arguments)
{
    const auto seed = std::uint64_t{arguments.number("--seed", 0, maxNumber)};
    std::vector<ScenarioFault> faults;
    if (arguments.isGiven("trace")) {
        const auto fault = findByName(allFaultCases(), arguments.text("FAULT"), faultCaseName);
        const auto step = findByName(allFaultSteps(), arguments.text("STEP"), faultStepName);
        if (!fault || !step) {
            std::fprintf(stderr, "jujubekeel-bench: no such fault or step; docs/fault-matrix.md lists them\n");
            return 2;
        }
        faults = {{.fault = *fault, .step = *step}};
    } else {
        faults = drawFaults(seed, arguments.number("COUNT", 1, maxRandomFaults));
    }
    ScenarioOptions options;
    const bool isAssociation = arguments.text("--user") != fleetUserName(FleetUser::Hjolasmidja);
    options.user = isAssociation ? FleetUser::Association : FleetUser::Hjolasmidja;
    options.seed = seed;
    options.faults = faults;
    options.load = std::chrono::seconds(arguments.number("--load", 1, maxLoadSeconds));
    options.trace = [](TimePoint at, const std::string &line) {
        std::printf("%.3f %s\n", static_cast<double>(at.count()) / 1e6, line.c_str());
    };
    const ScenarioResult result = runScenario(options);
    std::printf("%s: %llu of %llu requests ok, %zu violations\n%s",
                result.injected.front() ? "step reached" : "step not reached",
                static_cast<unsigned long long>(result.load.ok), static_cast<unsigned long long>(result.load.sent),
                result.violations.size(), describeViolations(result.violations).c_str());
    return result.violations.empty() ? 0 : 1;
}

int runBench(int argc, char **argv)
{
    const CommandLine arguments(usage, "jujubekeel-bench 0.1.0", argc, argv);
    if (arguments.isGiven("trace") || arguments.isGiven("trace-random"))
        return runTrace(arguments);
    const std::uint32_t seed = arguments.number("--seed", 0, maxNumber);
    const std::uint32_t seeds = arguments.number("--seeds", 1, maxNumber);
    const std::string user = arguments.text("--user");
    const std::string scenario = arguments.text("--scenario");

    // Users and cases.
    std::vector<BenchCase> cases;
    for (const FleetUser candidate : {FleetUser::Association, FleetUser::Hjolasmidja}) {
        if (user == "all" || user == fleetUserName(candidate)) {
            for (BenchCase &entry : makeCases(candidate, scenario))
                cases.push_back(std::move(entry));
        }
    }
    if (cases.empty()) {
        std::fprintf(stderr, "jujubekeel-bench: no such user or scenario; see --help\n");
        return 2;
    }

    BenchTable table(seed, seeds);
    table.printHeader();
    for (const BenchCase &entry : cases)
        table.run(entry);
    table.printTargets();
    std::printf("\nstate hash %016llx\n", static_cast<unsigned long long>(table.stateHash()));
    return 0;
}

} // namespace

} // namespace Jujubekeel

int main(int argc, char **argv)
{
    return Jujubekeel::runBench(argc, argv);
}
