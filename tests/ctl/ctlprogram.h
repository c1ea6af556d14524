#pragma once

#include <string>
#include <vector>

namespace Jujubekeel {

struct CommandResult
{
    int status = -1;
    std::string output;
    std::string errors;
};

/// Runs jujubekeel-ctl in \a directory and waits for its end.
[[nodiscard]] CommandResult runCtl(const std::vector<std::string> &arguments, const std::string &directory);

} // namespace Jujubekeel
