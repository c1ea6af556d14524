#include "benchtable.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace Jujubekeel {

namespace {

// Part of the latency that the network and the statement take without a proxy. It is subtracted, so that the figures
// show what the proxy adds.
constexpr Duration callerRoundTrip = std::chrono::milliseconds(2);
constexpr Duration promotionMedianTarget = std::chrono::seconds(1);

double milliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

Duration percentile(std::vector<Duration> &values, std::uint64_t percent)
{
    if (values.empty())
        return Duration{0};
    std::ranges::sort(values);
    return values[std::min<std::size_t>(values.size() - 1, values.size() * percent / 100)];
}

std::string format(const char *numberFormat, double value)
{
    char text[64];
    std::snprintf(text, sizeof text, numberFormat, value);
    return text;
}

std::string percentText(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? "-" : format("%.1f", 100.0 * static_cast<double>(part) / static_cast<double>(whole));
}

} // namespace

BenchTable::BenchTable(std::uint64_t tableFirstSeed, std::uint64_t tableSeedCount)
    : firstSeed(tableFirstSeed), seedCount(tableSeedCount)
{
}

void BenchTable::printHeader() const
{
    std::puts("| user | case | ok % | replica reads % | gap p50 / p99 / worst ms | acknowledged | lost | doubled | "
              "wrongly refused | other violations | platform calls/s | peer messages /proxy/s | peer KB /proxy/s | "
              "added p50 / p99 ms | goodput /s |");
    std::puts("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
}

void BenchTable::addTarget(std::string text, std::string measured, bool isMet)
{
    this->targets.push_back(Target{.text = std::move(text), .measured = std::move(measured), .isMet = isMet});
}

void BenchTable::run(const BenchCase &benchCase)
{
    std::vector<Duration> gaps;
    std::vector<Duration> added;
    WriteStatistics writes;
    FleetTraffic traffic;
    std::uint64_t sent = 0;
    std::uint64_t ok = 0;
    std::uint64_t agedReads = 0;
    std::uint64_t atReplicas = 0;
    std::uint64_t violations = 0;
    std::uint64_t writesDuringLoad = 0;
    double loadSeconds = 0;

    // All seeds of the case.
    for (std::uint64_t seed = this->firstSeed; seed < this->firstSeed + this->seedCount; ++seed) {
        ScenarioOptions options = benchCase.options;
        options.seed = seed;
        if (benchCase.randomFaults > 0)
            options.faults = drawFaults(seed, benchCase.randomFaults);
        const ScenarioResult result = runScenario(options);
        this->hasher.add(result.stateHash);
        gaps.push_back(result.longestWriteGap);
        for (const Duration latency : result.load.latencies)
            added.push_back(latency - callerRoundTrip - options.serviceTime);
        writes.acknowledged += result.writes.acknowledged;
        writes.lost += result.writes.lost;
        writes.doubled += result.writes.doubled;
        writes.executedDespiteNotRun += result.writes.executedDespiteNotRun;
        violations +=
            result.violations.size() - result.writes.lost - result.writes.doubled - result.writes.executedDespiteNotRun;
        sent += result.load.sent;
        ok += result.load.ok;
        agedReads += result.load.agedReads;
        atReplicas += result.load.agedReadsAtReplicas;
        traffic.platformCalls += result.traffic.platformCalls;
        traffic.peerMessages += result.traffic.peerMessages;
        traffic.peerBytes += result.traffic.peerBytes;
        loadSeconds += milliseconds(result.loadTime) / 1000.0;
        writesDuringLoad += result.writesDuringLoad;
        if (!result.violations.empty())
            std::fprintf(stderr, "%s, %s, seed %llu, %s:\n%s", fleetUserName(options.user).data(),
                         benchCase.name.c_str(), static_cast<unsigned long long>(seed),
                         describeFaults(options.faults).c_str(), describeViolations(result.violations, 3).c_str());
    }

    // One row.
    const double proxies = static_cast<double>(makeUserProfile(benchCase.options.user).layout.instances.size());
    const Duration gapMedian = percentile(gaps, 50);
    const Duration gapHigh = percentile(gaps, 99);
    const Duration gapWorst = gaps.empty() ? Duration{0} : gaps.back();
    const std::string user(fleetUserName(benchCase.options.user));
    const std::string gapText = benchCase.hasGap ? format("%.0f", milliseconds(gapMedian)) + " / "
                                                       + format("%.0f", milliseconds(gapHigh)) + " / "
                                                       + format("%.0f", milliseconds(gapWorst))
                                                 : "-";
    const double goodput = static_cast<double>(writesDuringLoad) / loadSeconds;
    const std::string latencyText = format("%.1f", milliseconds(percentile(added, 50))) + " / "
                                    + format("%.1f", milliseconds(percentile(added, 99)));
    std::printf("| %s | %s | %s | %s | %s | %llu | %llu | %llu | %llu | %llu | %.1f | %.1f | %.2f | %s | %s |\n",
                user.c_str(), benchCase.name.c_str(), percentText(ok, sent).c_str(),
                percentText(atReplicas, agedReads).c_str(), gapText.c_str(),
                static_cast<unsigned long long>(writes.acknowledged), static_cast<unsigned long long>(writes.lost),
                static_cast<unsigned long long>(writes.doubled),
                static_cast<unsigned long long>(writes.executedDespiteNotRun),
                static_cast<unsigned long long>(violations), static_cast<double>(traffic.platformCalls) / loadSeconds,
                static_cast<double>(traffic.peerMessages) / loadSeconds / proxies,
                static_cast<double>(traffic.peerBytes) / loadSeconds / proxies / 1024.0, latencyText.c_str(),
                benchCase.offeredRate > 0 ? format("%.0f", goodput).c_str() : "-");
    std::fflush(stdout);

    // Compares with the design targets.
    const std::string caseLabel = user + ", " + benchCase.name + ": ";
    if (benchCase.gapTarget > Duration{0})
        this->addTarget(caseLabel + "worst failover gap under " + format("%.0f", milliseconds(benchCase.gapTarget))
                            + " ms",
                        format("%.0f ms", milliseconds(gapWorst)), gapWorst < benchCase.gapTarget);
    if (benchCase.medianTarget > Duration{0})
        this->addTarget(caseLabel + "median failover gap under " + format("%.0f", milliseconds(promotionMedianTarget))
                            + " ms",
                        format("%.0f ms", milliseconds(gapMedian)), gapMedian < benchCase.medianTarget);
    if (benchCase.hasReplicaTarget)
        this->addTarget(caseLabel + "replica share over 95 %", percentText(atReplicas, agedReads) + " %",
                        atReplicas * 100 > agedReads * 95);
    if (benchCase.offeredRate > 0) {
        if (benchCase.name == "capacity")
            this->capacityGoodput = goodput;
        else
            this->addTarget(caseLabel + "goodput at least 90 % of that at capacity",
                            format("%.1f %%", 100.0 * goodput / this->capacityGoodput),
                            goodput >= 0.9 * this->capacityGoodput);
    }
    this->addTarget(caseLabel + "no acknowledged write lost or doubled",
                    std::to_string(writes.lost) + " lost, " + std::to_string(writes.doubled) + " doubled",
                    writes.lost == 0 && writes.doubled == 0 && writes.acknowledged > 0);
}

void BenchTable::printTargets() const
{
    std::puts("\n| target | measured | result |\n|---|---|---|");
    for (const Target &target : this->targets)
        std::printf("| %s | %s | %s |\n", target.text.c_str(), target.measured.c_str(),
                    target.isMet ? "met" : "MISSED");
}

} // namespace Jujubekeel
