#include "programs/commandline/commandline.h"
#include "programs/fake-shared/fakehttpserver.h"
#include "programs/fake-shared/jsonlog.h"
#include "programs/fake-shared/stopsignal.h"
#include "programs/fake-statement-platform/objectservice.h"
#include "programs/fake-statement-platform/statementservers.h"

#include <atomic>
#include <chrono>
#include <exception>
#include <thread>

namespace {

constexpr const char *usage =
    R"(Fake of the users' platform: a group of backend servers that speak the statement protocol, the
store, and the promotion call. For demos and tests.

Usage:
  fake-statement-platform [options]
  fake-statement-platform (--help | --version)

Options:
  --store=ADDRESS      IP address and port of the store and of the promotion call [default: 127.0.0.1:0]
  --servers=ADDRESSES  addresses of the backend servers, comma-separated [default: 127.0.0.1:0,127.0.0.1:0,127.0.0.1:0]
  --service=NAME       name of the group [default: records]
  --work-ms=N          mean execution time of a statement [default: 2]
  --promotion-ms=N     duration of a promotion [default: 300]
  -h --help            show this text
  --version            show the version

The program writes JSON lines to standard output; the event "ready" holds the store's address. Faults are set by
`POST /v1/fault`: {"server": 0, "running": false}, {"server": 0, "draining": true}, {"down": true}, {"copy": true}, {"restore": true};
the last one returns the store to the copy.
It stops at SIGINT or SIGTERM.
)";

/// Interval at which changed entries of the backend servers are written to the store.
constexpr std::chrono::milliseconds entryRefreshInterval(20);

} // namespace

int main(int argumentCount, char **arguments)
{
    using namespace Jujubekeel;
    const CommandLine options(usage, "fake-statement-platform 0.1.0", argumentCount, arguments);
    startJsonLog("platform");
    blockStopSignals();
    try {
        StatementServers servers({.service = options.text("--service"),
                                  .work = options.milliseconds("--work-ms"),
                                  .promotion = options.milliseconds("--promotion-ms")},
                                 splitList(options.text("--servers")));
        ObjectService service(servers);
        FakeHttpServer server(
            {.address = options.text("--store")},
            [&](const FakeHttpRequest &httpRequest) { return service.handle(httpRequest); }, [](std::uint64_t) {});
        server.start();
        std::atomic<bool> stopping{false};
        std::thread loop([&] { servers.run(); });
        std::thread entries([&] {
            while (!stopping) {
                service.refreshEntries();
                std::this_thread::sleep_for(entryRefreshInterval);
            }
        });
        writeLogLine("info", "ready", {{"address", server.address()}});
        waitForStopSignal();
        stopping = true;
        entries.join();
        server.stop();
        servers.stop();
        loop.join();
        writeLogLine("info", "stopped");
        return 0;
    } catch (const std::exception &error) {
        writeLogLine("error", "start-failed", {{"text", error.what()}});
        return 1;
    }
}
