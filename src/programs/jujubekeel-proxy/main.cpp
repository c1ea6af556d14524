#include "net/proxydaemon.h"
#include "settings/settingsloader.h"

#include <docopt/docopt.h>

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdint>
#include <exception>
#include <iostream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace Jujubekeel;

constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

constexpr const char *usage = R"(Database proxy with session consistency.

Usage:
  jujubekeel-proxy --settings FILE [--check]
  jujubekeel-proxy --help
  jujubekeel-proxy --version

Options:
  --settings FILE  Settings of this instance (YAML).
  --check          Only check the settings: print each error and exit.
  -h --help        Show this text.
  --version        Show the version.

SIGTERM and SIGINT start a planned stop: requests in flight are finished first.
Exit status: 0 after a planned stop, 1 after a failure at run time, 2 for errors in usage or settings.
)";

/// Blocks the signals of a planned stop, also for threads that are started later, and returns a descriptor that reports
/// them.
int watchStopSignals()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // Writing to a connection that the peer has closed must fail that call and not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    return signalfd(-1, &signals, SFD_CLOEXEC);
}

std::optional<ProxySettings> loadSettings(const std::string &file)
{
    SettingsLoader loader(SettingsPurpose::Daemon);
    auto settings = loader.load(file);
    if (!settings) {
        for (const SettingsError &error : loader.errors())
            std::cerr << describe(error) << '\n';
    }
    return settings;
}

int run(ProxySettings settings)
{
    const int signalDescriptor = watchStopSignals();
    const int stoppedDescriptor = eventfd(0, EFD_CLOEXEC);
    if (signalDescriptor < 0 || stoppedDescriptor < 0) {
        std::cerr << "jujubekeel-proxy: cannot create an event descriptor\n";
        return exitFailure;
    }
    const std::string name = settings.layout.at(settings.self).name;
    ProxyDaemon daemon(std::move(settings), LoggerOptions{.instance = name}, [stoppedDescriptor] {
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written = ::write(stoppedDescriptor, &one, sizeof one);
    });
    daemon.start();

    // A signal starts the planned stop; the daemon writes to `stoppedDescriptor` when no request is in flight any more.
    while (true) {
        std::array<pollfd, 2> watched{{
            {.fd = signalDescriptor, .events = POLLIN, .revents = 0},
            {.fd = stoppedDescriptor, .events = POLLIN, .revents = 0},
        }};
        ::poll(watched.data(), watched.size(), -1);
        if (watched[1].revents != 0)
            break;
        if (watched[0].revents != 0) {
            signalfd_siginfo info{};
            [[maybe_unused]] const auto bytes = ::read(signalDescriptor, &info, sizeof info);
            daemon.requestStop();
        }
    }
    daemon.stop();
    return exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    // docopt_parse() instead of docopt(), which exits with a status other than exitUsage on errors.
    std::map<std::string, docopt::value> arguments;
    try {
        arguments = docopt::docopt_parse(usage, std::vector<std::string>(argv + 1, argv + argc), true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return exitOk;
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << "jujubekeel-proxy " JUJUBEKEEL_VERSION "\n";
        return exitOk;
    } catch (const std::exception &error) {
        std::cerr << "jujubekeel-proxy: " << error.what() << '\n' << usage;
        return exitUsage;
    }

    auto settings = loadSettings(arguments.at("--settings").asString());
    if (!settings)
        return exitUsage;
    if (arguments.at("--check").asBool()) {
        std::cout << "settings are valid\n";
        return exitOk;
    }
    try {
        return run(std::move(*settings));
    } catch (const std::exception &error) {
        std::cerr << "jujubekeel-proxy: " << error.what() << '\n';
        return exitFailure;
    }
}
