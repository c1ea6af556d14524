#pragma once

#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

/// Names and values of the additional fields of a log line.
using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Configures the log to write JSON lines to standard output only. Must be called once, at the start of main.
/// \a server is the value of the field "server" of every line.
void startJsonLog(const std::string &server);

/// Writes one log line. Any thread.
void writeLogLine(const std::string &level, const std::string &event, const LogFields &fields = {});

} // namespace Jujubekeel
