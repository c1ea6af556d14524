#include "settings/settingserror.h"

namespace Jujubekeel {

std::string describe(const SettingsError &error)
{
    std::string line = error.file;
    line += ":";
    if (error.line != 0)
        line += std::to_string(error.line) + ":";
    line += " " + std::to_string(static_cast<unsigned>(error.code)) + " ";
    line += resultCodeInfo(error.code).name;
    line += ": ";
    if (!error.key.empty())
        line += error.key + ": ";
    return line + error.text;
}

} // namespace Jujubekeel
