#include "ctl/ctlprogram.h"

namespace Jujubekeel {

CommandResult runCtl(const std::vector<std::string> &arguments, const std::string &directory)
{
    return runProgram("jujubekeel-ctl", arguments, directory);
}

} // namespace Jujubekeel
