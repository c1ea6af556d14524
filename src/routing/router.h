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

/// Server and instance that a request is sent to, or the reason why it can't be routed now.
struct Route
{
    bool found = false;
    BackendId backend;
    InstanceId owner;
    bool barrier = false;             ///< read at the primary: needs a confirmation that it is still the primary
    std::optional<Duration> age;      ///< replica: bound on the age of its data
    ResultCode code = ResultCode::Ok; ///< not found: result code of the reason
    std::string reason;
};

/// Chooses the backend server for a request. Stateless; used by RequestSystem.
class Router final
{
public:
    /// Read: a replica if a rule accepts older data and a replica satisfies both the accepted age and the session's
    /// position, else the primary.
    [[nodiscard]] static Route routeRead(const World &world, const EntryRow &entry);
    /// Write or begin of a transaction: the primary.
    [[nodiscard]] static Route routeWrite(const World &world, const EntryRow &entry);

    /// The instance to send requests for a backend server to: its known live owner. In a large fleet, where not every
    /// instance receives the owner's heartbeats, an unknown owner is replaced by a candidate, the next one in rank
    /// after each attempt. Invalid: none.
    [[nodiscard]] static InstanceId ownerOf(const World &world, BackendId backend, std::uint32_t attempts);
    /// True if the backend server's owner is known, live and not about to release it.
    [[nodiscard]] static bool hasLiveOwner(const World &world, BackendId backend);
    /// True if the server takes no new work: it has been leaving for longer than the grace time.
    [[nodiscard]] static bool refusesNewWork(const World &world, BackendId backend);
};

} // namespace Jujubekeel
