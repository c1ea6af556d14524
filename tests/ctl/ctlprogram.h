#pragma once

#include "support/programrun.h"

#include <string>
#include <vector>

namespace Jujubekeel {

using CommandResult = ProgramResult;

/// Runs jujubekeel-ctl in \a directory and waits until it exits.
[[nodiscard]] CommandResult runCtl(const std::vector<std::string> &arguments, const std::string &directory);

} // namespace Jujubekeel
