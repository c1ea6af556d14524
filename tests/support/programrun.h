#pragma once

#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>

#include <iterator>
#include <string>
#include <thread>
#include <vector>

namespace Jujubekeel {

/// Exit status and output of a finished program.
struct ProgramResult
{
    int status = -1;
    std::string output;
    std::string errors;
};

/// Runs one of the project's programs in \a directory and waits until it exits.
[[nodiscard]] inline ProgramResult runProgram(const std::string &name, const std::vector<std::string> &arguments,
                                              const std::string &directory)
{
    Poco::Pipe output;
    Poco::Pipe errors;
    const std::string program = std::string(JUJUBEKEEL_BINARY_DIR) + "/bin/" + name;
    Poco::ProcessHandle process = Poco::Process::launch(program, arguments, directory, nullptr, &output, &errors);
    ProgramResult result;
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
