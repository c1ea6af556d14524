#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// Named counters and gauges of one proxy. Owned by World; written by the systems within a step, read by the
/// program around the core between steps. Names follow the Prometheus conventions and may have labels:
/// `name{label="value"}`.
class Counters final
{
public:
    /// Adds to a counter, which starts at 0.
    void add(std::string_view name, std::uint64_t amount = 1);
    /// Sets a gauge.
    void set(std::string_view name, std::uint64_t value);
    /// 0 if the name was never added to or set.
    [[nodiscard]] std::uint64_t value(std::string_view name) const;
    [[nodiscard]] const std::map<std::string, std::uint64_t, std::less<>> &all() const { return this->values; }

private:
    std::map<std::string, std::uint64_t, std::less<>> values;
};

} // namespace Jujubekeel
