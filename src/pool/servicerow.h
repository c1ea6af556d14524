#pragma once

#include "pool/poolids.h"
#include "pool/positionhistory.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Jujubekeel {

/// One group of backend servers. Written by DirectorySystem and LeadershipSystem.
struct ServiceRow
{
    std::string name;
    std::vector<ServerId> servers;
    std::vector<SessionId> queue; ///< sessions whose work waits for a link, in order of arrival

    ServerId primary;          ///< invalid: unknown
    std::string primaryId;     ///< backend server that leads; kept while its entry is away
    TimePoint missingSince{0}; ///< the primary has no entry; 0: it has one
    std::uint64_t term = 0;    ///< positions of lower terms were made under an earlier primary; 0: there was none
    std::uint64_t epoch = 0;   ///< of the leadership record that was last acted on; 0: there is none
    std::uint64_t leadershipGeneration = 1; ///< rises with each change of the primary that this instance learns of
    bool changing = false;                  ///< a replacement is under way: no new work is sent to the primary
    bool planned = false;                   ///< while changing: the old primary still answers
    TimePoint changingSince{0};
    std::vector<std::string> candidates; ///< while changing: servers that were replicas when it was announced
    bool released = false;             ///< this instance has agreed to the replacement: no result of the primary counts
    TimePoint leadershipVerifiedAt{0}; ///< the leadership was proved unchanged at this moment
    PositionHistory positions;
    TimePoint positionRequestedAt{0}; ///< a question for the position is under way since; 0: none
};

} // namespace Jujubekeel
