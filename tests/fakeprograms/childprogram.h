#pragma once

#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Jujubekeel {

/// A program of this project as a child process, ended with the object. Owned by a test.
class ChildProgram final
{
public:
    ChildProgram(const std::string &program, const std::vector<std::string> &arguments)
        : handle(Poco::Process::launch(std::string(JUJUBEKEEL_BINARY_DIR) + "/bin/" + program, arguments, nullptr,
                                       &this->outputPipe, nullptr)),
          output(this->outputPipe)
    {
    }
    ~ChildProgram()
    {
        if (!this->waited)
            this->stop();
    }
    ChildProgram(const ChildProgram &) = delete;
    ChildProgram &operator=(const ChildProgram &) = delete;

    /// Address in the line with the event "ready"; empty if the program ended without one.
    std::string waitForAddress()
    {
        std::string line;
        while (std::getline(this->output, line)) {
            const auto json = nlohmann::json::parse(line, nullptr, false);
            if (json.is_object() && json.value("event", "") == "ready")
                return json.value("address", "");
        }
        return {};
    }
    [[nodiscard]] std::string readAll() { return {std::istreambuf_iterator<char>(this->output), {}}; }
    /// Waits for the end and returns the exit code.
    int wait()
    {
        this->waited = true;
        return this->handle.wait();
    }
    int stop()
    {
        Poco::Process::requestTermination(this->handle.id());
        return this->wait();
    }

private:
    Poco::Pipe outputPipe;
    Poco::ProcessHandle handle;
    Poco::PipeInputStream output;
    bool waited = false;
};

} // namespace Jujubekeel
