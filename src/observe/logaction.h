#pragma once

#include "core/action.h"

#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

/// Appends a log line. \a event is the fixed name of the event.
void appendLog(Actions &actions, LogLevel level, std::string event,
               std::vector<std::pair<std::string, std::string>> fields);

} // namespace Jujubekeel
