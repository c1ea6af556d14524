#pragma once

#include "virtualfleet/fault.h"

#include <cstdint>
#include <string>

namespace Jujubekeel {

class VirtualFleet;

/// Translates faults into changes of the nodes, links and platform of a virtual fleet. Created by VirtualFleet for one
/// call; has no state of its own.
class FaultInjector final
{
public:
    explicit FaultInjector(VirtualFleet &target);

    /// Injects a fault at the present time.
    void apply(const Fault &fault);
    /// Ends all faults.
    void healAll();

private:
    void cutDomain(const std::string &failureDomain);
    void silenceConnection(std::uint32_t database);

    VirtualFleet &fleet;
};

} // namespace Jujubekeel
