#pragma once

#include "pool/poolids.h"

#include <cstdint>
#include <string>

namespace Jujubekeel {

class FleetView;
class LinkSystem;
class ResultSystem;
struct MemberRecord;
struct PoolWorld;
enum class FleetRole : std::uint8_t;

/// Large fleets have more instances than a backend server has connections. A few instances, the members, then hold the
/// connections and take part in leadership; the others relay their sessions' work to a member over a link, as if it
/// were a backend server that can run all work. Updates the rows of the members from the fleet's objects, and closes
/// connections that this instance's role does not allow. Owned by PoolCore.
class RelaySystem final
{
public:
    RelaySystem(PoolWorld &poolWorld, LinkSystem &linkSystem, ResultSystem &resultSystem);

    /// Adds the service to which the members belong.
    void start();
    /// Applies the member records, and this instance's role.
    void update(const FleetView &view);

private:
    void listMember(const std::string &instance, const MemberRecord &record);
    void removeMember(const std::string &instance);
    void applyRole();

    PoolWorld &world;
    LinkSystem &links;
    ResultSystem &results;
    FleetRole role; ///< as last applied
};

} // namespace Jujubekeel
