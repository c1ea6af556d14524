#include "programs/jujubekeel-ctl/logcommands.h"

#include "programs/jujubekeel-ctl/commandoutput.h"
#include "programs/jujubekeel-ctl/logexplainer.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>

namespace Jujubekeel {

namespace {

nlohmann::ordered_json toJson(const std::vector<LogRecord> &records)
{
    auto list = nlohmann::ordered_json::array();
    for (const LogRecord &record : records) {
        nlohmann::ordered_json object{{"time", record.time}, {"instance", record.instance}, {"event", record.event}};
        for (const auto &[name, value] : record.fields)
            object[name] = value;
        list.push_back(std::move(object));
    }
    return list;
}

std::string toLine(const LogRecord &record)
{
    std::string line = "  " + record.time + "  " + record.instance + "  " + record.event;
    for (const auto &[name, value] : record.fields) {
        if (name != "level" && name != "request")
            line += "  " + name + "=" + (value.find(' ') == std::string::npos ? value : '"' + value + '"');
    }
    return line;
}

} // namespace

int explainFromLogs(const std::string &request, const std::vector<std::string> &files, const CommandOutput &output)
{
    LogExplainer explainer(request);
    for (const std::string &name : files) {
        if (name == "-") {
            explainer.read(std::cin);
            continue;
        }
        std::ifstream file(name);
        if (!file) {
            output.writeError({.code = ResultCode::UsageError, .text = "the log file cannot be read", .file = name});
            return exitUsage;
        }
        explainer.read(file);
    }

    const LogExplanation &found = explainer.result();
    if (found.decisions.empty()) {
        output.writeError({.code = ResultCode::NotFound,
                           .text = "no log line has request " + request
                                   + "; requests that finish in time are not logged, and lines may have been dropped"});
        return exitFailed;
    }
    if (output.isJson()) {
        output.writeJson({{"request", request},
                          {"decisions", toJson(found.decisions)},
                          {"beliefs", toJson(found.earlierEvents)},
                          {"unreadable_lines", found.unreadableLines}});
        return exitOk;
    }
    output.writeLine("decisions");
    for (const LogRecord &record : found.decisions)
        output.writeLine(toLine(record));
    output.writeLine("known before");
    for (const LogRecord &record : found.earlierEvents)
        output.writeLine(toLine(record));
    return exitOk;
}

} // namespace Jujubekeel
