#pragma once

#include <string>
#include <vector>

namespace Jujubekeel {

/// Exit status and output of a finished command.
struct CommandResult
{
    int status = -1;
    std::string output;
    std::string errors;
};

/// Runs jujubekeel-ctl in \a directory and waits until it exits.
[[nodiscard]] CommandResult runCtl(const std::vector<std::string> &arguments, const std::string &directory);

} // namespace Jujubekeel
