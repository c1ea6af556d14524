#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>

namespace Jujubekeel {

/// Which log state a read of a route may run on.
enum class ReadConsistency : std::uint8_t {
    Primary,        ///< every commit acknowledged before the read
    BoundedStale,   ///< every commit acknowledged more than `maxStaleness` before the read
    ReadYourWrites, ///< as BoundedStale, and every commit of the same session
};

/// How statements for one database are served. Immutable; a transaction keeps the route with which it began.
struct Route
{
    std::string name;     ///< origin of the rule, for logs and explanations
    std::string database; ///< name under which callers open sessions
    std::string service;  ///< group of backend servers that holds the data
    ReadConsistency consistency = ReadConsistency::Primary;
    Duration maxStaleness{0};                                   ///< not used by Primary
    Duration statementTimeout = std::chrono::seconds(1);        ///< one statement
    Duration latencyObjective = std::chrono::milliseconds(500); ///< whole operation
    std::uint32_t priority = 0;                                 ///< 0 is the highest
    std::uint64_t version = 0;                                  ///< configuration version that brought the route
};

} // namespace Jujubekeel
