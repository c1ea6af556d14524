#include "configcheck/configurationcheck.h"

#include "configcheck/configurationdiff.h"
#include "configcheck/entrycheck.h"
#include "configcheck/inforcecheck.h"
#include "configcheck/limitcheck.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace Jujubekeel {

namespace {

Finding toFinding(const ConfigurationFault &fault)
{
    Finding finding{.severity = FindingSeverity::Error, .place = fault.place, .text = fault.text};
    switch (fault.effect) {
    case FaultEffect::Rejected:
        finding.code = "rejected";
        break;
    case FaultEffect::EntryIgnored:
        finding.code = "entry-ignored";
        break;
    case FaultEffect::ValueIgnored:
        finding.code = "value-ignored";
        finding.severity = FindingSeverity::Warning;
        break;
    }
    return finding;
}

/// Order of findings in a report: by part, entry and field; what concerns a whole part comes before its entries.
auto orderOf(const Finding &finding)
{
    const ConfigurationPlace &place = finding.place;
    return std::tuple(place.part, place.index.has_value(), place.index.value_or(0), place.field);
}

} // namespace

ConfigurationReport ConfigurationCheck::check(const ConfigurationReading &reading, const RouteTable *inForce) const
{
    ConfigurationReport report;
    const auto add = [&report](std::vector<Finding> findings) {
        std::ranges::move(findings, std::back_inserter(report.findings));
    };
    std::ranges::transform(reading.faults, std::back_inserter(report.findings), toFinding);
    if (reading.omittedFaults > 0) {
        add({{.severity = FindingSeverity::Error,
              .code = "faults-omitted",
              .place = {},
              .text = std::to_string(reading.omittedFaults) + " further faults are not listed"}});
    }
    add(EntryCheck(this->mask).check(reading));
    add(LimitCheck(this->options, this->mask).check(reading));
    if (inForce != nullptr)
        report.versionInForce = inForce->version();
    if (const auto table = toRouteTable(reading)) {
        report.version = reading.version;
        if (inForce != nullptr) {
            report.differences = ConfigurationDiff(this->mask).compare(*inForce, *table);
            add(InForceCheck(this->mask).check(reading, *inForce, !report.differences.empty()));
        }
    }
    std::ranges::stable_sort(report.findings, {}, orderOf);
    report.shorten();
    return report;
}

} // namespace Jujubekeel
