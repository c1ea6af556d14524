#pragma once

#include "authority/memberconnections.h"
#include "core/action.h"
#include "core/id.h"

#include <string_view>

namespace Jujubekeel {

struct World;

/// Decides at the coordinator whether the primary of a group is suspect, gone or cut off, and which servers lag behind.
/// Asks the servers themselves while the primary is suspect. Writes the detection parts of PromotionState and
/// PromotionMember. Owned by PromotionSystem; runs within its step. Has no state of its own.
class FailureDetector final
{
public:
    struct Finding
    {
        bool suspect = false;
        std::string_view reason;     ///< why a promotion is due now; empty: none is due
        bool excludePrimary = false; ///< the present primary must not be chosen
    };

    [[nodiscard]] Finding watch(World &world, DatabaseId database, Actions &actions);
    /// Marks servers for inspection that came back under an older term or whose log stopped growing. The primary must be
    /// known.
    void inspectLagging(World &world, DatabaseId database);

private:
    MemberConnections connections;
};

} // namespace Jujubekeel
