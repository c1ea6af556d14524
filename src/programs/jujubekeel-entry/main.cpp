#include "entrydaemon.h"
#include "net/logger.h"
#include "programs/commandline/commandline.h"
#include "settingsreader.h"

#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

namespace {

using namespace Jujubekeel;

constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

constexpr const char *settingsVariable = "JUJUBEKEEL_SETTINGS";

/// Larger blocks are returned to the system when they are freed. glibc would raise this limit up to 32 MiB, and the
/// buffers of large messages would stay in a fragmented heap.
constexpr int mappedBlockBytes = 128 * 1024;

constexpr const char *usage = R"(Database proxy with session consistency: entry instance for the statement protocol.

Usage:
  jujubekeel-entry [--settings=FILE] [--check] [--log-level=LEVEL]
  jujubekeel-entry (--help | --version)

Options:
  --settings=FILE    settings of this instance (YAML); by default the file that JUJUBEKEEL_SETTINGS names
  --check            only check the settings
  --log-level=LEVEL  lowest level that is logged: debug, info, warning or error [default: info]
  -h --help          show this text
  --version          show the version

SIGTERM and SIGINT start a planned stop: requests in flight are finished first. SIGHUP reads the settings again.
Exit status: 0 after a planned stop, 1 after a failure at run time, 2 for errors in usage or settings.
)";

LogLevel parseLogLevel(const std::string &name)
{
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "info")
        return LogLevel::Info;
    if (name == "warning")
        return LogLevel::Warning;
    if (name == "error")
        return LogLevel::Error;
    CommandLine::fail("--log-level is \"" + name + "\"; expected debug, info, warning or error");
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const CommandLine options(usage, "jujubekeel-entry " JUJUBEKEEL_VERSION, argumentCount, arguments);
    std::string file = options.text("--settings");
    const char *environmentFile = std::getenv(settingsVariable);
    if (file.empty() && environmentFile != nullptr)
        file = environmentFile;
    if (file.empty())
        CommandLine::fail(std::string("no settings file: give --settings or set ") + settingsVariable);

    FailureReason reason;
    auto settings = readEntrySettings(file, reason);
    if (!settings) {
        std::cerr << "jujubekeel-entry: error " << static_cast<int>(reason.code()) << ": " << reason.text() << '\n';
        return exitUsage;
    }
    if (options.isGiven("--check")) {
        std::cout << "settings are valid\n";
        return exitOk;
    }
    ::mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    // Writing to a connection that the peer has closed must fail that call and not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    Logger logger({.instance = settings->instance, .level = parseLogLevel(options.text("--log-level"))});
    try {
        EntryDaemon daemon(std::move(*settings), file, logger);
        daemon.run();
        return exitOk;
    } catch (const std::exception &error) {
        logger.write(LogLevel::Error, "failed", {{"reason", error.what()}});
        return exitFailure;
    }
}
