#include "net/metrics.h"

#include <dirent.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <cstddef>
#include <cstdio>
#include <fstream>
#include <string_view>
#include <vector>

namespace Jujubekeel {

namespace {

std::string seconds(const timeval &time)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%lld.%06ld", static_cast<long long>(time.tv_sec),
                  static_cast<long>(time.tv_usec));
    return text.data();
}

std::uint64_t countDirectory(const char *path)
{
    DIR *directory = ::opendir(path);
    if (directory == nullptr)
        return 0;
    std::uint64_t count = 0;
    while (const dirent *entry = ::readdir(directory)) {
        if (entry->d_name[0] != '.')
            count += 1;
    }
    ::closedir(directory);
    return count;
}

/// Metric name without labels.
std::string_view baseName(std::string_view name)
{
    return name.substr(0, name.find('{'));
}

} // namespace

void addProcessMetrics(MetricValues &values)
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    values["jujubekeel_process_cpu_seconds_total{mode=\"user\"}"] = seconds(usage.ru_utime);
    values["jujubekeel_process_cpu_seconds_total{mode=\"system\"}"] = seconds(usage.ru_stime);
    values["jujubekeel_process_peak_memory_bytes"] = std::to_string(usage.ru_maxrss * 1024);

    // Second field of statm: resident pages.
    std::ifstream memory("/proc/self/statm");
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    if (memory >> totalPages >> residentPages) {
        values["jujubekeel_process_resident_memory_bytes"] =
            std::to_string(residentPages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)));
    }
    values["jujubekeel_process_threads"] = std::to_string(countDirectory("/proc/self/task"));
    values["jujubekeel_process_open_descriptors"] = std::to_string(countDirectory("/proc/self/fd"));
}

std::string renderMetrics(const MetricValues &values)
{
    // Prometheus requires the samples of one name to be consecutive, but "a_b{...}" may sort between "a" and "a{...}".
    std::map<std::string_view, std::vector<const MetricValues::value_type *>> groups;
    for (const auto &row : values)
        groups[baseName(row.first)].push_back(&row);

    std::string text;
    for (const auto &[name, rows] : groups) {
        text += "# TYPE ";
        text += name;
        text += name.ends_with("_total") ? " counter\n" : " gauge\n";
        for (const auto *row : rows)
            text += row->first + ' ' + row->second + '\n';
    }
    return text;
}

} // namespace Jujubekeel
