#pragma once

#include "core/id.h"
#include "core/resultcode.h"
#include "core/time.h"
#include "session/logposition.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Jujubekeel {

struct EntryRow;
struct World;

/// Where a request goes, or why it can't go anywhere now.
struct Route
{
    bool found = false;
    BackendId backend;
    InstanceId owner;
    bool barrier = false;             ///< read at the primary
    std::optional<Duration> age;      ///< replica: bound on the age of its data
    ResultCode code = ResultCode::Ok; ///< not found: why
    std::string reason;
};

/// Choice of the backend server for a request. Stateless; used by RequestSystem.
class Router final
{
public:
    /// Read: a replica if a rule accepts an age and one satisfies it and the mark, else the primary.
    [[nodiscard]] static Route routeRead(const World &world, const EntryRow &entry);
    /// Write or begin of a transaction: the primary.
    [[nodiscard]] static Route routeWrite(const World &world, const EntryRow &entry);

    /// The instance to send work for a backend server to: its known live owner; in a large fleet, where only some peers
    /// hear of it, else the best candidate, a later one after each attempt. Invalid: none.
    [[nodiscard]] static InstanceId ownerOf(const World &world, BackendId backend, std::uint32_t attempts);
    /// True if the backend server's owner is known, live and not about to release it.
    [[nodiscard]] static bool hasLiveOwner(const World &world, BackendId backend);
    /// True if the server takes no new work: it is leaving, and as primary the grace time is over.
    [[nodiscard]] static bool refusesNewWork(const World &world, BackendId backend);
};

} // namespace Jujubekeel
