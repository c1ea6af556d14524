#pragma once

#include "core/proxyoptions.h"
#include "virtualfleet/history.h"
#include "virtualfleet/historychecker.h"
#include "virtualfleet/userlayout.h"
#include "virtualfleet/virtualfleet.h"
#include "virtualfleet/workload.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

/// Faults of the matrix in docs/fault-matrix.md.
enum class FaultCase : std::uint8_t {
    ProxyKilled,
    ProxyPaused,
    PrimaryKilled,
    PrimaryCutOff,
    ReplicaFarBehind,
    DomainCutOff,
    PlatformDown,
    PlatformSlow,
    PlatformAnswerLost,
    OperatorsRacing,
    ConnectionSilent,
    InstanceLeaving,
    ProxyStopped,
    BackendLeaving,
};

/// When the fault is injected, relative to a request to the first database.
enum class FaultStep : std::uint8_t {
    AtTime,        ///< at the planned time
    BeforeSending, ///< a write has reached its entry proxy and is not yet sent to the backend server
    Sent,          ///< the write has been sent to the backend server
    Answered,      ///< the backend server has answered the write, the caller has not received the answer
    InCommit,      ///< the backend server has received a Commit
    InPromotion,   ///< a primary was killed, the first Fence has arrived; for primary faults: Promote was answered
    InHandover,    ///< the owner is about to release its lock on the primary for a better-ranked proxy
    InDrain,       ///< the owner of the primary was requested to stop
};

[[nodiscard]] std::span<const FaultCase> allFaultCases();
[[nodiscard]] std::span<const FaultStep> allFaultSteps();
/// Names in CamelCase, usable in test names.
[[nodiscard]] std::string_view faultCaseName(FaultCase fault);
[[nodiscard]] std::string_view faultStepName(FaultStep step);

struct ScenarioFault
{
    FaultCase fault = FaultCase::ProxyKilled;
    FaultStep step = FaultStep::AtTime;
    Duration after = std::chrono::seconds(2);    ///< from the start of the load
    Duration duration = std::chrono::seconds(4); ///< until the fault is healed
};

/// Draws faults from a seed: kind, step, time and duration.
[[nodiscard]] std::vector<ScenarioFault> drawFaults(std::uint64_t seed, std::size_t count);
/// Description of the faults in one line, for failure messages.
[[nodiscard]] std::string describeFaults(std::span<const ScenarioFault> faults);

struct ScenarioOptions
{
    FleetUser user = FleetUser::Association;
    std::uint64_t seed = 1;
    std::vector<ScenarioFault> faults;
    Duration warmUp = std::chrono::seconds(8); ///< before the load, until ownership and membership have settled
    Duration load = std::chrono::seconds(12);
    Duration settle = std::chrono::seconds(20); ///< after healing; covers the grace period of a planned stop
    WorkloadOptions workload;                   ///< seed, start and duration are set by the scenario
    Duration serviceTime = std::chrono::milliseconds(3);
    ProxyOptions proxy;
    bool primaryOnly = false; ///< baseline without read-age rules, so that every read goes to the primary
    bool onlyWrites = false;
    /// Called for each log line of a proxy and for each fault.
    std::function<void(TimePoint at, const std::string &line)> trace = {};
};

struct ScenarioResult
{
    std::vector<Violation> violations;
    WriteStatistics writes;
    WorkloadStatistics load;
    FleetTraffic traffic; ///< during the load
    Duration loadTime{0};
    std::uint64_t writesDuringLoad = 0; ///< writes outside transactions acknowledged before the end of the load
    std::vector<bool> injected;         ///< by fault: whether its step was reached
    Duration longestWriteGap{0};        ///< first database, from the first fault to the end of the load
    std::uint64_t slotRefusals = 0;
    std::uint64_t connectionRefusals = 0;
    std::uint64_t stateHash = 0;
    History history;
};

/// Runs one user's load with faults in virtual time, heals everything, lets the fleet settle and checks the history.
[[nodiscard]] ScenarioResult runScenario(const ScenarioOptions &options);

/// One line for each violation, at most \a limit.
[[nodiscard]] std::string describeViolations(std::span<const Violation> violations, std::size_t limit = 10);

} // namespace Jujubekeel
