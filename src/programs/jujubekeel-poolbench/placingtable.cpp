#include "programs/jujubekeel-poolbench/placingtable.h"

#include "programs/jujubekeel-poolbench/placingrun.h"
#include "programs/jujubekeel-poolbench/svgplot.h"

#include <algorithm>
#include <cstdio>
#include <vector>

namespace Jujubekeel {

namespace {

double percentileMs(std::vector<Duration> &durations, std::size_t percent)
{
    if (durations.empty())
        return 0;
    const auto at = durations.begin() + static_cast<std::ptrdiff_t>((durations.size() - 1) * percent / 100);
    std::nth_element(durations.begin(), at, durations.end());
    return static_cast<double>(at->count()) / 1000;
}

/// p99 of the answers, by the second of the run in which the operations were sent.
PlotSeries bySecond(const std::string &name, std::vector<std::vector<Duration>> &durations)
{
    PlotSeries series{.name = name};
    for (std::size_t second = 0; second < durations.size(); ++second)
        series.points.emplace_back(static_cast<double>(second), percentileMs(durations[second], 99));
    return series;
}

} // namespace

void printPlacingTable(std::uint64_t seeds, const std::optional<std::string> &plotFolder)
{
    std::printf("| load | rule | sent | in time %% | late | refused | errors | rejected by servers | p50 ms | p99 ms | "
                "p50 ms, first group | p99 ms, first group | "
                "busiest / mean | the same, reads of any server |\n"
                "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const PlacingScenario &scenario : placingScenarios()) {
        std::vector<PlotSeries> plot;
        for (const PlacingPolicy &policy : placingPolicies()) {
            PlacingFigures figures;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed)
                measurePlacing(scenario, policy, seed, figures);
            const auto count = static_cast<double>(seeds);
            std::printf(
                "| %s | %s | %.0f | %.3f | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f | %.1f | %.1f | %.2f | %.2f |\n",
                scenario.name.c_str(), policy.name.c_str(), figures.sent,
                100 * figures.inTime / std::max(figures.sent, 1.0), figures.late, figures.refused, figures.errors,
                figures.rejections, percentileMs(figures.durations, 50), percentileMs(figures.durations, 99),
                percentileMs(figures.firstGroup, 50), percentileMs(figures.firstGroup, 99), figures.busiest / count,
                figures.busiestOfReads / count);
            std::fflush(stdout);
            plot.push_back(bySecond(policy.name, figures.bySecond));
        }
        if (plotFolder)
            writePlot(*plotFolder + "/placing-" + scenario.file + ".svg", scenario.name, "p99 ms", plot);
    }
}

} // namespace Jujubekeel
