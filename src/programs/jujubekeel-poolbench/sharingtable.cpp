#include "programs/jujubekeel-poolbench/sharingtable.h"

#include "virtualpool/organisationworkload.h"
#include "virtualpool/poolfaults.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <string_view>
#include <vector>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration warmUp = seconds(4); ///< until the members are known and leadership is verified
constexpr Duration loadTime = seconds(30);
constexpr Duration settleTime = seconds(3);
/// Operations per second at one of eight groups of servers, of 807 in all.
constexpr double operationRate = 101;
/// Smallest latency objective of the routes.
constexpr Duration objective = milliseconds(250);

struct Load
{
    const char *name = nullptr;
    double rate = operationRate;
    double surgeFactor = 1; ///< of the largest organisation
};

struct Policy
{
    const char *name = nullptr;
    MemberAffinity affinity = MemberAffinity::None;
};

/// Sums over the seeds.
struct SharingFigures
{
    std::size_t operations = 0;
    std::size_t inTime = 0;
    double worstTenth = 0;       ///< share of operations in time, mean of the worst tenth of the organisations
    std::vector<Duration> waits; ///< of statements that had to wait for a new connection
    double connections = 0;
    VirtualTraffic traffic;
};

void measureRun(const Policy &policy, const Load &load, std::uint64_t seed, SharingFigures &figures)
{
    VirtualPoolOptions options = organisationFleetOptions(seed);
    options.pool.memberAffinity = policy.affinity;
    VirtualPool pool(std::move(options));
    OrganisationWorkload workload(pool, {.rate = load.rate, .surgeFactor = load.surgeFactor, .seed = seed});
    pool.run(warmUp);
    const std::uint64_t connectionsBefore = pool.group().handshakes();
    const VirtualTraffic before = pool.traffic();
    workload.start(pool.now() + loadTime);
    pool.run(loadTime + settleTime);

    figures.connections += static_cast<double>(pool.group().handshakes() - connectionsBefore);
    figures.traffic.betweenDomains += pool.traffic().betweenDomains - before.betweenDomains;
    figures.traffic.betweenRegions += pool.traffic().betweenRegions - before.betweenRegions;
    std::map<std::string_view, TimePoint> startOf;
    std::vector<std::pair<std::size_t, std::size_t>> counts(pool.organisationCount()); ///< in time, and all
    for (const OrganisationOperation &operation : workload.operations()) {
        startOf[operation.id] = operation.startedAt;
        const bool inTime =
            operation.endedAt.count() != 0 && !operation.error && operation.endedAt - operation.startedAt <= objective;
        figures.operations += 1;
        figures.inTime += inTime ? 1 : 0;
        counts[operation.organisation].first += inTime ? 1 : 0;
        counts[operation.organisation].second += 1;
    }
    for (const GroupHistory::Run &run : pool.group().history().runs) {
        if (run.isFirst && startOf.contains(run.id))
            figures.waits.push_back(run.receivedAt - startOf[run.id]);
    }
    std::vector<double> shares;
    for (const auto &[inTime, all] : counts) {
        if (all > 0)
            shares.push_back(static_cast<double>(inTime) / static_cast<double>(all));
    }
    std::sort(shares.begin(), shares.end());
    shares.resize(std::max<std::size_t>(1, shares.size() / 10));
    double sum = 0;
    for (const double share : shares)
        sum += share;
    figures.worstTenth += sum / static_cast<double>(shares.size());
}

double percentile(const std::vector<Duration> &sorted, std::size_t percent)
{
    if (sorted.empty())
        return 0;
    return static_cast<double>(sorted[(sorted.size() - 1) * percent / 100].count()) / 1000;
}

} // namespace

void printSharingTable(std::uint64_t seeds)
{
    std::printf("| load | members | wait for a connection %% | wait p50 ms | wait p99 ms | new connections/s | "
                "in time %% | worst tenth %% | messages/s between domains | between regions |\n"
                "|---|---|---|---|---|---|---|---|---|---|\n");
    constexpr std::array<Policy, 3> policies{{{.name = "any", .affinity = MemberAffinity::None},
                                              {.name = "preferred, own region", .affinity = MemberAffinity::Region},
                                              {.name = "preferred, whole fleet", .affinity = MemberAffinity::Fleet}}};
    constexpr std::array<Load, 3> loads{{{.name = "usual"},
                                         {.name = "the largest sends 7 times", .surgeFactor = 7},
                                         {.name = "all send 3 times", .rate = 3 * operationRate}}};
    for (const Load &load : loads) {
        for (const Policy &policy : policies) {
            SharingFigures figures;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed)
                measureRun(policy, load, seed, figures);
            std::sort(figures.waits.begin(), figures.waits.end());
            const auto operations = static_cast<double>(figures.operations);
            const double span = std::chrono::duration<double>(loadTime).count() * static_cast<double>(seeds);
            std::printf("| %s | %s | %.1f | %.1f | %.1f | %.1f | %.2f | %.1f | %.0f | %.0f |\n", load.name, policy.name,
                        100 * static_cast<double>(figures.waits.size()) / operations, percentile(figures.waits, 50),
                        percentile(figures.waits, 99), figures.connections / span,
                        100 * static_cast<double>(figures.inTime) / operations,
                        100 * figures.worstTenth / static_cast<double>(seeds),
                        static_cast<double>(figures.traffic.betweenDomains) / span,
                        static_cast<double>(figures.traffic.betweenRegions) / span);
        }
    }
}

} // namespace Jujubekeel
