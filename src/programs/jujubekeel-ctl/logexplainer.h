#pragma once

#include <cstdint>
#include <deque>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Jujubekeel {

/// One log line of an instance.
struct LogRecord
{
    std::string time; ///< by the clock of the instance
    std::string instance;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; ///< in the order of the line

    /// Empty if the line has no such field.
    [[nodiscard]] std::string field(std::string_view name) const;
};

/// Log lines of one or more instances that explain a request.
struct LogExplanation
{
    std::vector<LogRecord> decisions;     ///< lines of the request on any instance, in the order of the logs
    std::vector<LogRecord> earlierEvents; ///< last lines before these about configuration, store and service
    std::uint64_t unreadableLines = 0;
};

/// Finds the JSON log lines that explain the outcome of a request. Lines may have a prefix before the object, as log
/// collectors add. Owned by explainFromLogs(); one thread.
class LogExplainer final
{
public:
    explicit LogExplainer(std::string requestId) : request(std::move(requestId)) {}

    /// Reads a log to its end; may be called for several logs.
    void read(std::istream &log);
    [[nodiscard]] const LogExplanation &result() const { return this->explanation; }

private:
    /// Name of the instance and topic.
    using Topic = std::pair<std::string, std::string>;

    void addRecord(const LogRecord &record);
    void addDecision(const LogRecord &decision);

    std::string request;
    LogExplanation explanation;
    std::map<Topic, std::deque<LogRecord>> recentLines; ///< newest lines that no decision has used yet
};

} // namespace Jujubekeel
