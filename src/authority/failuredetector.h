#pragma once

#include "authority/memberconnections.h"
#include "core/action.h"
#include "core/id.h"

#include <string_view>

namespace Jujubekeel {

struct World;

/// Detects, at the coordinator, whether the primary of a group is suspect, failed or cut off from its replicas, and
/// which servers lag behind. Probes the servers directly while the primary is suspect. Writes the detection members of
/// PromotionState and PromotionMember. Owned by PromotionSystem; used only within ProxyCore::step. Stateless.
class FailureDetector final
{
public:
    struct Finding
    {
        bool suspect = false;
        std::string_view reason;     ///< why a promotion is due now; empty: none is due
        bool excludePrimary = false; ///< the current primary must not be promoted
    };

    /// Probes the servers of the group as far as needed and evaluates what is known of the primary.
    [[nodiscard]] Finding watch(World &world, DatabaseId database, Actions &actions);
    /// Marks servers for inspection that returned under an older term or whose log stopped growing. The primary must be
    /// known.
    void inspectLagging(World &world, DatabaseId database);

private:
    MemberConnections connections;
};

} // namespace Jujubekeel
