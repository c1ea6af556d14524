#pragma once

#include "core/input.h"
#include "core/platformmessages.h"
#include "core/time.h"
#include "fakes/fakeplatform.h"
#include "virtualfleet/eventqueue.h"
#include "virtualfleet/fleetlinks.h"
#include "virtualfleet/history.h"
#include "virtualfleet/ruleoperator.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

struct FleetTraffic;
struct VirtualFleetOptions;

/// The platform of a virtual fleet and its clients: carries the calls of the proxies and runs the operators that change
/// rules. Owned by VirtualFleet.
class FleetPlatform final
{
public:
    /// Delivers an input to a proxy if that incarnation still runs.
    using Deliver = std::function<void(std::uint32_t proxy, std::uint64_t incarnation, Input input)>;

    /// Stores the instance list and the initial rules. All references must outlive the platform.
    FleetPlatform(const VirtualFleetOptions &newOptions, EventQueue &newQueue, FleetLinks &newLinks,
                  FleetTraffic &newTraffic, Deliver newDeliver);

    /// Sends a call of a proxy; the answer is delivered as an input.
    void call(std::uint32_t proxy, std::uint64_t incarnation, const PlatformCall &call);
    /// Sends the answers that are due and schedules the next wake-up. Must be called after each change.
    void flush();
    /// Sets whether the instance list shows a proxy as leaving.
    void setLeaving(std::uint32_t proxy, bool leaving);
    /// Starts an operator that reads the rules and replaces them with \a text.
    void startOperator(const std::string &author, const std::string &text);

    // Faults.
    void setDown(bool down);
    void setLatency(Duration latency);
    void loseAnswers(std::uint32_t count);
    /// Ends the faults.
    void restore();
    /// Whether the platform is down or slow.
    [[nodiscard]] bool isImpaired() const { return this->impaired; }

    [[nodiscard]] const FakePlatform &fake() const { return this->platform; }
    /// Accepted rule changes, including the initial rules.
    [[nodiscard]] const std::vector<HistoryRuleChange> &acceptedChanges() const { return this->ruleChanges; }

private:
    struct PendingCall
    {
        std::uint32_t proxy = 0;
        std::uint64_t incarnation = 0;
    };

    void runOperator(std::size_t number);
    void operatorAnswered(std::size_t number);

    const VirtualFleetOptions &options;
    EventQueue &queue;
    FleetLinks &links;
    FleetTraffic &traffic;
    Deliver deliver;
    std::uint32_t node; ///< node number of the platform
    FakePlatform platform;
    TimePoint wakeAt{0};
    std::map<std::pair<std::uint64_t, std::uint64_t>, PendingCall> pendingCalls; ///< by client and call
    std::vector<RuleOperator> operators;
    std::vector<HistoryRuleChange> ruleChanges;
    std::uint64_t nextOperatorCall = 1;
    bool impaired = false;
};

} // namespace Jujubekeel
