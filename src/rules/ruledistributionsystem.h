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

/// Brings the accepted rule set to this proxy and passes it on: the best-ranked instances of each failure domain watch
/// the platform's object, the others hear of new versions from peers. Versions only go forward. Owned by ProxyCore; runs
/// within its step.
class RuleDistributionSystem final
{
public:
    void handle(World &world, InstanceId from, const RulesUpdate &update, Actions &actions);
    void handle(World &world, InstanceId from, const RulesQuery &query, Actions &actions);
    void handle(World &world, const PlatformAnswer &answer, Actions &actions);
    /// Called after each heartbeat: asks the peer if it has a newer version.
    void noticeVersion(World &world, InstanceId from, std::uint64_t version, Actions &actions);
    void tick(World &world, Actions &actions);

private:
    void adopt(World &world, std::uint64_t version, const std::string &text, Actions &actions);

    std::deque<std::uint64_t> calls; ///< without answer, oldest first; a late answer still counts
    TimePoint lastCallSent{0};
    TimePoint nextWatch{0};
    TimePoint lastQuery{0};
    std::uint64_t rankedVersion = 0; ///< CandidateTable::version that `watcher` was found for
    bool watcher = false;
};

} // namespace Jujubekeel
