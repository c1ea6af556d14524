#include "observe/logaction.h"

namespace Jujubekeel {

void appendLog(Actions &actions, LogLevel level, std::string event,
               std::vector<std::pair<std::string, std::string>> fields)
{
    actions.emplace_back(WriteLog{.level = level, .event = std::move(event), .fields = std::move(fields)});
}

} // namespace Jujubekeel
