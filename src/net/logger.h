#pragma once

#include "core/action.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Jujubekeel {

struct LoggerOptions
{
    std::string instance;            ///< written into each line
    LogLevel level = LogLevel::Info; ///< lines of lower levels are not written
    std::uint32_t repeatLimit = 20;  ///< lines written per event and repeatWindow; further ones are only counted
    Duration repeatWindow = std::chrono::seconds(10);
    std::size_t queueLimit = 8192; ///< lines queued for the writer thread; further ones are dropped and counted
    std::size_t queueBytes = std::size_t{2} * 1024 * 1024; ///< the same for their size
    Duration stopWait = std::chrono::seconds(1); ///< while output is not taken, the writer thread ends after this time
};

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Writes JSON lines to standard output through easylogging++. A separate thread writes them, so that a full output
/// pipe does not block the core thread. Owned by ProxyDaemon or by the program; any thread.
class Logger final
{
public:
    explicit Logger(LoggerOptions options);
    ~Logger();
    Logger(const Logger &) = delete;
    Logger &operator=(const Logger &) = delete;

    void write(LogLevel level, const std::string &event, const LogFields &fields);
    void writeSpan(const Span &span);

    [[nodiscard]] std::uint64_t droppedLines() const;

    /// Formats a line without its line feed. Its values are cut where it would be longer than a pipe takes at once. \a wallClock is the time since 1970.
    [[nodiscard]] static std::string formatLine(Duration wallClock, LogLevel level, const std::string &instance,
                                                const std::string &event, const LogFields &fields);

private:
    struct EventWindow
    {
        TimePoint start{0};
        std::uint32_t written = 0;
        std::uint64_t suppressed = 0;
    };

    void enqueue(std::string line);
    /// Waits until standard output takes a line. Returns false if it takes none before the end of the process.
    [[nodiscard]] bool awaitOutput();
    void run();

    LoggerOptions options;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::string> lines;
    std::size_t queuedBytes = 0;
    std::map<std::string, EventWindow, std::less<>> windows;
    std::uint64_t dropped = 0;
    bool stopping = false;
    TimePoint stopSince{0};
    std::thread writer;
};

} // namespace Jujubekeel
