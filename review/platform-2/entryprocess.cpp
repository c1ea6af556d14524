#include "entryprocess.h"

#include "httpserver.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <thread>
#include <utility>

namespace Review {

namespace {

constexpr std::chrono::milliseconds pollInterval(10);
constexpr int httpOk = 200;

} // namespace

EntryProcess::EntryProcess(EntryOptions entryOptions, Recorder &caseRecorder)
    : options(std::move(entryOptions)), recorder(caseRecorder)
{
    const std::string &host = this->options.host;
    this->frontEndpoint = {.host = host, .port = findFreePort(host)};
    this->readyEndpoint = {.host = host, .port = findFreePort(host)};
    this->controlEndpoint = {.host = host, .port = findFreePort(host)};
    this->relayPort = findFreePort(host);
}

EntryProcess::~EntryProcess()
{
    this->kill();
}

std::string EntryProcess::settingsFile() const
{
    return this->options.folder + '/' + this->options.name + ".yaml";
}

void EntryProcess::writeSettings(bool first) const
{
    std::ofstream file(this->settingsFile());
    file << "NodeName: \"" << this->options.name
         << "\"\nRole: \"entry\"\nMachineClass: \"front\"\nServes:\n  - \"front\"\n"
         << "Ip: \"" << this->options.host << "\"\nZone: \"" << this->options.zone << "\"\nRegion: \""
         << this->options.region
         << "\"\nZones:\n  pos-central: \"north\"\n  sando-main: \"south\"\n  arima-town: \"east\"\n"
         << "Listen:\n  Front: \"" << this->frontEndpoint.text() << "\"\n  ReadyAddr: \"" << this->readyEndpoint.text()
         << "\"\n  ControlAddr: \"" << this->controlEndpoint.text() << "\"\nPortRange:\n  - " << this->relayPort
         << "\n  - " << this->relayPort << "\nSeeds: []\nBootstrap: " << (first ? "true" : "false")
         << "\nLossCounts: false\nLimits:\n  CpuShare: 0.25\n  Cores: 1\n  MemoryMb: 260\n  MaxFds: 4300\n  LinkMbps: "
            "1000.0\n"
         << "  DiskMb: 0\nDataDir: null\nDiscovery: \"platform\"\nEntry: \"vip\"\nHeartbeatMs: 1200\nContracts:\n  - "
            "\"base\"\n"
         << "  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"recover\"\n  - \"sql\"\n  - \"platform\"\nBounds:\n  "
            "DrainMs: 7000\n"
         << "  GraceS: 6\n  ConfigApplyMs: 3000\n  Fencing: false\n  ThawMs: 300\nplatform:\n  Address: \""
         << this->options.store.text()
         << "\"\n  form: \"objects\"\n  WritesPerS: 400\n  ReadsPerS: 2000\n  HistoryS: 20\n"
         << "  ValueBytes: 1048576\n  TtlMinMs: 1000\nCloudApi:\n  Address: \"" << this->options.promotions.text()
         << "\"\n  RatePerS: 50.0\n  Duties:\n    - \"promotion\"\n  DutyPerS: 50.0\n"
         << this->options.serviceBounds;
}

void EntryProcess::start(bool first)
{
    this->writeSettings(first);
    const std::string log = this->options.folder + '/' + this->options.name + ".log";
    const std::string variable = "JUJUBEKEEL_SETTINGS=" + this->settingsFile();
    const pid_t parent = ::getpid();
    this->process = ::fork();
    if (this->process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(1);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        char *const arguments[] = {const_cast<char *>(this->options.program.c_str()), nullptr};
        char *const environment[] = {const_cast<char *>(variable.c_str()), nullptr};
        ::execve(arguments[0], arguments, environment);
        ::_exit(127);
    }
    this->recorder.write(this->options.name, "starts, callers at " + this->frontEndpoint.text());
}

void EntryProcess::signal(int number)
{
    if (this->process <= 0)
        return;
    this->recorder.write(this->options.name, "gets signal " + std::to_string(number));
    ::kill(this->process, number);
}

void EntryProcess::kill()
{
    if (this->process <= 0)
        return;
    this->signal(SIGKILL);
    ::waitpid(this->process, nullptr, 0);
    this->process = -1;
}

bool EntryProcess::waitForEnd(int timeoutMs)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    while (this->process > 0 && std::chrono::steady_clock::now() < end) {
        if (::waitpid(this->process, nullptr, WNOHANG) == this->process) {
            this->process = -1;
            this->recorder.write(this->options.name, "has ended");
            return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return this->process <= 0;
}

bool EntryProcess::isReady() const
{
    return getStatus(this->readyEndpoint, "/api/readiness") == httpOk;
}

bool EntryProcess::waitUntilReady(int timeoutMs) const
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    while (!this->isReady()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace Review
