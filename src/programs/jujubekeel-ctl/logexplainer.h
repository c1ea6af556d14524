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
    std::string time; ///< clock of the instance
    std::string instance;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; ///< in the order of the line

    /// Empty if the line has no such field.
    [[nodiscard]] std::string field(std::string_view name) const;
};

/// What the log lines of one or more instances say of a request.
struct LogExplanation
{
    std::vector<LogRecord> decisions; ///< about the request, in the order of the logs; a relaying instance's included
    std::vector<LogRecord> beliefs;   ///< what these instances had last learned before of the service and the store
    std::uint64_t unreadableLines = 0;
};

/// Finds in JSON log lines why a request ended as it did. Lines may have a prefix before the object, as collectors add.
/// Owned by the command; one thread.
class LogExplainer final
{
public:
    explicit LogExplainer(std::string requestId) : request(std::move(requestId)) {}

    /// Reads a log; may be called for several.
    void read(std::istream &log);
    [[nodiscard]] const LogExplanation &result() const { return this->explanation; }

private:
    /// Newest lines of one instance about one topic.
    using Topic = std::pair<std::string, std::string>;

    void take(const LogRecord &record);
    void explain(const LogRecord &decision);

    std::string request;
    LogExplanation explanation;
    std::map<Topic, std::deque<LogRecord>> recent;
};

} // namespace Jujubekeel
