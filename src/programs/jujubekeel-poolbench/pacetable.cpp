#include "programs/jujubekeel-poolbench/pacetable.h"

#include "virtualpool/openloopload.h"
#include "virtualpool/organisationworkload.h"
#include "virtualpool/poolfaults.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Impairment = StatementGroup::Impairment;

/// The members have found the servers and their windows by then.
constexpr Duration warmUp = seconds(3);
constexpr Duration loadTime = seconds(20);
constexpr Duration faultDelay = seconds(5); ///< from the start of the load
constexpr Duration faultTime = seconds(6);
/// From the end of the fault: window in which rejections and errors of the returned server are counted.
constexpr Duration returnTime = seconds(4);
constexpr Duration objective = milliseconds(250);
constexpr std::uint32_t members = 15; ///< divisible by the failure domains
constexpr std::uint32_t shortQueue = 4;
constexpr std::uint32_t relayingInstances = 4;
constexpr double organisationSurge = 7;
constexpr std::uint32_t organisationQueue = 32;
/// Operations per second at one group of servers.
constexpr double usualOrganisationRate = 101;
/// Sum of the rate limits: high enough that no organisation reaches its own.
constexpr double noRateLimit = 100'000;
constexpr std::size_t faultyReplica = 1;
constexpr std::size_t serverCount = 3;

struct PaceScenario
{
    std::string name;
    std::function<void(VirtualPool &pool, OpenLoopLoad &load)> apply;
    bool oneServer = true; ///< the fault concerns faultyReplica
    std::uint32_t queueLimit = StatementGroupOptions{}.queueLimit;
    double organisationRate = 0; ///< operations per second of many organisations; 0: the load names none
};

/// One of the combinations that are compared.
struct PacePolicy
{
    bool paced = false;
    bool byObjective = false; ///< PoolOptions::queueByObjective
};

/// How one statement ended.
struct Ending
{
    Duration took{0};
    bool ended = false;
    std::optional<OutcomeCode> error;
};

std::function<void(VirtualPool &pool, OpenLoopLoad &load)> impair(std::size_t server, Impairment impairment)
{
    return [server, impairment](VirtualPool &pool, OpenLoopLoad &) {
        pool.group().setImpairment(server, impairment);
        pool.at(faultTime, [&pool, server] { pool.group().setImpairment(server, {}); });
    };
}

std::function<void(VirtualPool &pool, OpenLoopLoad &load)> burst(std::uint32_t percent)
{
    return [percent](VirtualPool &pool, OpenLoopLoad &load) {
        load.setRatePercent(percent);
        pool.at(faultTime, [&load] { load.setRatePercent(100); });
    };
}

std::vector<PaceScenario> paceScenarios()
{
    const Impairment broken{.failedPercent = 100};
    return {
        {.name = "none", .apply = [](VirtualPool &, OpenLoopLoad &) {}, .oneServer = false},
        {.name = "burst, 1.6 times the load", .apply = burst(160), .oneServer = false},
        {.name = "the same, short queues of the servers",
         .apply = burst(160),
         .oneServer = false,
         .queueLimit = shortQueue},
        {.name = "burst, 2.5 times the load", .apply = burst(250), .oneServer = false},
        {.name = "replica half as fast", .apply = impair(faultyReplica, {.workPercent = 200})},
        {.name = "replica 8 times slower", .apply = impair(faultyReplica, {.workPercent = 800})},
        {.name = "replica restarts cold",
         .apply =
             [](VirtualPool &pool, OpenLoopLoad &) {
                 pool.stopServer(faultyReplica);
                 pool.at(seconds(2), [&pool] {
                     pool.startServer(faultyReplica);
                     pool.group().setImpairment(faultyReplica, {.workPercent = 1000});
                 });
                 for (std::uint32_t step = 1; step <= 9; ++step)
                     pool.at(seconds(2) + step * (faultTime - seconds(2)) / 9, [&pool, step] {
                         pool.group().setImpairment(faultyReplica, {.workPercent = 1000 - 100 * step});
                     });
             }},
        {.name = "replica crashes and returns",
         .apply =
             [](VirtualPool &pool, OpenLoopLoad &) {
                 pool.stopServer(faultyReplica);
                 pool.at(faultTime, [&pool] { pool.startServer(faultyReplica); });
             }},
        {.name = "replica fails everything", .apply = impair(faultyReplica, broken)},
        {.name = "replica fails 40 %", .apply = impair(faultyReplica, {.failedPercent = 40})},
        {.name = "replica hangs", .apply = impair(faultyReplica, {.hangs = true})},
        {.name = "replica flaps every 1.4 s",
         .apply =
             [broken](VirtualPool &pool, OpenLoopLoad &) {
                 for (Duration at{0}; at < faultTime; at += milliseconds(2800)) {
                     pool.at(at, [&pool, broken] { pool.group().setImpairment(faultyReplica, broken); });
                     pool.at(at + milliseconds(1400), [&pool] { pool.group().setImpairment(faultyReplica, {}); });
                 }
             }},
        {.name = "primary fails everything", .apply = impair(0, broken), .oneServer = false},
        {.name = "86 organisations, the largest sends 7 times",
         .apply = [](VirtualPool &, OpenLoopLoad &) {},
         .oneServer = false,
         .queueLimit = organisationQueue,
         .organisationRate = usualOrganisationRate},
        {.name = "86 organisations at twice their load, the largest sends 7 times that",
         .apply = [](VirtualPool &, OpenLoopLoad &) {},
         .oneServer = false,
         .queueLimit = organisationQueue,
         .organisationRate = 2 * usualOrganisationRate},
        {.name = "86 organisations at twice their load, the largest 7 times, short queues",
         .apply = [](VirtualPool &, OpenLoopLoad &) {},
         .oneServer = false,
         .queueLimit = shortQueue,
         .organisationRate = 2 * usualOrganisationRate},
    };
}

/// Results of one run, or their sums.
struct PaceFigures
{
    double sent = 0;
    double inTime = 0;
    double late = 0;
    double refused = 0;        ///< Busy or Overload
    double errors = 0;         ///< any other error, or no answer
    double rejections = 0;     ///< by the servers
    double failures = 0;       ///< of statements at the servers
    double handshakes = 0;     ///< connections that the servers accepted
    double returnSent = 0;     ///< to the returned server in returnTime
    double returnRejected = 0; ///< of these, rejected or failed
    double imbalance = 0;      ///< busiest server against the mean, by answered statements
    std::vector<Duration> durations;
};

VirtualPoolOptions fleetOptions(const PaceScenario &scenario, const PacePolicy &policy, std::uint64_t seed)
{
    VirtualPoolOptions options{.instances = members + relayingInstances, .relays = true, .seed = seed};
    if (scenario.organisationRate > 0) {
        options = organisationFleetOptions(seed);
        options.organisationRate = noRateLimit;
    } else {
        options.group.slots = 4;
        options.group.connectionLimit = 56;
        options.pool.minMembers = members;
        options.pool.maxMembers = members;
    }
    options.latencyObjective = objective;
    options.group.queueLimit = scenario.queueLimit;
    options.pool.adaptivePacing = policy.paced;
    options.pool.queueByObjective = policy.byObjective;
    return options;
}

double answered(const StatementGroup::Tally &tally)
{
    return static_cast<double>(tally.received - tally.rejected - tally.failed);
}

/// Sends the load of single statements, and applies the fault.
std::vector<Ending> runStatements(VirtualPool &pool, const PaceScenario &scenario, PaceFigures &figures,
                                  std::uint64_t seed)
{
    OpenLoopLoad load(pool, {.seed = seed});
    pool.run(warmUp);
    load.start(pool.now() + loadTime);
    pool.run(faultDelay);
    scenario.apply(pool, load);
    pool.run(faultTime);
    const StatementGroup::Tally before = pool.group().tally(faultyReplica);
    pool.run(returnTime);
    const StatementGroup::Tally after = pool.group().tally(faultyReplica);
    pool.run(loadTime - faultDelay - faultTime - returnTime + seconds(5));
    figures.returnSent = static_cast<double>(after.received - before.received);
    figures.returnRejected = static_cast<double>(after.rejected + after.failed - before.rejected - before.failed);
    std::vector<Ending> endings;
    for (const OpenLoopLoad::Sample &sample : load.samples())
        endings.push_back({.took = sample.took, .ended = sample.ended, .error = sample.error});
    return endings;
}

/// Sends the load of many organisations, one of which sends more for faultTime.
std::vector<Ending> runOrganisations(VirtualPool &pool, const PaceScenario &scenario, std::uint64_t seed)
{
    OrganisationWorkload load(pool, {.rate = scenario.organisationRate,
                                     .surgeFactor = organisationSurge,
                                     .surgeAfter = faultDelay,
                                     .surgeTime = faultTime,
                                     .seed = seed});
    pool.run(warmUp);
    load.start(pool.now() + loadTime);
    pool.run(loadTime + seconds(5));
    std::vector<Ending> endings;
    for (const OrganisationOperation &operation : load.operations())
        endings.push_back({.took = operation.endedAt - operation.startedAt,
                           .ended = operation.endedAt.count() != 0,
                           .error = operation.error});
    return endings;
}

PaceFigures measureRun(const PaceScenario &scenario, const PacePolicy &policy, std::uint64_t seed)
{
    VirtualPool pool(fleetOptions(scenario, policy, seed));
    PaceFigures figures;
    const std::vector<Ending> endings = scenario.organisationRate > 0 ? runOrganisations(pool, scenario, seed)
                                                                      : runStatements(pool, scenario, figures, seed);
    double total = 0;
    double busiest = 0;
    for (std::size_t server = 0; server < serverCount; ++server) {
        const StatementGroup::Tally &tally = pool.group().tally(server);
        figures.rejections += static_cast<double>(tally.rejected);
        figures.failures += static_cast<double>(tally.failed);
        total += answered(tally);
        busiest = std::max(busiest, answered(tally));
    }
    figures.handshakes = static_cast<double>(pool.group().handshakes());
    figures.imbalance = total == 0 ? 0 : busiest * static_cast<double>(serverCount) / total;
    for (const Ending &ending : endings) {
        figures.sent += 1;
        if (ending.ended && !ending.error) {
            figures.durations.push_back(ending.took);
            (ending.took <= objective ? figures.inTime : figures.late) += 1;
        } else if (ending.error == OutcomeCode::Busy || ending.error == OutcomeCode::Overload) {
            figures.refused += 1;
        } else {
            figures.errors += 1;
        }
    }
    return figures;
}

PaceFigures measure(const PaceScenario &scenario, const PacePolicy &policy, std::uint64_t seeds)
{
    PaceFigures sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const PaceFigures run = measureRun(scenario, policy, seed);
        sum.sent += run.sent;
        sum.inTime += run.inTime;
        sum.late += run.late;
        sum.refused += run.refused;
        sum.errors += run.errors;
        sum.rejections += run.rejections;
        sum.failures += run.failures;
        sum.returnSent += run.returnSent;
        sum.returnRejected += run.returnRejected;
        sum.handshakes += run.handshakes;
        sum.imbalance += run.imbalance / static_cast<double>(seeds);
        sum.durations.insert(sum.durations.end(), run.durations.begin(), run.durations.end());
    }
    std::sort(sum.durations.begin(), sum.durations.end());
    return sum;
}

double percentileMs(const std::vector<Duration> &sorted, std::size_t percent)
{
    return sorted.empty() ? 0 : static_cast<double>(sorted[(sorted.size() - 1) * percent / 100].count()) / 1000;
}

} // namespace

void printPaceTable(std::uint64_t seeds, const std::string &loadName)
{
    constexpr std::array<PacePolicy, 4> policies{{{.paced = false, .byObjective = false},
                                                  {.paced = false, .byObjective = true},
                                                  {.paced = true, .byObjective = false},
                                                  {.paced = true, .byObjective = true}}};
    std::printf(
        "| load | pacing | order | sent | in time %% | late | refused | errors | rejected by servers | failed at "
        "servers "
        "| connections | p50 ms | p99 ms | busiest / mean | sent after return | rejected or failed of these %% |\n"
        "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const PaceScenario &scenario : paceScenarios()) {
        if (scenario.name.find(loadName) == std::string::npos)
            continue;
        for (const PacePolicy &policy : policies) {
            const PaceFigures figures = measure(scenario, policy, seeds);
            std::printf("| %s | %s | %s | %.0f | %.2f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.2f |",
                        scenario.name.c_str(), policy.paced ? "on" : "off",
                        policy.byObjective ? "objective" : "arrival", figures.sent,
                        100 * figures.inTime / std::max(figures.sent, 1.0), figures.late, figures.refused,
                        figures.errors, figures.rejections, figures.failures, figures.handshakes,
                        percentileMs(figures.durations, 50), percentileMs(figures.durations, 99), figures.imbalance);
            if (scenario.oneServer)
                std::printf(" %.0f | %.2f |\n", figures.returnSent,
                            100 * figures.returnRejected / std::max(figures.returnSent, 1.0));
            else
                std::printf(" | |\n");
        }
    }
}

} // namespace Jujubekeel
