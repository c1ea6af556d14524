#pragma once

#include "recorder.h"
#include "tcp.h"

#include <string>
#include <sys/types.h>

namespace Review {

struct EntryOptions
{
    std::string program; ///< as in the deploy file
    std::string folder;  ///< for the settings and the log
    std::string name;
    std::string host;
    std::string zone;
    std::string region;
    Endpoint store;
    Endpoint promotions;
    std::string serviceBounds; ///< further lines of the settings
};

/// One instance of the program that the deploy file runs, as a process of its own.
class EntryProcess final
{
public:
    EntryProcess(EntryOptions entryOptions, Recorder &caseRecorder);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    [[nodiscard]] const std::string &name() const { return this->options.name; }
    [[nodiscard]] const Endpoint &front() const { return this->frontEndpoint; }
    /// Starts the process with the settings; \a first: the whole fleet starts for the first time.
    void start(bool first);
    void signal(int number);
    /// Ends it at once.
    void kill();
    /// Waits until it has ended by itself. Returns false after the timeout.
    bool waitForEnd(int timeoutMs);
    [[nodiscard]] bool isReady() const;
    bool waitUntilReady(int timeoutMs) const;

private:
    void writeSettings(bool first) const;
    [[nodiscard]] std::string settingsFile() const;

    EntryOptions options;
    Recorder &recorder;
    Endpoint frontEndpoint;
    Endpoint readyEndpoint;
    Endpoint controlEndpoint;
    std::uint16_t relayPort = 0;
    pid_t process = -1;
};

} // namespace Review
