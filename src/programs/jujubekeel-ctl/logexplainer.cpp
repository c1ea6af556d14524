#include "programs/jujubekeel-ctl/logexplainer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace Jujubekeel {

namespace {

/// Lines kept of each topic: enough for a replacement from the first suspicion to its end.
constexpr std::size_t linesPerTopic = 6;

constexpr std::string_view storeTopic = "store";
constexpr std::string_view configurationTopic = "configuration";

constexpr std::array<std::string_view, 5> storeEvents{"store-lost", "store-regained", "store-write-failed",
                                                      "registered", "leadership-lapsed"};

/// What a line tells about, or an empty text if it is of no use for explanations.
std::string topicOf(const LogRecord &record)
{
    if (record.event == "configuration-in-force")
        return std::string(configurationTopic);
    if (std::ranges::find(storeEvents, record.event) != storeEvents.end())
        return std::string(storeTopic);
    return record.field("service");
}

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
            this->take(*record);
        else
            this->explanation.unreadableLines += 1;
    }
}

void LogExplainer::take(const LogRecord &record)
{
    if (record.field("request") == this->request) {
        this->explain(record);
        return;
    }
    const std::string topic = topicOf(record);
    if (topic.empty() || !record.field("request").empty())
        return;
    std::deque<LogRecord> &lines = this->recent[{record.instance, topic}];
    lines.push_back(record);
    if (lines.size() > linesPerTopic)
        lines.pop_front();
}

void LogExplainer::explain(const LogRecord &decision)
{
    this->explanation.decisions.push_back(decision);
    for (const std::string &topic :
         {std::string(configurationTopic), std::string(storeTopic), decision.field("service")}) {
        const auto found = this->recent.find({decision.instance, topic});
        if (found == this->recent.end())
            continue;
        std::ranges::copy(found->second, std::back_inserter(this->explanation.beliefs));
        this->recent.erase(found);
    }
}

} // namespace Jujubekeel
