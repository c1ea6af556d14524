// The library is compiled into this file only, with the crash handler and the log file switched off.
#define ELPP_NO_DEFAULT_LOG_FILE
#define ELPP_DISABLE_DEFAULT_CRASH_HANDLING
#define ELPP_THREAD_SAFE
#include <easylogging++.h>

#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include): the package has no compiled library

#include "net/boottime.h"
#include "net/logger.h"
#include "wire/spanjson.h"

#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <climits>
#include <cstdio>
#include <ctime>

INITIALIZE_EASYLOGGINGPP

namespace Jujubekeel {

namespace {

/// A pipe that has room takes a line up to PIPE_BUF without blocking the writer.
constexpr std::size_t maxLineBytes = PIPE_BUF - 1;
/// Longest text of one byte in JSON.
constexpr std::size_t maxEscapeBytes = 6;
constexpr int outputPollMs = 100;

const char *levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

std::string isoTime(Duration wallClock)
{
    const std::time_t seconds = wallClock.count() / 1'000'000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 12> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%06dZ", static_cast<int>(wallClock.count() % 1'000'000));
    return std::string(text.data(), length) + fraction.data();
}

nlohmann::ordered_json lineHead(Duration wallClock, LogLevel level, const std::string &instance,
                                const std::string &event)
{
    nlohmann::ordered_json line;
    line["time"] = isoTime(wallClock);
    line["level"] = levelName(level);
    line["instance"] = instance;
    line["event"] = event;
    return line;
}

std::string dumpLine(const nlohmann::ordered_json &line)
{
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace

Logger::Logger(LoggerOptions loggerOptions) : options(std::move(loggerOptions))
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configuration);
    this->writer = std::thread([this] { this->run(); });
}

Logger::~Logger()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
        this->stopSince = bootTime();
    }
    this->changed.notify_all();
    this->writer.join();
}

std::string Logger::formatLine(Duration wallClock, LogLevel level, const std::string &instance,
                               const std::string &event, const LogFields &fields)
{
    nlohmann::ordered_json line = lineHead(wallClock, level, instance, event);
    for (const auto &[name, value] : fields)
        line[name] = value;
    std::string text = dumpLine(line);
    if (text.size() <= maxLineBytes)
        return text;
    const std::size_t valueBytes = maxLineBytes / 2 / maxEscapeBytes / std::max<std::size_t>(fields.size(), 1);
    for (const auto &[name, value] : fields)
        line[name] = value.substr(0, valueBytes);
    return dumpLine(line);
}

void Logger::write(LogLevel level, const std::string &event, const LogFields &fields)
{
    if (level < this->options.level)
        return;

    // Lines of an event above the limit are only counted; the first line of the next window holds their number.
    std::uint64_t suppressed = 0;
    {
        const std::scoped_lock lock(this->mutex);
        EventWindow &window = this->windows[event];
        const TimePoint now = bootTime();
        if (window.written == 0 || now - window.start >= this->options.repeatWindow) {
            suppressed = window.suppressed;
            window = EventWindow{.start = now, .written = 0, .suppressed = 0};
        }
        if (window.written >= this->options.repeatLimit) {
            window.suppressed += 1;
            return;
        }
        window.written += 1;
    }
    if (suppressed == 0) {
        this->enqueue(formatLine(wallClockTime(), level, this->options.instance, event, fields));
        return;
    }
    LogFields extended = fields;
    extended.emplace_back("suppressed", std::to_string(suppressed));
    this->enqueue(formatLine(wallClockTime(), level, this->options.instance, event, extended));
}

void Logger::writeSpan(const Span &span)
{
    nlohmann::ordered_json line = lineHead(wallClockTime(), LogLevel::Info, this->options.instance, "span");
    line.update(spanToJson(span));
    this->enqueue(dumpLine(line));
}

std::uint64_t Logger::droppedLines() const
{
    const std::scoped_lock lock(this->mutex);
    return this->dropped;
}

void Logger::enqueue(std::string line)
{
    {
        const std::scoped_lock lock(this->mutex);
        if (this->lines.size() >= this->options.queueLimit
            || this->queuedBytes + line.size() > this->options.queueBytes) {
            this->dropped += 1;
            return;
        }
        this->queuedBytes += line.size();
        this->lines.push_back(std::move(line));
    }
    this->changed.notify_one();
}

bool Logger::awaitOutput()
{
    // A write to a full pipe would block until somebody reads it, and the process could not end.
    pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    while (::poll(&output, 1, outputPollMs) == 0) {
        const std::scoped_lock lock(this->mutex);
        if (this->stopping && bootTime() - this->stopSince >= this->options.stopWait)
            return false;
    }
    return true;
}

void Logger::run()
{
    std::deque<std::string> batch;
    while (true) {
        {
            std::unique_lock lock(this->mutex);
            this->changed.wait(lock, [this] { return this->stopping || !this->lines.empty(); });
            if (this->lines.empty())
                return;
            batch.swap(this->lines);
            this->queuedBytes = 0;
        }
        for (const std::string &line : batch) {
            if (!this->awaitOutput())
                return;
            LOG(INFO) << line;
        }
        batch.clear();
    }
}

} // namespace Jujubekeel
