#pragma once

#include "configcheck/difference.h"
#include "configcheck/finding.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Jujubekeel {

/// Result of checking a configuration.
struct ConfigurationReport
{
    std::optional<std::uint64_t> version; ///< of the configuration; empty if it is rejected
    std::optional<std::uint64_t> versionInForce;
    std::vector<Finding> findings; ///< in the order of the parts, entries and fields
    std::vector<Difference> differences;
    std::size_t omittedDifferences = 0; ///< above `differenceLimit`

    // A file can contain hundreds of thousands of entries with the same fault; nobody reads a report of them.
    static constexpr std::size_t findingLimit = 1000; ///< findings of one code; the number of others is a finding
    static constexpr std::size_t differenceLimit = 10000;

    /// Number of the findings that are listed.
    [[nodiscard]] std::size_t count(FindingSeverity severity) const;
    /// Keeps the first findings and differences, up to the limits.
    void shorten();
};

} // namespace Jujubekeel
