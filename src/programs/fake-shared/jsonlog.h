#pragma once

#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Switches the log to JSON lines on standard output without a log file. Call once, at the start of main.
/// \a server is written into each line.
void startJsonLog(const std::string &server);

/// Writes one line; any thread.
void writeLogLine(const std::string &level, const std::string &event, const LogFields &fields = {});

} // namespace Jujubekeel
