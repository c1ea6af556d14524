#include "programs/commandline/commandline.h"
#include "programs/fake-backend/backenddriver.h"
#include "programs/fake-backend/backendservice.h"
#include "programs/fake-shared/fakehttpserver.h"
#include "programs/fake-shared/jsonlog.h"
#include "programs/fake-shared/stopsignal.h"

#include <Poco/Exception.h>

#include <algorithm>

namespace {

constexpr const char *usage = R"(Fake of one backend server of a replicated group, for demos and tests.

Usage:
  fake-backend --name=NAME --group=NAMES --first-primary=NAME [options] [--peer=PEER]...
  fake-backend (--help | --version)

Options:
  --name=NAME             name of this server
  --group=NAMES           names of all servers of the group, comma-separated
  --first-primary=NAME    primary of the first term
  --peer=PEER             NAME@IP:PORT of another server of the group; can be repeated
  --listen=ADDRESS        IP address and port; with port 0 the kernel picks one [default: 127.0.0.1:0]
  --slots=N               limit of statements that run at the same time [default: 3]
  --connection-limit=N    limit of open sessions, control sessions included [default: 20]
  --service-ms=N          execution time of a statement [default: 3]
  --heartbeat-ms=N        interval of replication heartbeats [default: 50]
  --lock-timeout-ms=N     control sessions without a request for this long are closed [default: 2000]
  --apply-lag-ms=N        delay between receiving and applying a log entry [default: 0]
  --connect-ms=N          duration of opening a session [default: 10]
  -h --help               show this text
  --version               show the version

The program writes JSON lines to standard output; the event "ready" holds the address.
It stops at SIGINT or SIGTERM. docs/fakes.md describes the protocol.
)";

/// Threads in addition to the connection limit. They serve replication, fault injection, and clients whose sessions are
/// refused because the limit is reached.
constexpr int extraThreads = 64;

Jujubekeel::FakeBackendOptions readOptions(const Jujubekeel::CommandLine &options)
{
    using Jujubekeel::CommandLine;
    Jujubekeel::FakeBackendOptions result;
    result.name = options.text("--name");
    result.group = Jujubekeel::splitList(options.text("--group"));
    result.firstPrimary = options.text("--first-primary");
    if (std::ranges::count(result.group, result.name) != 1)
        CommandLine::fail("--group: must contain the name of this server exactly once");
    if (std::ranges::count(result.group, result.firstPrimary) != 1)
        CommandLine::fail("--first-primary: must be the name of a server of the group");
    result.slots = options.number("--slots", 1, 1000);
    result.connectionLimit = options.number("--connection-limit", 1, 1000);
    result.serviceTime = options.milliseconds("--service-ms");
    result.heartbeatInterval = options.milliseconds("--heartbeat-ms");
    if (result.heartbeatInterval == Jujubekeel::Duration{0})
        CommandLine::fail("--heartbeat-ms: must not be 0");
    result.lockTimeout = options.milliseconds("--lock-timeout-ms");
    result.applyLag = options.milliseconds("--apply-lag-ms");
    return result;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    using namespace Jujubekeel;
    const CommandLine commandLine(usage, "fake-backend 0.1.0", argumentCount, arguments);
    const FakeBackendOptions options = readOptions(commandLine);
    startJsonLog(options.name);
    blockStopSignals();
    try {
        BackendDriver driver(options);
        for (const std::string &peer : commandLine.texts("--peer")) {
            const std::size_t separator = std::min(peer.find('@'), peer.size());
            if (separator + 1 >= peer.size()
                || !driver.setAddress(peer.substr(0, separator), peer.substr(separator + 1)))
                CommandLine::fail("--peer: NAME@IP:PORT of another server of the group is expected");
        }
        BackendService service(driver, options.name, commandLine.milliseconds("--connect-ms"));
        FakeHttpServer server(
            {.address = commandLine.text("--listen"),
             .threads = static_cast<int>(options.connectionLimit) + extraThreads},
            [&](const FakeHttpRequest &httpRequest) { return service.handle(httpRequest); },
            [&](std::uint64_t connection) { driver.close(connection); });
        driver.setClosedCallback([&](std::uint64_t session) { server.closeConnection(session); });
        server.start();
        writeLogLine("info", "ready", {{"address", server.address()}});
        waitForStopSignal();
        // Calls to a frozen server block, and stop() waits for the threads of all connections.
        driver.setFrozen(false);
        server.stop();
        writeLogLine("info", "stopped");
        return 0;
    } catch (const Poco::Exception &error) {
        writeLogLine("error", "start-failed", {{"text", error.displayText()}});
        return 1;
    }
}
