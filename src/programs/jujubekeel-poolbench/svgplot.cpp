#include "programs/jujubekeel-poolbench/svgplot.h"

#include <gnuplot-iostream.h>

namespace Jujubekeel {

void writePlot(const std::string &path, const std::string &title, const std::string &valueLabel,
               const std::vector<PlotSeries> &series)
{
    Gnuplot gnuplot;
    gnuplot << "set terminal svg size 900,500\n"
            << "set output '" << path << "'\n"
            << "set title '" << title << "'\n"
            << "set xlabel 'time s'\n"
            << "set ylabel '" << valueLabel << "'\n"
            << "set logscale y\n"
            << "set key outside bottom center\n";
    std::string command = "plot";
    for (const PlotSeries &line : series) {
        command += command == "plot" ? " " : ", ";
        command += gnuplot.file1d(line.points) + "with lines title '" + line.name + "'";
    }
    gnuplot << command << std::endl;
}

} // namespace Jujubekeel
