#include "ctl/ctlprogram.h"

#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>

#include <iterator>
#include <thread>

namespace Jujubekeel {

CommandResult runCtl(const std::vector<std::string> &arguments, const std::string &directory)
{
    Poco::Pipe output;
    Poco::Pipe errors;
    const std::string program = std::string(JUJUBEKEEL_BINARY_DIR) + "/bin/jujubekeel-ctl";
    Poco::ProcessHandle process = Poco::Process::launch(program, arguments, directory, nullptr, &output, &errors);
    CommandResult result;
    std::jthread reader([&] {
        Poco::PipeInputStream stream(errors);
        result.errors.assign(std::istreambuf_iterator<char>(stream), {});
    });
    Poco::PipeInputStream stream(output);
    result.output.assign(std::istreambuf_iterator<char>(stream), {});
    reader.join();
    result.status = process.wait();
    return result;
}

} // namespace Jujubekeel
