#include "catalog/tablechanges.h"
#include "catalog/tabledigest.h"
#include "organisations/organisationtable.h"
#include "pool/feedupdate.h"
#include "programs/commandline/commandline.h"
#include "storedecoder.h"
#include "virtualpool/poolfaults.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace Jujubekeel;

constexpr const char *usage =
    R"(Measures what a change of the configuration costs: processor time of each step, and bytes that members report.

Usage:
  jujubekeel-configbench [--routes=N] [--organisations=N] [--runs=N]
  jujubekeel-configbench (--help | --version)

Options:
  --routes=N         routes of the large configuration [default: 1029]
  --organisations=N  organisations, with three keys each [default: 86]
  --runs=N           runs of each step, of which the median is printed [default: 101]
  -h --help          show this text
  --version          show the version
)";

/// Routes of the configuration before it grows.
constexpr std::uint32_t routesBefore = 68;
constexpr std::uint32_t serviceCount = 8;
/// More than any configuration here; no text is left out.
constexpr std::size_t textLimit = std::size_t{64} * 1024 * 1024;

/// The configuration as the store sends it in an answer to a watch.
std::string makeStoreAnswer(std::uint64_t version, std::uint32_t routes, std::uint32_t organisations)
{
    nlohmann::json spec{{"Version", version}, {"Limits", {{"TxIdleMs", 3000}}}};
    for (std::uint32_t index = 0; index < routes; ++index) {
        // Names without a common pattern, which compress as badly as real ones.
        const std::string name = KeyDigest::ofKey("route" + std::to_string(index)).toHex();
        spec["Routes"].push_back({{"Name", "r-" + name.substr(0, 12)},
                                  {"Host", name.substr(12, 14)},
                                  {"Kind", index % 3 == 0 ? "primary" : "bounded_stale"},
                                  {"MaxStalenessMs", 1500},
                                  {"TimeoutMs", index % 3 == 0 ? 800 : 1500},
                                  {"GoalMs", 250 + 250 * (index % 2)},
                                  {"Priority", index % 3},
                                  {"Public", false},
                                  {"Service", "service" + std::to_string(index % serviceCount)}});
    }
    for (std::uint32_t index = 0; index < serviceCount; ++index)
        spec["Services"].push_back(
            {{"Name", "service" + std::to_string(index)}, {"MaxConns", 56}, {"SyncReplicas", 1}});
    for (std::uint32_t index = 0; index < organisations; ++index) {
        const std::string name = "organisation" + std::to_string(index);
        spec["Tenants"].push_back({{"Name", name},
                                   {"Priority", index % 3},
                                   {"RatePerS", 12.5 + index},
                                   {"Burst", 20},
                                   {"ApiKeys", {name + "-a", name + "-b", name + "-c"}}});
    }
    return nlohmann::json{
        {"events", {{{"Object", {{"meta", {{"Name", "main"}, {"Revision", version}}}, {"spec", spec}}}}}},
        {"CurrentRev", version}}
        .dump();
}

std::shared_ptr<const RouteTable> decodeAnswer(const std::string &answer)
{
    FailureReason reason;
    std::vector<std::string> skipped;
    const auto page = decodeStorePage(answer, reason);
    auto routes = page ? decodeRoutes(page->objects.front(), reason, skipped) : nullptr;
    if (!routes)
        CommandLine::fail(reason.text());
    return routes;
}

/// Prints the median of the processor times of \a work.
void measure(std::uint32_t runs, const char *name, std::size_t bytes, const std::function<void()> &work)
{
    std::vector<double> times;
    for (std::uint32_t run = 0; run < runs; ++run) {
        const std::clock_t start = std::clock();
        work();
        times.push_back(1000.0 * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC);
    }
    std::sort(times.begin(), times.end());
    std::printf("| %-55s | %9zu | %9.2f |\n", name, bytes, times[times.size() / 2]);
}

void measureReports(std::uint32_t runs, const char *name, const FeedUpdate &update)
{
    for (const bool compressed : {false, true}) {
        const std::string label = std::string(name) + (compressed ? ", compressed" : "");
        const std::string text = update.toTextWith(update.tablesText(textLimit, compressed));
        measure(runs, ("encode: " + label).c_str(), text.size(),
                [&] { static_cast<void>(update.tablesText(textLimit, compressed)); });
        measure(runs, ("decode: " + label).c_str(), text.size(), [&] {
            const auto decoded = FeedUpdate::fromText(text);
            if (!decoded)
                CommandLine::fail("a report cannot be decoded");
        });
    }
}

FeedUpdate makeDifference(const RouteTable &earlier, const RouteTable &later)
{
    return {.routeDifference = std::make_shared<const RouteDifference>(RouteDifference::make(
                earlier.version(), TableChanges::between(earlier, later), later, digestOf(later)))};
}

void run(std::uint32_t routes, std::uint32_t organisations, std::uint32_t runs)
{
    const std::string before = makeStoreAnswer(1, routesBefore, organisations);
    const std::string answer = makeStoreAnswer(2, routes, organisations);
    const auto small = decodeAnswer(before);
    const auto large = decodeAnswer(answer);
    auto changed = std::make_shared<RouteTable>(3, *large);
    Route route = *large->allRoutes().begin()->second;
    route.priority += 1;
    changed->addRoute(std::move(route));
    std::printf("%u routes, %u organisations\n\n| Step | Bytes | CPU, ms |\n|---|---|---|\n", routes, organisations);

    measure(runs, "decode the store's answer: page", answer.size(), [&] {
        FailureReason reason;
        static_cast<void>(decodeStorePage(answer, reason));
    });
    measure(runs, "decode the store's answer: page and configuration", answer.size(),
            [&] { static_cast<void>(decodeAnswer(answer)); });
    measure(runs, "digests of the tables", 0, [&] {
        static_cast<void>(digestOf(*large));
        static_cast<void>(digestOf(*large->organisations()));
    });
    measure(runs, "compare with the version before", 0,
            [&] { static_cast<void>(TableChanges::between(*small, *large)); });
    measureReports(runs, "whole tables", {.routes = large});
    const FeedUpdate growth = makeDifference(*small, *large);
    measureReports(runs, "difference, growth", growth);
    measure(runs, "apply: difference, growth", 0,
            [&] { static_cast<void>(growth.routeDifference->appliedTo(*small)); });
    const FeedUpdate oneRoute = makeDifference(*large, *changed);
    measureReports(runs, "difference, one route", oneRoute);
    measure(runs, "apply: difference, one route", 0,
            [&] { static_cast<void>(oneRoute.routeDifference->appliedTo(*large)); });
}

/// Prints what the members report while a configuration grows and then changes four more times within 3 s.
void runFleet(std::uint32_t routes, bool differences)
{
    constexpr int laterChanges = 4;
    VirtualPoolOptions options = organisationFleetOptions(1);
    options.pool.feedDifferences = differences;
    VirtualPool pool(options);
    pool.setFillerRoutes(routesBefore);
    pool.run(std::chrono::seconds(8));
    const auto reported = [&] {
        std::vector<std::uint64_t> bytes;
        for (std::size_t instance = 0; instance < pool.instanceCount(); ++instance)
            bytes.push_back(pool.core(instance)->state().counters.value("jujubekeel_pool_feed_bytes_total"));
        return bytes;
    };
    const std::set<std::string> databases{VirtualPool::primaryRoute, VirtualPool::boundedRoute, VirtualPool::ownRoute};
    const auto change = [&](const char *name, std::uint32_t fillers, std::uint64_t version) {
        const std::vector<std::uint64_t> before = reported();
        pool.setFillerRoutes(fillers);
        pool.publishRoutes(version, databases);
        pool.run(std::chrono::milliseconds(600));
        std::uint64_t total = 0;
        std::uint64_t most = 0;
        const std::vector<std::uint64_t> after = reported();
        for (std::size_t instance = 0; instance < after.size(); ++instance) {
            total += after[instance] - before[instance];
            most = std::max(most, after[instance] - before[instance]);
        }
        std::printf("| %s, %s | %llu | %llu |\n", differences ? "differences, compressed" : "whole tables", name,
                    static_cast<unsigned long long>(total), static_cast<unsigned long long>(most));
    };
    change("no change", routesBefore, 1);
    change("growth", routes, 2);
    for (int step = 1; step <= laterChanges; ++step)
        change("one route more", routes + static_cast<std::uint32_t>(step), 2 + static_cast<std::uint64_t>(step));
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const CommandLine commandLine(usage, "jujubekeel-configbench 0.1.0", argumentCount, arguments);
    constexpr std::uint32_t maxEntries = 100000;
    run(commandLine.number("--routes", 1, maxEntries), commandLine.number("--organisations", 0, maxEntries),
        commandLine.number("--runs", 1, maxEntries));
    std::printf("\n87 instances, 86 organisations, in virtual time\n\n"
                "| Reports, within 600 ms | Bytes, all members | Bytes, busiest member |\n|---|---|---|\n");
    for (const bool differences : {false, true})
        runFleet(commandLine.number("--routes", 1, maxEntries), differences);
    return 0;
}
