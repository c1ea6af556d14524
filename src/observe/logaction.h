#pragma once

#include "core/action.h"

#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

/// Appends an action that writes a log line. \a event is the name of the event, the same for all its lines.
void appendLog(Actions &actions, LogLevel level, std::string event,
               std::vector<std::pair<std::string, std::string>> fields);

} // namespace Jujubekeel
