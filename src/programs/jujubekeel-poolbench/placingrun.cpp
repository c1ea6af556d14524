#include "programs/jujubekeel-poolbench/placingrun.h"

#include <algorithm>
#include <numeric>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The members have found the servers by then.
constexpr Duration warmUp = seconds(3);
constexpr Duration loadTime = seconds(22);  ///< two periods of the swing
constexpr Duration faultDelay = seconds(5); ///< from the start of the load
constexpr Duration faultTime = seconds(6);
constexpr Duration cutTime = seconds(12);
constexpr Duration objective = milliseconds(250);
constexpr double swing = 0.55;
constexpr std::uint32_t groups = 6;
constexpr std::uint32_t servers = 3; ///< of a group
constexpr std::uint32_t domains = 6; ///< two in each region
constexpr std::uint32_t members = 12;
constexpr std::uint32_t instances = 36;
/// Operations per second: about half of what the servers can do. The work for primaries is at 0.6 of what they can do.
constexpr double rate = 3000;
constexpr double burstFactor = 1.8;    ///< the primaries can do the work that only they can
constexpr double largeBurstFactor = 2; ///< that work is as much as the primaries can do
constexpr Duration reportInterval = milliseconds(100);
/// Every third instance is cut off: a third of each domain.
constexpr std::size_t cutEvery = 3;
constexpr Duration noticeDelay = seconds(1); ///< until callers no longer use instances that are cut off

VirtualPoolOptions fleetOptions(const PlacingPolicy &policy, std::uint64_t seed)
{
    VirtualPoolOptions options{.instances = instances, .relays = true, .seed = seed};
    options.instanceDomains = {"d0", "d1", "d2", "d3", "d4", "d5"};
    options.regionOf = {{"d0", "r0"}, {"d1", "r0"}, {"d2", "r1"}, {"d3", "r1"}, {"d4", "r2"}, {"d5", "r2"}};
    options.farDelay = std::chrono::microseconds(900);
    options.regionDelay = milliseconds(8);
    options.group.domains = {"d0", "d2", "d4"};
    options.group.slots = 4;
    options.group.queueLimit = 32;
    options.group.connectionLimit = 46;
    for (std::uint32_t index = 1; index < groups; ++index) {
        options.furtherGroups.push_back(options.group);
        StatementGroupOptions &group = options.furtherGroups.back();
        group.service = "records" + std::to_string(index);
        // The first server is the primary: four primaries in d0, one each in d2 and d4.
        const std::size_t first = index < groups - 2 ? 0 : index - (groups - 3);
        std::rotate(group.domains.begin(), group.domains.begin() + static_cast<std::ptrdiff_t>(first),
                    group.domains.end());
    }
    options.pool.minMembers = members;
    options.pool.maxMembers = members;
    options.pool.placement = policy.rule;
    options.pool.primaryReadFactor = policy.primaryFactor;
    options.pool.loadReportAge = 3 * reportInterval;
    return options;
}

bool isCutOff(std::size_t instance)
{
    return instance / domains % cutEvery == 0;
}

void cutOff(VirtualPool &pool, bool cut)
{
    for (std::size_t instance = 0; instance < pool.instanceCount(); ++instance) {
        if (!isCutOff(instance))
            continue;
        pool.setStoreReachable(instance, !cut);
        for (std::size_t other = 0; other < pool.instanceCount(); ++other) {
            if (!isCutOff(other))
                pool.isolateInstances(instance, other, cut);
        }
        for (std::size_t server = 0; server < std::size_t{groups} * servers; ++server)
            pool.isolateInstanceFromServer(instance, server, cut);
    }
}

void avoidCutOff(UnevenLoad &load, bool cut)
{
    for (std::size_t instance = 0; instance < instances; ++instance) {
        if (isCutOff(instance))
            load.setAvoided(instance, cut);
    }
}

/// Members report to each other until the end of the run.
void exchangeReports(VirtualPool &pool, const PlacingPolicy &policy, SeededRandom &random)
{
    const auto isMember = [&](std::size_t instance) {
        return pool.core(instance) != nullptr && pool.core(instance)->state().role == FleetRole::Member;
    };
    for (std::size_t from = 0; from < pool.instanceCount(); ++from) {
        for (std::size_t to = 0; isMember(from) && to < pool.instanceCount(); ++to) {
            if (to == from || !isMember(to) || random.chance(policy.lostPercent))
                continue;
            pool.at(policy.reportDelay, [&pool, from, to] { pool.reportLoads(from, to); });
        }
    }
    pool.at(reportInterval, [&pool, &policy, &random] { exchangeReports(pool, policy, random); });
}

/// Busiest server against the mean of all, in each second, by the statements that it received.
double busiestAgainstMean(VirtualPool &pool, const UnevenLoad &load, TimePoint start, bool withPrimaryOnly)
{
    std::vector<std::vector<double>> received(static_cast<std::size_t>(loadTime / seconds(1)),
                                              std::vector<double>(std::size_t{groups} * servers));
    for (std::size_t group = 0; group < pool.groupCount(); ++group) {
        for (const GroupHistory::Run &run : pool.group(group).history().runs) {
            const UnevenLoad::Operation *operation = load.find(run.id);
            const auto second = static_cast<std::size_t>((run.receivedAt - start) / seconds(1));
            if (operation != nullptr && second < received.size() && (withPrimaryOnly || !operation->primaryOnly))
                received[second][group * servers + run.server] += 1;
        }
    }
    double sum = 0;
    for (const std::vector<double> &counts : received) {
        const double total = std::accumulate(counts.begin(), counts.end(), 0.0);
        if (total > 0)
            sum += *std::max_element(counts.begin(), counts.end()) * static_cast<double>(counts.size()) / total;
    }
    return sum / static_cast<double>(received.size());
}

std::function<void(VirtualPool &pool, UnevenLoad &load)> burst(double factor)
{
    return [factor](VirtualPool &pool, UnevenLoad &load) {
        load.setRateFactor(factor);
        pool.at(faultTime, [&load] { load.setRateFactor(1); });
    };
}

} // namespace

std::vector<PlacingScenario> placingScenarios()
{
    const auto cutOffForAWhile = [](VirtualPool &pool, UnevenLoad &load) {
        cutOff(pool, true);
        pool.at(noticeDelay, [&load] { avoidCutOff(load, true); });
        pool.at(cutTime, [&pool] { cutOff(pool, false); });
        pool.at(cutTime + noticeDelay, [&load] { avoidCutOff(load, false); });
    };
    return {
        {.name = "even demand", .file = "even", .apply = [](VirtualPool &, UnevenLoad &) {}},
        {.name = "swing", .file = "swing", .swing = swing, .apply = [](VirtualPool &, UnevenLoad &) {}},
        {.name = "swing, one replica 8 times slower",
         .file = "slow",
         .swing = swing,
         .apply =
             [](VirtualPool &pool, UnevenLoad &) {
                 pool.group().setImpairment(1, {.workPercent = 800});
                 pool.at(faultTime, [&pool] { pool.group().setImpairment(1, {}); });
             }},
        {.name = "swing, a third cut off", .file = "cut", .swing = swing, .apply = cutOffForAWhile},
        {.name = "the same, and one replica fails everything",
         .file = "cut-failing",
         .swing = swing,
         .apply =
             [cutOffForAWhile](VirtualPool &pool, UnevenLoad &load) {
                 cutOffForAWhile(pool, load);
                 pool.group().setImpairment(1, {.failedPercent = 100});
                 pool.at(cutTime, [&pool] { pool.group().setImpairment(1, {}); });
             }},
        {.name = "swing, burst", .file = "burst", .swing = swing, .apply = burst(burstFactor)},
        {.name = "swing, larger burst", .file = "large-burst", .swing = swing, .apply = burst(largeBurstFactor)},
    };
}

std::vector<PlacingPolicy> placingPolicies()
{
    return {
        {.name = "present rule"},
        {.name = "present rule, primary counts 3 times", .primaryFactor = 3},
        {.name = "present rule, primary counts 4 times", .primaryFactor = 4},
        {.name = "others in flight", .rule = PlacementRule::OthersInFlight},
        {.name = "the same, half of the reports lost", .rule = PlacementRule::OthersInFlight, .lostPercent = 50},
        {.name = "the same, reports 250 ms late",
         .rule = PlacementRule::OthersInFlight,
         .reportDelay = milliseconds(250)},
        {.name = "others in flight, per slot", .rule = PlacementRule::OthersPerSlot},
        {.name = "two choices", .rule = PlacementRule::TwoChoices},
        {.name = "proportional to speed", .rule = PlacementRule::Proportional},
    };
}

void measurePlacing(const PlacingScenario &scenario, const PlacingPolicy &policy, std::uint64_t seed,
                    PlacingFigures &figures)
{
    VirtualPool pool(fleetOptions(policy, seed));
    UnevenLoad load(pool, {.rate = rate, .swing = scenario.swing, .seed = seed});
    SeededRandom reportRandom(seed * 31 + 7);
    pool.run(warmUp);
    if (policy.rule == PlacementRule::OthersInFlight || policy.rule == PlacementRule::OthersPerSlot)
        exchangeReports(pool, policy, reportRandom);
    const TimePoint start = pool.now();
    load.start(start + loadTime);
    pool.run(faultDelay);
    scenario.apply(pool, load);
    pool.run(loadTime - faultDelay + seconds(5));

    for (std::size_t group = 0; group < pool.groupCount(); ++group) {
        for (std::size_t server = 0; server < servers; ++server)
            figures.rejections += static_cast<double>(pool.group(group).tally(server).rejected);
    }
    figures.busiest += busiestAgainstMean(pool, load, start, true);
    figures.busiestOfReads += busiestAgainstMean(pool, load, start, false);
    figures.bySecond.resize(static_cast<std::size_t>(loadTime / seconds(1)));
    for (const UnevenLoad::Operation &operation : load.operations()) {
        figures.sent += 1;
        if (operation.endedAt.count() != 0 && !operation.error) {
            const Duration took = operation.endedAt - operation.sentAt;
            figures.durations.push_back(took);
            if (operation.group == 0)
                figures.firstGroup.push_back(took);
            figures.bySecond.at(static_cast<std::size_t>((operation.sentAt - start) / seconds(1))).push_back(took);
            (took <= objective ? figures.inTime : figures.late) += 1;
        } else if (operation.error == OutcomeCode::Busy || operation.error == OutcomeCode::Overload) {
            figures.refused += 1;
        } else {
            figures.errors += 1;
        }
    }
}

} // namespace Jujubekeel
