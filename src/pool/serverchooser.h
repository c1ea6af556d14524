#pragma once

#include "core/time.h"
#include "pool/poolids.h"
#include "session/logposition.h"

#include <optional>
#include <vector>

namespace Jujubekeel {

struct PoolWorld;
struct SessionRow;

/// Chooses backend servers for work. Has no state of its own.
class ServerChooser final
{
public:
    explicit ServerChooser(const PoolWorld &poolWorld) : world(poolWorld) {}

    /// The primary may get new work: it is known, no replacement is under way, and the proof of its leadership is
    /// young enough to accept an answer.
    [[nodiscard]] bool primaryUsable(ServiceId service) const;
    /// The position that a read of the session must see; empty if no known position covers it.
    [[nodiscard]] std::optional<LogPosition> requiredPosition(const SessionRow &session, ServiceId service) const;
    /// Servers that may run a read, the one with the shortest expected wait first. With \a required the server checks
    /// the position itself, so any server may be asked; without, only the primary has every commit.
    [[nodiscard]] std::vector<ServerId> readCandidates(const SessionRow &session, ServiceId service,
                                                       std::optional<LogPosition> required) const;

    /// Members that may take relayed work, the one with the shortest expected wait first.
    [[nodiscard]] std::vector<ServerId> relayCandidates(const SessionRow &session) const;

private:
    [[nodiscard]] bool takesNewWork(ServerId server) const;
    [[nodiscard]] Duration expectedWait(ServerId server, bool isPrimary) const;

    const PoolWorld &world;
};

} // namespace Jujubekeel
