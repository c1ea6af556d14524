#pragma once

#include <string>
#include <vector>

namespace Jujubekeel {

class CommandOutput;

/// Explains a request from log lines alone, for example when its instance no longer runs. Returns the exit status.
/// \a files: names of log files, "-" for standard input.
[[nodiscard]] int explainFromLogs(const std::string &request, const std::vector<std::string> &files,
                                  const CommandOutput &output);

} // namespace Jujubekeel
