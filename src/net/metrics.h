#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Jujubekeel {

/// Metric values for `GET /metrics` in Prometheus text format, by full name with labels.
using MetricValues = std::map<std::string, std::string>;

/// Adds CPU time, memory, threads and open descriptors of this process.
void addProcessMetrics(MetricValues &values);

/// Prometheus text format with one TYPE line for each name. Names that end in `_total` are counters, all others gauges.
[[nodiscard]] std::string renderMetrics(const MetricValues &values);

} // namespace Jujubekeel
