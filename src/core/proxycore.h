#pragma once

#include "authority/confirmationsystem.h"
#include "authority/groupmonitorsystem.h"
#include "authority/promotionsystem.h"
#include "core/action.h"
#include "core/fleetlayout.h"
#include "core/input.h"
#include "core/proxyoptions.h"
#include "core/world.h"
#include "drain/drainsystem.h"
#include "membership/membershipsystem.h"
#include "ownership/ownershipsystem.h"
#include "requests/executionsystem.h"
#include "requests/requestsystem.h"
#include "rules/ruledistributionsystem.h"

#include <cstdint>

namespace Jujubekeel {

struct ProxyCoreOptions
{
    FleetLayout layout;
    ProxyOptions proxy;
    InstanceId self;
    std::uint64_t incarnation = 1; ///< larger after each restart of the instance
};

/// State machine of one proxy: each step takes the time and one input, and appends actions. Deterministic: the same
/// sequence of times and inputs gives the same state and actions. Owned by CoreThread, or by a simulation such as
/// VirtualFleet; called from one thread at a time.
class ProxyCore final
{
public:
    explicit ProxyCore(ProxyCoreOptions options);

    /// Handles one input. \a now must not decrease between calls.
    void step(TimePoint now, const Input &input, Actions &actions);

    [[nodiscard]] const World &world() const { return this->state; }
    /// Hash over the tables of the state; equal runs have equal hashes.
    [[nodiscard]] std::uint64_t stateHash() const;

private:
    void dispatch(const Input &input, Actions &actions);
    void dispatchPeer(InstanceId from, const PeerMessage &message, Actions &actions);
    void deliverLocal(Actions &actions);

    World state;
    MembershipSystem membership;
    RuleDistributionSystem ruleDistribution;
    DrainSystem drain;
    OwnershipSystem ownership;
    GroupMonitorSystem groupMonitor;
    ConfirmationSystem confirmation;
    PromotionSystem promotion;
    RequestSystem requests;
    ExecutionSystem executions;
};

} // namespace Jujubekeel
