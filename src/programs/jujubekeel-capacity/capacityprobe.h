#pragma once

#include "core/action.h"
#include "core/fleetlayout.h"
#include "core/proxycore.h"
#include "core/time.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace Jujubekeel {

struct CapacityProbeOptions
{
    std::uint32_t instances = 6; ///< daemons of the fleet
    std::uint32_t databases = 3; ///< with three backend servers each
    std::uint32_t failureDomains = 8;
    std::uint32_t rules = 20;                    ///< lines of the rule set
    std::uint32_t statementsPerSecond = 0;       ///< reads through this daemon
    Duration warmUp = std::chrono::seconds(10);  ///< virtual time before the measurement
    Duration measured = std::chrono::seconds(5); ///< virtual time of the measurement
};

/// Cost of one daemon in a healthy fleet, per second of virtual time.
struct CapacityFigures
{
    double processorPercent = 0;  ///< processor time of the core in percent of virtual time
    double memoryMegabytes = 0;   ///< heap that the core holds
    double messagesPerSecond = 0; ///< sent to peers
    double bytesPerSecond = 0;    ///< size of these messages as CBOR
    double platformCallsPerSecond = 0;
    double backendRequestsPerSecond = 0; ///< on control connections
    std::uint32_t ownedBackends = 0;
    double statementMicroseconds = 0; ///< processor time for each statement; 0 if none were sent
    std::uint64_t statementsAnswered = 0;
    std::uint64_t stateHash = 0;
};

/// Runs the decision library of one daemon in a fleet of any size. Backend servers, peers and the platform are
/// simulated as in a healthy fleet and answer without delay, so that only the cost of the daemon is measured. Owned by
/// main; one thread.
class CapacityProbe final
{
public:
    explicit CapacityProbe(CapacityProbeOptions options);

    [[nodiscard]] CapacityFigures run();

private:
    static FleetLayout makeLayout(const CapacityProbeOptions &options);
    void step(const Input &input);
    void perform(const Action &action);
    void answerBackend(const SendToBackend &send);
    void answerPlatform(const PlatformCall &call);
    void sendHeartbeats();
    void sendStatements();
    void runUntil(TimePoint end);
    [[nodiscard]] ServerStatus statusOf(BackendId backend) const;

    CapacityProbeOptions options;
    FleetLayout layout;
    std::unique_ptr<ProxyCore> core;
    TimePoint now{0};
    TimePoint nextHeartbeats{0};
    double statementCredit = 0; ///< statements that are due; the fraction carries over to the next tick
    std::uint64_t nextTicket = 1;
    std::deque<Input> inputs;           ///< answers and messages that are not yet passed to the core
    std::vector<BackendId> connections; ///< backend server by connection index
    bool measuring = false;             ///< false during the warm-up; the counts below are of the measurement
    std::uint64_t stepNanoseconds = 0;  ///< processor time of the core
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t platformCalls = 0;
    std::uint64_t backendRequests = 0;
    std::uint64_t answers = 0; ///< to callers
};

} // namespace Jujubekeel
