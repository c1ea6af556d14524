#pragma once

#include "core/action.h"
#include "core/id.h"
#include "core/peermessages.h"
#include "core/platformmessages.h"
#include "core/time.h"

#include <cstdint>
#include <deque>
#include <string>

namespace Jujubekeel {

struct World;

/// Fetches new rule sets for this proxy and distributes them to peers: the best-ranked instances of each failure domain
/// watch the rules on the platform, the other instances get new versions from peers. A rule set is never replaced by an
/// older version. Owned by ProxyCore; runs within its step.
class RuleDistributionSystem final
{
public:
    void handle(World &world, InstanceId from, const RulesUpdate &update, Actions &actions);
    void handle(World &world, InstanceId from, const RulesQuery &query, Actions &actions);
    void handle(World &world, const PlatformAnswer &answer, Actions &actions);
    /// Handles the rules version that a peer announces in a heartbeat: queries the peer if it is newer than the own
    /// one.
    void handleAnnouncedVersion(World &world, InstanceId from, std::uint64_t version, Actions &actions);
    void tick(World &world, Actions &actions);

private:
    /// Replaces the rules in force if \a version is newer and \a text is valid.
    void activate(World &world, std::uint64_t version, const std::string &text, Actions &actions);

    std::deque<std::uint64_t> pendingCalls; ///< platform calls without an answer, oldest first
    TimePoint lastCallSentAt{0};
    TimePoint nextCallAt{0};         ///< earliest time of the next platform call
    TimePoint lastQueryAt{0};        ///< last query to a peer
    std::uint64_t rankedVersion = 0; ///< version of the candidate table that `watcher` was computed from
    bool watcher = false;            ///< this instance watches the rules on the platform
};

} // namespace Jujubekeel
