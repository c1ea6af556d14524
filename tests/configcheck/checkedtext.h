#pragma once

#include "configcheck/configurationcheck.h"
#include "configurationlocator.h"
#include "configurationnames.h"
#include "configurationreader.h"
#include "programs/jujubekeel-configcheck/reportwriter.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace Jujubekeel {

/// A configuration that has been checked, with its report.
struct CheckedText
{
    explicit CheckedText(std::string checkedText, const std::string &inForceText = {}, const CheckOptions &options = {})
        : text(std::move(checkedText))
    {
        const ConfigurationReaderOptions readerOptions{
            .keyFound = [this](std::string_view key) { this->mask.addKey(key); }};
        const ConfigurationReading reading = readConfiguration(this->text, readerOptions);
        const auto inForce =
            inForceText.empty() ? nullptr : toRouteTable(readConfiguration(inForceText, readerOptions));
        this->report = ConfigurationCheck(options, this->mask).check(reading, inForce.get());
        const ConfigurationLocator locator(this->text);
        const ReportWriter writer("file", locator);
        this->output = writer.toText(this->report);
        this->json = writer.toJson(this->report);
    }
    /// Lines of the text report without the file's name, as `LINE: SEVERITY: PATH [CODE]`, in order.
    [[nodiscard]] std::vector<std::string> found() const
    {
        const ConfigurationLocator locator(this->text);
        std::vector<std::string> list;
        for (const Finding &finding : this->report.findings) {
            const char *word = finding.severity == FindingSeverity::Error     ? " error "
                               : finding.severity == FindingSeverity::Warning ? " warning "
                                                                              : " note ";
            list.push_back(std::to_string(locator.lineOf(finding.place)) + word + pathOf(finding.place) + ' '
                           + finding.code);
        }
        return list;
    }

    std::string text;
    NameMask mask;
    ConfigurationReport report;
    std::string output;
    std::string json;
};

} // namespace Jujubekeel
