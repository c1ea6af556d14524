#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace Jujubekeel {

/// Commits that a read must see.
enum class ReadConsistency : std::uint8_t {
    Primary,        ///< every commit acknowledged before the read
    BoundedStale,   ///< every commit acknowledged more than `maxStaleness` before the read
    ReadYourWrites, ///< as BoundedStale, and every commit of the same session
};

/// How statements for one database are served. Immutable; a transaction keeps the route that was in force when it
/// began.
struct Route
{
    std::string name;     ///< name of the route in the configuration, for logs
    std::string database; ///< database that callers name when they open a session
    std::string service;  ///< group of backend servers that holds the data
    ReadConsistency consistency = ReadConsistency::Primary;
    Duration maxStaleness{0};                                   ///< not used by Primary
    Duration statementTimeout = std::chrono::seconds(1);        ///< of one statement
    Duration latencyObjective = std::chrono::milliseconds(500); ///< from arrival to reply; slower statements are logged
    std::uint32_t priority = 0;                                 ///< 0 is the highest
    bool isPublic = false;                                      ///< callers need no key
    /// Version of the configuration with which this instance received the route in its present form. Later versions that
    /// do not change the route share it.
    std::uint64_t version = 0;

    /// Whether all fields but the version are equal.
    [[nodiscard]] bool hasSameContent(const Route &other) const
    {
        const auto content = [](const Route &route) {
            return std::tie(route.name, route.database, route.service, route.consistency, route.maxStaleness,
                            route.statementTimeout, route.latencyObjective, route.priority, route.isPublic);
        };
        return content(*this) == content(other);
    }
};

} // namespace Jujubekeel
