#include "programs/commandline/commandline.h"
#include "programs/fake-platform/platformdriver.h"
#include "programs/fake-platform/platformservice.h"
#include "programs/fake-shared/fakehttpserver.h"
#include "programs/fake-shared/jsonlog.h"
#include "programs/fake-shared/stopsignal.h"

#include <Poco/Exception.h>

namespace {

constexpr const char *usage = R"(Fake of the platform's object API and instance list, for demos and tests.

Usage:
  fake-platform [options] [--instance=NAME]...
  fake-platform (--help | --version)

Options:
  --listen=ADDRESS    IP address and port; with port 0 the kernel picks one [default: 127.0.0.1:0]
  --latency-ms=N      duration of a call [default: 3]
  --list-lag-ms=N     delay until a change shows in the instance list [default: 5000]
  --instance=NAME     instance that is listed at start-up; can be repeated
  --threads=N         limit of connections that are served at the same time [default: 256]
  -h --help           show this text
  --version           show the version

The program writes JSON lines to standard output; the event "ready" holds the address.
It stops at SIGINT or SIGTERM. docs/fakes.md describes the protocol.
)";

} // namespace

int main(int argumentCount, char **arguments)
{
    using namespace Jujubekeel;
    const CommandLine options(usage, "fake-platform 0.1.0", argumentCount, arguments);
    startJsonLog("platform");
    blockStopSignals();
    try {
        PlatformDriver driver(
            {.latency = options.milliseconds("--latency-ms"), .listLag = options.milliseconds("--list-lag-ms")});
        for (const std::string &name : options.texts("--instance"))
            driver.setListedInstance(name);
        PlatformService service(driver);
        FakeHttpServer server(
            {.address = options.text("--listen"), .threads = static_cast<int>(options.number("--threads", 2, 4096))},
            [&](const FakeHttpRequest &httpRequest) { return service.handle(httpRequest); }, [](std::uint64_t) {});
        server.start();
        writeLogLine("info", "ready", {{"address", server.address()}});
        waitForStopSignal();
        server.stop();
        writeLogLine("info", "stopped");
        return 0;
    } catch (const Poco::Exception &error) {
        writeLogLine("error", "start-failed", {{"text", error.displayText()}});
        return 1;
    }
}
