#include "programs/jujubekeel-ctl/logexplainer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace Jujubekeel {

namespace {

/// Lines kept for each topic of an instance; enough for a whole replacement of a primary, from the first report that it
/// is unreachable.
constexpr std::size_t maxLinesPerTopic = 6;

constexpr std::string_view storeTopic = "store";
constexpr std::string_view configurationTopic = "configuration";

constexpr std::array<std::string_view, 5> storeEvents{"store-lost", "store-regained", "store-write-failed",
                                                      "registered", "leadership-lapsed"};

/// Topic of a log line: configuration, store or the name of a service. Empty if the line explains no decision.
std::string topicOf(const LogRecord &record)
{
    if (record.event == "configuration-in-force")
        return std::string(configurationTopic);
    if (std::ranges::find(storeEvents, record.event) != storeEvents.end())
        return std::string(storeTopic);
    return record.field("service");
}

/// Parses a log line, with or without a prefix before the JSON object. Empty if it is no log record.
std::optional<LogRecord> parse(const std::string &line)
{
    const std::size_t start = line.find('{');
    if (start == std::string::npos)
        return std::nullopt;
    const auto object =
        nlohmann::ordered_json::parse(line.begin() + static_cast<std::ptrdiff_t>(start), line.end(), nullptr, false);
    if (!object.is_object() || !object.contains("event"))
        return std::nullopt;
    LogRecord record;
    for (const auto &[name, value] : object.items()) {
        std::string text = value.is_string() ? value.get<std::string>() : value.dump();
        if (name == "time")
            record.time = std::move(text);
        else if (name == "instance")
            record.instance = std::move(text);
        else if (name == "event")
            record.event = std::move(text);
        else
            record.fields.emplace_back(name, std::move(text));
    }
    return record;
}

} // namespace

std::string LogRecord::field(std::string_view name) const
{
    const auto found = std::ranges::find_if(this->fields, [&](const auto &entry) { return entry.first == name; });
    return found == this->fields.end() ? std::string() : found->second;
}

void LogExplainer::read(std::istream &log)
{
    std::string line;
    while (std::getline(log, line)) {
        if (line.empty())
            continue;
        if (const auto record = parse(line))
            this->addRecord(*record);
        else
            this->explanation.unreadableLines += 1;
    }
}

void LogExplainer::addRecord(const LogRecord &record)
{
    if (record.field("request") == this->request) {
        this->addDecision(record);
        return;
    }
    const std::string topic = topicOf(record);
    if (topic.empty() || !record.field("request").empty())
        return;
    std::deque<LogRecord> &lines = this->recentLines[{record.instance, topic}];
    lines.push_back(record);
    if (lines.size() > maxLinesPerTopic)
        lines.pop_front();
}

void LogExplainer::addDecision(const LogRecord &decision)
{
    this->explanation.decisions.push_back(decision);
    for (const std::string &topic :
         {std::string(configurationTopic), std::string(storeTopic), decision.field("service")}) {
        const auto found = this->recentLines.find({decision.instance, topic});
        if (found == this->recentLines.end())
            continue;
        std::ranges::copy(found->second, std::back_inserter(this->explanation.earlierEvents));
        this->recentLines.erase(found);
    }
}

} // namespace Jujubekeel
