#pragma once

#include "virtualfleet/fault.h"

#include <cstdint>
#include <string>

namespace Jujubekeel {

class VirtualFleet;

/// Applies faults to the nodes, links and platform of a virtual fleet. Stateless; created by VirtualFleet for one call.
class FaultInjector final
{
public:
    explicit FaultInjector(VirtualFleet &target);

    /// Injects a fault at the current time.
    void apply(const Fault &fault);
    /// Ends all faults.
    void healAll();

private:
    void isolateDomain(const std::string &failureDomain);
    void silenceConnection(std::uint32_t database);

    VirtualFleet &fleet;
};

} // namespace Jujubekeel
