#include "programs/jujubekeel-configcheck/reportwriter.h"

#include "configurationnames.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <utility>

namespace Jujubekeel {

namespace {

using Json = nlohmann::ordered_json;

const char *severityWord(FindingSeverity severity)
{
    switch (severity) {
    case FindingSeverity::Error:
        return "error";
    case FindingSeverity::Warning:
        return "warning";
    case FindingSeverity::Note:
        break;
    }
    return "note";
}

const char *kindWord(DifferenceKind kind)
{
    switch (kind) {
    case DifferenceKind::Added:
        return "added";
    case DifferenceKind::Removed:
        return "removed";
    case DifferenceKind::Raised:
        return "raised";
    case DifferenceKind::Lowered:
        return "lowered";
    case DifferenceKind::KeysAdded:
        return "keys-added";
    case DifferenceKind::KeysWithdrawn:
        return "keys-withdrawn";
    case DifferenceKind::Changed:
        break;
    }
    return "changed";
}

const char *entryWord(ConfigurationPart part)
{
    switch (part) {
    case ConfigurationPart::Routes:
        return "route";
    case ConfigurationPart::Services:
        return "service";
    case ConfigurationPart::Organisations:
        return "organisation";
    default:
        break;
    }
    return "limits";
}

std::string countText(std::size_t count, const std::string &word)
{
    return std::to_string(count) + ' ' + word + (count == 1 ? "" : "s");
}

std::string differenceLine(const Difference &difference)
{
    std::string line = std::string("  ") + entryWord(difference.part);
    if (difference.part != ConfigurationPart::Limits)
        line += " \"" + difference.name + '"';
    line += ": ";
    if (difference.kind == DifferenceKind::KeysAdded || difference.kind == DifferenceKind::KeysWithdrawn) {
        const bool areAdded = difference.kind == DifferenceKind::KeysAdded;
        line += "keys " + std::string(areAdded ? "added: " + difference.to : "withdrawn: " + difference.from);
    } else if (difference.field == ConfigurationField::None) {
        line += kindWord(difference.kind);
    } else {
        line += std::string(nameOf(difference.field)) + ' ' + kindWord(difference.kind) + " from " + difference.from
                + " to " + difference.to;
    }
    return line + (difference.effect.empty() ? "" : "; " + difference.effect) + '\n';
}

Json toJsonObject(const Difference &difference)
{
    Json object{{"change", kindWord(difference.kind)}, {"entry", entryWord(difference.part)}};
    const auto addText = [&object](const char *member, const std::string &value) {
        if (!value.empty())
            object[member] = value;
    };
    if (difference.part != ConfigurationPart::Limits)
        object["name"] = difference.name;
    addText("field", nameOf(difference.field));
    addText("from", difference.from);
    addText("to", difference.to);
    addText("effect", difference.effect);
    return object;
}

Json versionJson(const std::optional<std::uint64_t> &version)
{
    return version ? Json(*version) : Json();
}

} // namespace

ReportWriter::ReportWriter(std::string fileName, const ConfigurationLocator &textLocator)
    : file(std::move(fileName)), locator(textLocator)
{
}

std::string ReportWriter::toText(const ConfigurationReport &report) const
{
    std::string text;
    for (const Finding &finding : report.findings) {
        const std::string path = pathOf(finding.place);
        text += this->file + ':' + std::to_string(this->locator.lineOf(finding.place)) + ": "
                + severityWord(finding.severity) + ": " + (path.empty() ? "" : path + ": ") + finding.text + " ["
                + finding.code + "]\n";
    }
    if (report.version && report.versionInForce) {
        text += "differences of version " + std::to_string(*report.version) + " from version "
                + std::to_string(*report.versionInForce) + ", which is in force:\n";
        for (const Difference &difference : report.differences)
            text += differenceLine(difference);
        if (report.omittedDifferences > 0)
            text += "  " + countText(report.omittedDifferences, "further difference") + '\n';
        if (report.differences.empty())
            text += "  none\n";
    }
    return text + countText(report.count(FindingSeverity::Error), "error") + ", "
           + countText(report.count(FindingSeverity::Warning), "warning") + ", "
           + countText(report.count(FindingSeverity::Note), "note") + '\n';
}

std::string ReportWriter::toJson(const ConfigurationReport &report) const
{
    Json findings = Json::array();
    for (const Finding &finding : report.findings) {
        findings.push_back({{"severity", severityWord(finding.severity)},
                            {"code", finding.code},
                            {"path", pathOf(finding.place)},
                            {"line", this->locator.lineOf(finding.place)},
                            {"text", finding.text}});
    }
    Json differences = Json::array();
    for (const Difference &difference : report.differences)
        differences.push_back(toJsonObject(difference));
    const Json root{{"file", this->file},
                    {"version", versionJson(report.version)},
                    {"versionInForce", versionJson(report.versionInForce)},
                    {"errors", report.count(FindingSeverity::Error)},
                    {"warnings", report.count(FindingSeverity::Warning)},
                    {"notes", report.count(FindingSeverity::Note)},
                    {"findings", std::move(findings)},
                    {"differences", std::move(differences)},
                    {"omittedDifferences", report.omittedDifferences}};
    return root.dump(-1, ' ', false, Json::error_handler_t::replace) + '\n';
}

} // namespace Jujubekeel
