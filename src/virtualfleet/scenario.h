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

/// When the fault strikes, seen from a request to the first database.
enum class FaultStep : std::uint8_t {
    AtTime,        ///< at the planned time, whatever goes on
    BeforeSending, ///< a write is at its entry proxy, nothing went to the backend server
    Sent,          ///< the write is on its way to the backend server
    Answered,      ///< the backend server has answered the write, the caller has no answer yet
    InCommit,      ///< the backend server has got a Commit
    InPromotion,   ///< a primary was killed, and the first fence has arrived
    InHandover,    ///< the owner is about to release the primary for a better-ranked proxy
    InDrain,       ///< the owner of the primary was asked to stop
};

[[nodiscard]] std::span<const FaultCase> allFaultCases();
[[nodiscard]] std::span<const FaultStep> allFaultSteps();
/// Names in CamelCase, fit for test names.
[[nodiscard]] std::string_view faultCaseName(FaultCase fault);
[[nodiscard]] std::string_view faultStepName(FaultStep step);

struct ScenarioFault
{
    FaultCase fault = FaultCase::ProxyKilled;
    FaultStep step = FaultStep::AtTime;
    Duration after = std::chrono::seconds(2); ///< from the start of the load
    Duration lasts = std::chrono::seconds(4); ///< until the fault is healed
};

/// Faults drawn from a seed: which, at which step, when and for how long.
[[nodiscard]] std::vector<ScenarioFault> drawFaults(std::uint64_t seed, std::size_t count);
/// One line that names the faults, for failure messages.
[[nodiscard]] std::string describeFaults(std::span<const ScenarioFault> faults);

struct ScenarioOptions
{
    FleetUser user = FleetUser::Association;
    std::uint64_t seed = 1;
    std::vector<ScenarioFault> faults;
    Duration warmUp = std::chrono::seconds(8); ///< before the load: ownership and membership settle
    Duration load = std::chrono::seconds(12);
    Duration settle = std::chrono::seconds(20); ///< after healing, without load; covers the grace of a planned stop
    WorkloadOptions workload;                   ///< seed, start and duration are set by the scenario
    Duration serviceTime = std::chrono::milliseconds(3);
    ProxyOptions proxy;
    bool primaryOnly = false; ///< baseline: no read-age rule, so that every read goes to the primary
    bool onlyWrites = false;
    /// Called for each line of a trace: log lines of proxies and faults.
    std::function<void(TimePoint at, const std::string &line)> trace = {};
};

struct ScenarioResult
{
    std::vector<Violation> violations;
    WriteFigures writes;
    WorkloadFigures load;
    FleetTraffic traffic; ///< during the load
    Duration loadTime{0};
    std::uint64_t writesInTime = 0; ///< writes outside transactions acknowledged before the end of the load
    std::vector<bool> struck;       ///< by fault: its step was reached
    Duration longestWriteGap{0};    ///< first database, from the first fault to the end of the load
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
