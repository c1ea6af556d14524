#pragma once

#include "catalog/route.h"
#include "core/time.h"
#include "leadership/leadershipoptions.h"
#include "organisations/organisationtable.h"
#include "pool/pooloptions.h"
#include "virtualpool/statementgroup.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Jujubekeel {

struct VirtualPoolOptions
{
    std::uint32_t instances = 3;     ///< instance i is in failure domain i modulo the number of domains
    bool relays = false;             ///< members execute statements that other instances relay to them
    std::uint32_t organisations = 0; ///< callers need the key of one of them; 0: callers need no key
    double organisationRate = 1300;  ///< sum of their rate limits, in operations per second
    std::vector<std::string>
        instanceDomains; ///< instance i is in the domain i modulo their number; empty: group.domains
    std::map<std::string, std::string, std::less<>> regionOf; ///< by domain; empty: each domain is a region
    Duration regionDelay{0};                                  ///< one way, between regions; 0: as farDelay
    StatementGroupOptions group;
    std::vector<StatementGroupOptions> furtherGroups; ///< with other services; their seeds follow from `seed`
    PoolOptions pool;
    LeadershipOptions leadership;
    Duration nearDelay = std::chrono::microseconds(300); ///< one way, within a failure domain
    Duration farDelay = std::chrono::milliseconds(3);    ///< one way, between failure domains
    Duration storeDelay = std::chrono::milliseconds(2);  ///< one way
    Duration watchWait = std::chrono::milliseconds(1000);
    Duration initialWatchWait = std::chrono::milliseconds(60);    ///< as watchWait, until leadership is verified
    Duration batchedWatchPause = std::chrono::milliseconds(1000); ///< between watches in mode FleetWatchMode::Batched
    Duration memberWatchPause = std::chrono::milliseconds(60);    ///< the same in mode FleetWatchMode::Continuous
    Duration watchTimeout = std::chrono::milliseconds(1500);      ///< after the wait, until a watch fails
    Duration storeTimeout = std::chrono::milliseconds(2000);      ///< of a write without an answer
    Duration latencyObjective = Route{}.latencyObjective;         ///< of all routes
    bool publicRoutes = false; ///< callers need no key, although work runs in the name of organisations
    std::vector<Organisation> namedOrganisations; ///< the key of each is its name; empty: callers need no key
    std::uint64_t seed = 1;
};

} // namespace Jujubekeel
