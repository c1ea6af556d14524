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
/// connections and take part in leadership; the others relay their sessions' work to a member over a link, as if it were
/// a backend server that can run everything. Keeps the table rows of the members in step with the fleet's objects, and
/// gives up connections that this instance's part does not allow. Owned by PoolCore.
class RelaySystem final
{
public:
    RelaySystem(PoolWorld &poolWorld, LinkSystem &linkSystem, ResultSystem &resultSystem);

    void start();
    /// Follows the member records, and this instance's own part.
    void update(const FleetView &view);

private:
    void listMember(const std::string &instance, const MemberRecord &record);
    void removeMember(const std::string &instance);
    void applyRole();

    PoolWorld &world;
    LinkSystem &links;
    ResultSystem &results;
    FleetRole role; ///< as last acted on
};

} // namespace Jujubekeel
