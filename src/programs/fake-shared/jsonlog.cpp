// Easylogging++ is used in this file only; its crash handler and log file are disabled.
#define ELPP_NO_DEFAULT_LOG_FILE
#define ELPP_DISABLE_DEFAULT_CRASH_HANDLING
#define ELPP_THREAD_SAFE
#include <easylogging++.h>

// The Debian package installs the source file in the include directory.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)

#include "programs/fake-shared/jsonlog.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>
#include <nlohmann/json.hpp>

#include <iostream>

INITIALIZE_EASYLOGGINGPP

namespace Jujubekeel {

namespace {

std::string &serverName()
{
    static std::string name;
    return name;
}

} // namespace

void startJsonLog(const std::string &server)
{
    serverName() = server;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configuration);
}

void writeLogLine(const std::string &level, const std::string &event, const LogFields &fields)
{
    nlohmann::ordered_json line;
    line["time"] = Poco::DateTimeFormatter::format(Poco::Timestamp(), Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
    line["level"] = level;
    line["server"] = serverName();
    line["event"] = event;
    for (const auto &[name, value] : fields)
        line[name] = value;
    LOG(INFO) << line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    // Standard output may be a pipe whose reader waits for this line, such as the "ready" event with the address.
    std::cout.flush();
}

} // namespace Jujubekeel
