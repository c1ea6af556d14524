#include "configcheck/configurationreport.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace Jujubekeel {

std::size_t ConfigurationReport::count(FindingSeverity severity) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->findings, [&](const Finding &finding) { return finding.severity == severity; }));
}

void ConfigurationReport::shorten()
{
    struct CodeCount
    {
        FindingSeverity severity = FindingSeverity::Note;
        std::size_t count = 0;
    };
    std::map<std::string_view, CodeCount> counts;
    std::erase_if(this->findings, [&](const Finding &finding) {
        CodeCount &code = counts[finding.code];
        code.severity = finding.severity;
        code.count += 1;
        return code.count > findingLimit;
    });
    for (const auto &[name, code] : counts) {
        if (code.count <= findingLimit)
            continue;
        this->findings.push_back({.severity = code.severity,
                                  .code = "findings-omitted",
                                  .place = {},
                                  .text = std::to_string(code.count - findingLimit) + " further findings of the code "
                                          + std::string(name) + " are not listed"});
    }
    if (this->differences.size() > differenceLimit) {
        this->omittedDifferences = this->differences.size() - differenceLimit;
        this->differences.resize(differenceLimit);
    }
}

} // namespace Jujubekeel
