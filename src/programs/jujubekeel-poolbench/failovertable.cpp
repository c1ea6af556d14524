#include "programs/jujubekeel-poolbench/failovertable.h"

#include "virtualpool/poolworkload.h"
#include "virtualpool/virtualpool.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration warmUp = seconds(2);
constexpr Duration faultDelay = seconds(3); ///< from the start of the load
constexpr Duration loadTime = seconds(15);
constexpr Duration runTime = seconds(25); ///< from the fault
constexpr Duration storeOutage = milliseconds(4500);
constexpr std::uint32_t instanceCount = 6;

/// A fault and its name in the table.
struct FaultScenario
{
    std::string name;
    std::function<void(VirtualPool &pool)> apply;
};

/// Results of one run.
struct RunFigures
{
    Duration gap{0};                ///< longest time without an acknowledged write after the fault
    double unacknowledgedShare = 0; ///< of the writes, 0 to 1
    std::uint64_t replacements = 0;
    double storeCalls = 0; ///< per second
};

std::vector<FaultScenario> faultScenarios()
{
    const auto isolatePrimary = [](VirtualPool &pool, std::size_t from) {
        for (std::size_t instance = from; instance < instanceCount; ++instance)
            pool.isolateInstanceFromServer(instance, 0, true);
    };
    return {
        {.name = "none", .apply = [](VirtualPool &) {}},
        {.name = "primary crashes", .apply = [](VirtualPool &pool) { pool.stopServer(0); }},
        {.name = "primary goes dark", .apply = [isolatePrimary](VirtualPool &pool) { isolatePrimary(pool, 0); }},
        {.name = "primary cut off from 4 of 6",
         .apply = [isolatePrimary](VirtualPool &pool) { isolatePrimary(pool, 2); }},
        {.name = "primary leaves", .apply = [](VirtualPool &pool) { pool.setDraining(0); }},
        {.name = "primary and an instance crash",
         .apply =
             [](VirtualPool &pool) {
                 pool.killInstance(5);
                 pool.stopServer(0);
             }},
        {.name = "store away 4.5 s",
         .apply =
             [](VirtualPool &pool) {
                 pool.setStoreAvailable(false);
                 pool.at(storeOutage, [&pool] { pool.setStoreAvailable(true); });
             }},
        {.name = "store away 9 s for 2 of 6",
         .apply =
             [](VirtualPool &pool) {
                 for (std::size_t instance = 0; instance < 2; ++instance) {
                     pool.setStoreReachable(instance, false);
                     pool.at(2 * storeOutage, [&pool, instance] { pool.setStoreReachable(instance, true); });
                 }
             }},
    };
}

RunFigures measureRun(const FaultScenario &scenario, Duration lease, std::uint64_t seed)
{
    VirtualPoolOptions options{.instances = instanceCount, .seed = seed};
    options.pool.authorityLease = lease;
    VirtualPool pool(options);
    PoolWorkload workload(pool, {.callers = 24, .seed = seed});
    pool.run(warmUp);
    const TimePoint start = pool.now();
    const std::uint64_t callsBefore = pool.store().calls;
    workload.start(start + loadTime);
    pool.run(faultDelay);
    scenario.apply(pool);
    pool.run(runTime);

    RunFigures figures{.gap = workload.longestWriteGap(start + faultDelay, start + loadTime),
                       .replacements = pool.promotions()};
    std::size_t writes = 0;
    std::size_t acknowledged = 0;
    for (const PoolOperation &operation : workload.operations()) {
        writes += operation.writes.empty() ? 0 : 1;
        acknowledged += operation.acknowledged ? 1 : 0;
    }
    figures.unacknowledgedShare =
        writes == 0 ? 0 : 1.0 - static_cast<double>(acknowledged) / static_cast<double>(writes);
    const double span = std::chrono::duration<double>(faultDelay + runTime).count();
    figures.storeCalls = static_cast<double>(pool.store().calls - callsBefore) / span;
    return figures;
}

} // namespace

void printFailoverTable(std::uint64_t seeds)
{
    std::printf("| lease ms | trouble | gap median ms | gap worst ms | writes not acknowledged %% | replacements | "
                "store calls/s |\n|---|---|---|---|---|---|---|\n");
    for (const Duration lease : std::array<Duration, 2>{milliseconds(2000), milliseconds(6000)}) {
        for (const FaultScenario &scenario : faultScenarios()) {
            std::vector<Duration> gaps;
            double unacknowledgedShare = 0;
            double storeCallRate = 0;
            std::uint64_t replacements = 0;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                const RunFigures figures = measureRun(scenario, lease, seed);
                gaps.push_back(figures.gap);
                unacknowledgedShare += figures.unacknowledgedShare;
                storeCallRate += figures.storeCalls;
                replacements += figures.replacements;
            }
            std::sort(gaps.begin(), gaps.end());
            const auto count = static_cast<double>(seeds);
            std::printf("| %lld | %s | %lld | %lld | %.2f | %.1f | %.1f |\n",
                        static_cast<long long>(lease.count() / 1000), scenario.name.c_str(),
                        static_cast<long long>(gaps[gaps.size() / 2].count() / 1000),
                        static_cast<long long>(gaps.back().count() / 1000), 100 * unacknowledgedShare / count,
                        static_cast<double>(replacements) / count, storeCallRate / count);
        }
    }
}

} // namespace Jujubekeel
