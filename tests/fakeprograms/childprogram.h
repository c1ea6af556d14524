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

/// Runs a program of this project as a child process and terminates it in the destructor. Owned by a test; not
/// thread-safe.
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

    /// Reads the output up to the log line with the event "ready" and returns its address; empty if the program ended
    /// without that line.
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
    /// Reads the remaining output until the program closes it.
    [[nodiscard]] std::string readAll() { return {std::istreambuf_iterator<char>(this->output), {}}; }
    /// Waits until the program ends and returns its exit code.
    int wait()
    {
        this->waited = true;
        return this->handle.wait();
    }
    /// Sends SIGTERM, waits until the program ends and returns its exit code.
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
