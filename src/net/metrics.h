#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Jujubekeel {

/// Figures by full name, labels included, for `GET /metrics`. Values in Prometheus text form.
using MetricValues = std::map<std::string, std::string>;

/// Adds processor time, memory, threads and open descriptors of this process, read from /proc.
void addProcessFigures(MetricValues &values);

/// Prometheus text form with one TYPE line for each name. Names that end in `_total` are counters, all others gauges.
[[nodiscard]] std::string renderMetrics(const MetricValues &values);

} // namespace Jujubekeel
