#pragma once

#include "authority/memberconnections.h"
#include "core/action.h"
#include "core/id.h"
#include "core/platformmessages.h"

#include <cstdint>

namespace Jujubekeel {

struct World;

/// Under lease policies, takes the lease object for the new term and waits until no lease of an older term is valid.
/// Writes the lease members of PromotionState. Owned by PromotionSystem; used only within ProxyCore::step. Stateless.
class LeaseTakeover final
{
public:
    enum class Progress : std::uint8_t {
        Waiting,
        Expired,  ///< no lease of an older term is valid any more
        TimedOut, ///< the lease could not be taken
    };

    /// Reads the lease object unless a call is in progress.
    void start(World &world, DatabaseId database, Actions &actions);
    [[nodiscard]] Progress tick(World &world, DatabaseId database, Actions &actions);
    /// Answer to the call PromotionState::leaseCall.
    void answered(World &world, DatabaseId database, const PlatformAnswer &answer, Actions &actions);

private:
    void call(World &world, DatabaseId database, std::uint64_t expectedVersion, bool write, Actions &actions);

    MemberConnections connections;
};

} // namespace Jujubekeel
