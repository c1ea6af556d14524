#pragma once

#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

/// One line of a plot.
struct PlotSeries
{
    std::string name;
    std::vector<std::pair<double, double>> points; ///< time in s, value
};

/// Writes lines over time as SVG file, with gnuplot. Throws std::exception if gnuplot can't be started.
void writePlot(const std::string &path, const std::string &title, const std::string &valueLabel,
               const std::vector<PlotSeries> &series);

} // namespace Jujubekeel
