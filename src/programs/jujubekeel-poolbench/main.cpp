#include "programs/commandline/commandline.h"
#include "programs/jujubekeel-poolbench/failovertable.h"
#include "programs/jujubekeel-poolbench/pacetable.h"
#include "programs/jujubekeel-poolbench/placingtable.h"
#include "programs/jujubekeel-poolbench/sharingtable.h"
#include "virtualpool/poolfaults.h"

#include <cstdint>
#include <cstdio>
#include <optional>
#include <utility>

namespace {

using namespace Jujubekeel;

constexpr const char *usage = R"(Simulates entry instances, backend servers and the store in virtual time.

Usage:
  jujubekeel-poolbench random [--from=SEED] [--runs=N] [--relays] [--restored] [--sync] [--crashes]
      [--unlisted] [--returning] [--organisations] [--paced]
  jujubekeel-poolbench trace SEED [--relays] [--restored] [--sync] [--crashes]
      [--unlisted] [--returning] [--organisations] [--paced]
  jujubekeel-poolbench failover [--seeds=N]
  jujubekeel-poolbench sharing [--seeds=N]
  jujubekeel-poolbench pace [--seeds=N] [--load=TEXT]
  jujubekeel-poolbench placing [--seeds=N] [--plots=FOLDER]
  jujubekeel-poolbench (--help | --version)

Options:
  --from=SEED  first seed [default: 1]
  --runs=N     number of runs, one seed each [default: 200]
  --seeds=N    number of seeds for each row of the table [default: 10]
  --relays     nine instances: three are members, the others relay requests to them
  --restored   the store also returns from an older copy, once or twice in each run
  --crashes    the primary also crashes while an instance restarts and the replicas differ, once or twice in each run
  --unlisted   a replica also loses its directory entry but receives, the other one is behind, and the primary crashes
  --returning  the primary is also cut off and replaced, and returns before its successor, which crashes
  --sync       a commit is acknowledged when one replica has received it
  --organisations  the callers belong to 40 organisations
  --paced      the work for a server is limited by how it answers, and is queued by latency objective
  --load=TEXT  only loads whose name contains TEXT
  --plots=FOLDER  also write a plot of each load there, as SVG file
  -h --help    show this text
  --version    show the version

random: one to five faults in each run, all rules checked; exit status 1 if a rule was broken.
trace: the log lines, the faults and the broken rules of one run of `random`.
failover: a table of faults of the primary and of the store, for two lease durations.
sharing: a table of policies that choose the members for the work of an organisation.
pace: a table of bursts, of slow, cold, failing and flapping servers and of organisations, without and with adaptive
pacing and the queue order by latency objective.
placing: a table of rules that choose servers and members under uneven demand.
)";

struct RunOptions
{
    bool relays = false;
    bool restored = false;
    bool synchronous = false;
    bool crashes = false;
    bool unlisted = false;
    bool returning = false;
    bool organisations = false;
    bool paced = false;
};

/// More than the connections that one server accepts.
constexpr std::uint32_t organisationCount = 40;

PoolRunResult runSeed(std::uint64_t seed, const RunOptions &run)
{
    VirtualPoolOptions options = run.relays ? largeFleetOptions(seed) : VirtualPoolOptions{};
    options.group.syncReplicas = run.synchronous ? 1 : 0;
    options.organisations = run.organisations ? organisationCount : 0;
    options.pool.adaptivePacing = run.paced;
    options.pool.queueByObjective = run.paced;
    return runRandomFaults(seed, std::move(options),
                           {.restoredStore = run.restored,
                            .crashWithRestart = run.crashes,
                            .unlistedReplica = run.unlisted,
                            .returningPrimary = run.returning});
}

int runRandomSeeds(std::uint64_t from, std::uint64_t runs, const RunOptions &run)
{
    std::uint64_t failedRuns = 0;
    std::size_t operations = 0;
    std::size_t answered = 0;
    std::uint64_t promotions = 0;
    for (std::uint64_t seed = from; seed < from + runs; ++seed) {
        const PoolRunResult result = runSeed(seed, run);
        operations += result.operations;
        answered += result.answered;
        promotions += result.promotions;
        if (result.violations.empty())
            continue;
        failedRuns += 1;
        std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), result.violations.front().c_str());
    }
    std::printf("%llu runs from seed %llu: %llu with a broken rule; %zu operations, %zu answered, %llu promotions\n",
                static_cast<unsigned long long>(runs), static_cast<unsigned long long>(from),
                static_cast<unsigned long long>(failedRuns), operations, answered,
                static_cast<unsigned long long>(promotions));
    return failedRuns == 0 ? 0 : 1;
}

int traceRun(std::uint64_t seed, const RunOptions &run)
{
    const PoolRunResult result = runSeed(seed, run);
    for (const std::string &line : result.logLines)
        std::printf("%s\n", line.c_str());
    for (const std::string &violation : result.violations)
        std::printf("broken: %s\n", violation.c_str());
    return result.violations.empty() ? 0 : 1;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const CommandLine options(usage, "jujubekeel-poolbench 0.1.0", argumentCount, arguments);
    if (options.isGiven("failover")) {
        printFailoverTable(options.number("--seeds", 1, 1000));
        return 0;
    }
    if (options.isGiven("sharing")) {
        printSharingTable(options.number("--seeds", 1, 1000));
        return 0;
    }
    if (options.isGiven("pace")) {
        printPaceTable(options.number("--seeds", 1, 1000), options.text("--load"));
        return 0;
    }
    if (options.isGiven("placing")) {
        printPlacingTable(options.number("--seeds", 1, 1000),
                          options.isGiven("--plots") ? std::optional(options.text("--plots")) : std::nullopt);
        return 0;
    }
    const RunOptions run{.relays = options.isGiven("--relays"),
                         .restored = options.isGiven("--restored"),
                         .synchronous = options.isGiven("--sync"),
                         .crashes = options.isGiven("--crashes"),
                         .unlisted = options.isGiven("--unlisted"),
                         .returning = options.isGiven("--returning"),
                         .organisations = options.isGiven("--organisations"),
                         .paced = options.isGiven("--paced")};
    if (options.isGiven("trace"))
        return traceRun(options.number("SEED", 1, 1'000'000'000), run);
    return runRandomSeeds(options.number("--from", 1, 1'000'000'000), options.number("--runs", 1, 1'000'000), run);
}
