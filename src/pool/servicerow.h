#pragma once

#include "pool/poolids.h"
#include "pool/positionhistory.h"
#include "pool/unlistedservers.h"
#include "pool/waitestimate.h"
#include "sharing/organisationqueue.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Jujubekeel {

/// One group of backend servers. Written by DirectorySystem, LeadershipSystem, QueueSystem (queue) and ResultSystem
/// (positions, unlisted).
struct ServiceRow
{
    std::string name;
    std::vector<ServerId> servers;
    OrganisationQueue<SessionId> queue; ///< sessions whose work waits for a link
    WaitEstimate wait;                  ///< of work in the queue

    ServerId primary;           ///< invalid: unknown
    std::string primaryId;      ///< id of the primary; kept while its entry is missing
    bool isNew = false;         ///< its servers first appeared while this instance was following them
    TimePoint serverAddedAt{0}; ///< when the last server was added
    TimePoint missingSince{0};  ///< since when the primary has no entry; 0: it has one
    std::uint64_t term = 0;     ///< lowest term of the primary; lower ones are of earlier primaries; 0: none
    std::uint64_t epoch = 0;    ///< of the LeadershipRecord that was last applied; 0: there is none
    std::uint64_t leadershipGeneration = 1; ///< incremented when this instance learns of a new primary
    bool changing = false;                  ///< the primary is being replaced and gets no new work
    bool planned = false;                   ///< while changing: the old primary still answers
    TimePoint changingSince{0};
    std::vector<std::string> candidates; ///< while changing: servers that were replicas at its start
    bool released = false;               ///< while changing: this instance no longer accepts results of the primary
    TimePoint leadershipVerifiedAt{0};   ///< the leadership was last verified to be unchanged; 0: never
    PositionHistory positions;
    LogPosition primarySeen; ///< highest log position in answers of the primary, verified or not
    UnlistedServers unlisted;
    TimePoint positionRequestedAt{0}; ///< when the request in progress was sent; 0: there is none
};

} // namespace Jujubekeel
