#include "virtualfleet/scenario.h"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <utility>

namespace Jujubekeel {

namespace {

constexpr std::array faultCases{FaultCase::ProxyKilled,     FaultCase::ProxyPaused,      FaultCase::PrimaryKilled,
                                FaultCase::PrimaryCutOff,   FaultCase::ReplicaFarBehind, FaultCase::DomainCutOff,
                                FaultCase::PlatformDown,    FaultCase::PlatformSlow,     FaultCase::PlatformAnswerLost,
                                FaultCase::OperatorsRacing, FaultCase::ConnectionSilent, FaultCase::InstanceLeaving,
                                FaultCase::ProxyStopped,    FaultCase::BackendLeaving};
constexpr std::array<std::string_view, faultCases.size()> faultCaseNames{
    "ProxyKilled",      "ProxyPaused",     "PrimaryKilled", "PrimaryCutOff",      "ReplicaFarBehind",
    "DomainCutOff",     "PlatformDown",    "PlatformSlow",  "PlatformAnswerLost", "OperatorsRacing",
    "ConnectionSilent", "InstanceLeaving", "ProxyStopped",  "BackendLeaving"};
constexpr std::array faultSteps{FaultStep::AtTime,     FaultStep::BeforeSending, FaultStep::Sent,
                                FaultStep::Answered,   FaultStep::InCommit,      FaultStep::InPromotion,
                                FaultStep::InHandover, FaultStep::InDrain};
constexpr std::array<std::string_view, faultSteps.size()> faultStepNames{
    "AtTime", "BeforeSending", "Sent", "Answered", "InCommit", "InPromotion", "InHandover", "InDrain"};

constexpr Duration slowPlatform = std::chrono::milliseconds(1500);
constexpr Duration farBehind = std::chrono::seconds(6); // exceeds the short accepted age of the profiles
constexpr std::uint32_t lostAnswers = 5;
// A killed proxy must be back early enough for the handover to happen during the load.
constexpr Duration handoverRestart = std::chrono::seconds(2);
constexpr Duration drainDelay = std::chrono::milliseconds(1);

/// Injects the faults of one scenario when their steps are reached.
class FaultPlan final
{
public:
    FaultPlan(VirtualFleet &drivenFleet, const UserProfile &userProfile, const std::vector<ScenarioFault> &faults)
        : fleet(drivenFleet), profile(userProfile)
    {
        for (const ScenarioFault &fault : faults)
            this->plans.push_back(Plan{.fault = fault, .isArmed = false, .injectedAt = std::nullopt});
    }

    void start(TimePoint loadStart)
    {
        this->fleet.setWireHandler([this](const WireEvent &event) { this->handle(event); });
        for (std::size_t index = 0; index < this->plans.size(); ++index)
            this->fleet.schedule(loadStart + this->plans[index].fault.after, [this, index] { this->arm(index); });
    }

    void setTrace(std::function<void(TimePoint, const std::string &)> handler) { this->trace = std::move(handler); }

    [[nodiscard]] std::vector<bool> injected() const
    {
        std::vector<bool> result;
        for (const Plan &plan : this->plans)
            result.push_back(plan.injectedAt.has_value());
        return result;
    }
    [[nodiscard]] std::optional<TimePoint> firstInjection() const
    {
        std::optional<TimePoint> first;
        for (const Plan &plan : this->plans) {
            if (plan.injectedAt && (!first || *plan.injectedAt < *first))
                first = plan.injectedAt;
        }
        return first;
    }

private:
    struct Plan
    {
        ScenarioFault fault;
        bool isArmed = false;
        std::optional<TimePoint> injectedAt;
    };

    [[nodiscard]] std::uint32_t ownerOfPrimary() const
    {
        const std::uint32_t owner = this->fleet.ownerOf(this->fleet.primaryOf(0));
        return owner < this->profile.layout.instances.size() ? owner : 0;
    }

    /// Called at the planned time: starts what leads to the step, so that handle() injects the fault when it is
    /// reached.
    void arm(std::size_t index)
    {
        Plan &plan = this->plans[index];
        plan.isArmed = true;
        switch (plan.fault.step) {
        case FaultStep::AtTime:
            this->injectFault(index);
            break;
        case FaultStep::InPromotion: {
            const std::uint32_t primary = this->fleet.primaryOf(0);
            this->fleet.apply(KillBackend{.backend = primary});
            this->fleet.schedule(this->fleet.now() + plan.fault.duration,
                                 [this, primary] { this->fleet.apply(RestartBackend{.backend = primary}); });
            break;
        }
        case FaultStep::InHandover: {
            // The best-ranked owner fails and returns, so that the next owner hands the server back to it.
            const std::uint32_t owner = this->ownerOfPrimary();
            this->fleet.apply(KillProxy{.proxy = owner});
            this->fleet.schedule(this->fleet.now() + handoverRestart,
                                 [this, owner] { this->fleet.apply(RestartProxy{.proxy = owner}); });
            break;
        }
        case FaultStep::InDrain: {
            const std::uint32_t owner = this->ownerOfPrimary();
            this->fleet.apply(StopProxy{.proxy = owner});
            this->fleet.schedule(this->fleet.now() + drainDelay, [this, index] { this->injectFault(index); });
            this->fleet.schedule(this->fleet.now() + plan.fault.duration,
                                 [this, owner] { this->fleet.apply(RestartProxy{.proxy = owner}); });
            break;
        }
        default:
            break;
        }
    }

    [[nodiscard]] bool isReached(const Plan &plan, const WireEvent &event) const
    {
        const bool isFirstDatabase = this->profile.layout.backends[event.backend].database.index == 0;
        if (!isFirstDatabase)
            return false;
        const bool isWrite =
            event.operation == BackendOperation::Execute && event.write && event.backend == this->fleet.primaryOf(0);
        switch (plan.fault.step) {
        case FaultStep::BeforeSending:
            // At a proxy other than the owner, so that the write still has to be forwarded to the owner.
            return isWrite && event.point == WirePoint::CallerArrived && event.proxy != this->ownerOfPrimary();
        case FaultStep::Sent:
            return isWrite && event.point == WirePoint::RequestSent;
        case FaultStep::Answered:
            return isWrite && event.point == WirePoint::AnswerSent;
        case FaultStep::InCommit:
            return event.operation == BackendOperation::Commit && event.point == WirePoint::RequestArrived;
        case FaultStep::InPromotion:
            // A fault of the new primary can be injected only after the promotion.
            if (plan.fault.fault == FaultCase::PrimaryKilled || plan.fault.fault == FaultCase::PrimaryCutOff)
                return event.operation == BackendOperation::Promote && event.point == WirePoint::AnswerSent;
            return event.operation == BackendOperation::Fence && event.point == WirePoint::RequestArrived;
        case FaultStep::InHandover:
            return event.operation == BackendOperation::Unlock && event.point == WirePoint::RequestArrived;
        case FaultStep::AtTime:
        case FaultStep::InDrain:
            return false;
        }
        return false;
    }

    void handle(const WireEvent &event)
    {
        for (std::size_t index = 0; index < this->plans.size(); ++index) {
            const Plan &plan = this->plans[index];
            if (plan.isArmed && !plan.injectedAt && this->isReached(plan, event)) {
                // Inject after the current event, so that a proxy does not end within its own step.
                this->plans[index].injectedAt = this->fleet.now();
                this->fleet.schedule(this->fleet.now(), [this, index] { this->injectFault(index); });
            }
        }
    }

    void injectFault(std::size_t index)
    {
        Plan &plan = this->plans[index];
        plan.injectedAt = this->fleet.now();
        const std::uint32_t owner = this->ownerOfPrimary();
        const std::uint32_t primary = this->fleet.primaryOf(0);
        const std::string domain = this->profile.layout.backends[primary].failureDomain;
        if (this->trace)
            this->trace(this->fleet.now(), "fault " + std::string(faultCaseName(plan.fault.fault)) + ", primary "
                                               + this->profile.layout.backends[primary].name + ", owner "
                                               + this->profile.layout.instances[owner].name);
        switch (plan.fault.fault) {
        case FaultCase::ProxyKilled:
            this->applyTemporarily(plan, KillProxy{.proxy = owner}, RestartProxy{.proxy = owner});
            break;
        case FaultCase::ProxyPaused:
            this->applyTemporarily(plan, PauseProxy{.proxy = owner}, ResumeProxy{.proxy = owner});
            break;
        case FaultCase::PrimaryKilled:
            this->applyTemporarily(plan, KillBackend{.backend = primary}, RestartBackend{.backend = primary});
            break;
        case FaultCase::PrimaryCutOff:
            this->applyTemporarily(plan, IsolatePrimary{.database = 0}, HealLinks{});
            break;
        case FaultCase::ReplicaFarBehind:
            this->applyTemporarily(plan, SetReplicaLag{.database = 0, .lag = farBehind},
                                   SetReplicaLag{.database = 0, .lag = Duration{0}});
            break;
        case FaultCase::DomainCutOff:
            this->applyTemporarily(plan, IsolateDomain{.failureDomain = domain}, HealLinks{});
            break;
        case FaultCase::PlatformDown:
            this->applyTemporarily(plan, SetPlatformDown{.down = true}, SetPlatformDown{.down = false});
            break;
        case FaultCase::PlatformSlow:
            this->applyTemporarily(plan, SetPlatformLatency{.latency = slowPlatform},
                                   SetPlatformLatency{.latency = std::chrono::milliseconds(3)});
            break;
        case FaultCase::PlatformAnswerLost:
            // A change of the rules ensures that there is an answer to lose.
            this->applyTemporarily(plan, LosePlatformAnswers{.count = lostAnswers}, LosePlatformAnswers{.count = 0});
            this->fleet.apply(ChangeRules{.author = "operator", .text = this->extendedRules("extra")});
            break;
        case FaultCase::OperatorsRacing:
            this->fleet.apply(
                RaceOperators{.firstText = this->extendedRules("first"), .secondText = this->extendedRules("second")});
            break;
        case FaultCase::ConnectionSilent:
            this->fleet.apply(SilenceConnection{.database = 0});
            break;
        case FaultCase::InstanceLeaving:
            this->applyTemporarily(plan, LeaveInstance{.proxy = owner, .leaving = true},
                                   LeaveInstance{.proxy = owner, .leaving = false});
            break;
        case FaultCase::ProxyStopped:
            this->applyTemporarily(plan, StopProxy{.proxy = owner}, RestartProxy{.proxy = owner});
            break;
        case FaultCase::BackendLeaving:
            this->fleet.apply(ChangeRules{.author = "operator",
                                          .text = this->profile.rules + "leaving backend "
                                                  + this->profile.layout.backends[primary].name
                                                  + " # operator: rack change\n"});
            break;
        }
    }

    [[nodiscard]] std::string extendedRules(const std::string &name) const
    {
        const std::string pattern = this->profile.layout.databases.front().name;
        return this->profile.rules + "no-repeat " + pattern + " " + name + ".* # " + name
               + " operator: test of changes\n";
    }

    void applyTemporarily(const Plan &plan, const Fault &fault, const Fault &heal)
    {
        this->fleet.apply(fault);
        this->fleet.schedule(this->fleet.now() + plan.fault.duration, [this, heal] { this->fleet.apply(heal); });
    }

    VirtualFleet &fleet;
    const UserProfile &profile;
    std::vector<Plan> plans;
    std::function<void(TimePoint, const std::string &)> trace;
};

/// Longest time between two acknowledged writes after \a from; \a from and the end of the load count as writes.
Duration longestGap(const std::vector<TimePoint> &writes, TimePoint from, TimePoint end)
{
    Duration longest{0};
    TimePoint last = from;
    for (const TimePoint write : writes) {
        if (write < from) {
            continue;
        }
        longest = std::max(longest, std::min(write, end) - last);
        last = std::min(write, end);
    }
    return std::max(longest, end - last);
}

} // namespace

std::span<const FaultCase> allFaultCases()
{
    return faultCases;
}

std::span<const FaultStep> allFaultSteps()
{
    return faultSteps;
}

std::string_view faultCaseName(FaultCase fault)
{
    return faultCaseNames.at(static_cast<std::size_t>(fault));
}

std::string_view faultStepName(FaultStep step)
{
    return faultStepNames.at(static_cast<std::size_t>(step));
}

std::vector<ScenarioFault> drawFaults(std::uint64_t seed, std::size_t count)
{
    SeededRandom random(seed * 31 + count);
    std::vector<ScenarioFault> faults;
    faults.reserve(count);
    for (std::size_t number = 0; number < count; ++number) {
        faults.push_back(ScenarioFault{.fault = faultCases.at(random.below(faultCases.size())),
                                       .step = faultSteps.at(random.below(faultSteps.size())),
                                       .after = std::chrono::milliseconds(500 + random.below(4000)),
                                       .duration = std::chrono::milliseconds(200 + random.below(6000))});
    }
    return faults;
}

std::string describeFaults(std::span<const ScenarioFault> faults)
{
    std::string text;
    for (const ScenarioFault &fault : faults) {
        if (!text.empty())
            text += ", ";
        text += faultCaseName(fault.fault);
        text += " ";
        text += faultStepName(fault.step);
        text += " after " + std::to_string(fault.after.count()) + " us for " + std::to_string(fault.duration.count())
                + " us";
    }
    return text;
}

ScenarioResult runScenario(const ScenarioOptions &options)
{
    UserProfile profile = makeUserProfile(options.user);
    if (options.primaryOnly) {
        profile.rules = profile.rulesWithoutReadAge;
        profile.acceptedAge = Duration{-1};
        profile.shortAcceptedAge = Duration{-1};
    }
    if (options.onlyWrites)
        profile.writePercent = 100;
    VirtualFleet fleet(VirtualFleetOptions{.layout = profile.layout,
                                           .rules = profile.rules,
                                           .seed = options.seed,
                                           .serviceTime = options.serviceTime,
                                           .proxy = options.proxy});
    const TimePoint loadStart = fleet.now() + options.warmUp;
    const TimePoint loadEnd = loadStart + options.load;

    WorkloadOptions workloadOptions = options.workload;
    workloadOptions.seed = options.seed * 7919 + 1; // differs from the random sequence of the fleet
    workloadOptions.start = loadStart;
    workloadOptions.duration = options.load;
    Workload workload(fleet, profile, workloadOptions);
    FaultPlan plan(fleet, profile, options.faults);
    if (options.trace) {
        fleet.setLogHandler([&](std::uint32_t proxy, const WriteLog &line) {
            std::string text = profile.layout.instances[proxy].name + " " + line.event;
            for (const auto &[name, value] : line.fields)
                text += " " + name + "=" + value;
            options.trace(fleet.now(), text);
        });
        plan.setTrace(options.trace);
    }
    workload.start();
    plan.start(loadStart);

    // Warm up, run the load with faults, heal everything and let the fleet settle.
    fleet.runUntil(loadStart);
    fleet.resetTraffic();
    fleet.runUntil(loadEnd);
    ScenarioResult result;
    result.traffic = fleet.traffic();
    result.loadTime = options.load;
    fleet.healAll();
    fleet.runUntil(loadEnd + options.settle);

    result.injected = plan.injected();
    result.load = workload.statistics();
    const std::string &firstDatabase = profile.layout.databases.front().name;
    result.longestWriteGap =
        longestGap(result.load.writeTimes[firstDatabase], plan.firstInjection().value_or(loadStart), loadEnd);
    for (const auto &[database, times] : result.load.writeTimes) {
        const auto inTime = std::ranges::count_if(times, [&](TimePoint time) { return time <= loadEnd; });
        result.writesDuringLoad += static_cast<std::uint64_t>(inTime);
    }
    fleet.fillHistory(workload.history());
    result.history = std::move(workload.history());
    HistoryChecker checker(result.history);
    result.violations = checker.check();
    result.writes = checker.writeStatistics();
    for (const HistoryBackend &backend : result.history.backends) {
        result.slotRefusals += backend.slotRefusals;
        result.connectionRefusals += backend.connectionRefusals;
    }
    result.stateHash = fleet.stateHash();
    return result;
}

std::string describeViolations(std::span<const Violation> violations, std::size_t limit)
{
    std::string text;
    for (std::size_t index = 0; index < std::min(limit, violations.size()); ++index) {
        const Violation &violation = violations[index];
        text += std::string(guaranteeName(violation.guarantee)) + " at " + std::to_string(violation.at.count())
                + " us, request " + std::to_string(violation.ticket) + ": " + violation.reason + "\n";
    }
    if (violations.size() > limit)
        text += "and " + std::to_string(violations.size() - limit) + " more\n";
    return text;
}

} // namespace Jujubekeel
