#include "capacityprobe.h"

#include "programs/commandline/commandline.h"

#include <array>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

namespace {

constexpr const char *usage = R"(Measures the cost of the control plane for one daemon in fleets of several sizes.

Usage:
  jujubekeel-capacity [--instances N --databases N] [--statements N]
  jujubekeel-capacity (-h | --help)
  jujubekeel-capacity --version

Options:
  --instances N   One fleet of this many daemons instead of the built-in sizes.
  --databases N   Databases of that fleet, with three backend servers each.
  --statements N  Reads per second through the daemon [default: 0].
  -h --help       Show this text.
  --version       Show the version.
)";

struct FleetSize
{
    std::uint32_t instances;
    std::uint32_t databases;
};

/// The current fleet size, and three sizes up to the design target.
constexpr std::array builtInSizes{FleetSize{6, 3}, FleetSize{550, 1350}, FleetSize{1100, 2700}, FleetSize{2200, 5400}};

/// Limits of the options.
constexpr std::uint32_t maxInstances = 100'000;
constexpr std::uint32_t maxStatements = 100'000;

} // namespace

int main(int argumentCount, char **argumentValues)
{
    using namespace Jujubekeel;
    const CommandLine arguments(usage, "jujubekeel-capacity 0.1.0", argumentCount, argumentValues);
    const std::uint32_t statements = arguments.number("--statements", 0, maxStatements);

    std::vector<FleetSize> sizes(builtInSizes.begin(), builtInSizes.end());
    if (arguments.isGiven("--instances")) {
        sizes = {FleetSize{arguments.number("--instances", 1, maxInstances),
                           arguments.number("--databases", 1, maxInstances)}};
    }

    std::cout << "instances databases owned  processor-%  memory-MB  messages/s  bytes/s  backend-requests/s "
                 "platform-calls/s  us/statement  state-hash\n";
    for (const FleetSize &size : sizes) {
        CapacityProbe probe(
            {.instances = size.instances, .databases = size.databases, .statementsPerSecond = statements});
        const CapacityFigures figures = probe.run();
        std::cout << std::setw(9) << size.instances << std::setw(10) << size.databases << std::setw(6)
                  << figures.ownedBackends << std::fixed << std::setprecision(2) << std::setw(13)
                  << figures.processorPercent << std::setw(11) << figures.memoryMegabytes << std::setprecision(0)
                  << std::setw(12) << figures.messagesPerSecond << std::setw(9) << figures.bytesPerSecond
                  << std::setw(20) << figures.backendRequestsPerSecond << std::setprecision(2) << std::setw(17)
                  << figures.platformCallsPerSecond << std::setw(14) << figures.statementMicroseconds << "  "
                  << std::hex << figures.stateHash << std::dec << std::endl;
    }
    return 0;
}
