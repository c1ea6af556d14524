#pragma once

#include "core/time.h"
#include "pool/poolids.h"
#include "session/logposition.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

struct Organisation;
struct PoolWorld;
struct ServerRow;
struct SessionRow;

/// Chooses backend servers and members for work. Stateless.
class ServerChooser final
{
public:
    explicit ServerChooser(const PoolWorld &poolWorld) : world(poolWorld) {}

    /// Whether the primary may get new work: it is known, it is not being replaced, and its leadership was verified
    /// recently enough to accept its results.
    [[nodiscard]] bool primaryUsable(ServiceId service) const;
    /// True if this member has lapsed (PoolWorld::hasLapsed()) and the work needs the primary, or a position that covers
    /// \a consistentAt, which only the primary could give. Another member may be able to serve it.
    [[nodiscard]] bool needsOtherMember(ServiceId service, bool needsPrimary, TimePoint consistentAt) const;
    /// The log position that a read of the session must see; empty if no known position is sufficient.
    [[nodiscard]] std::optional<LogPosition> requiredPosition(const SessionRow &session, ServiceId service) const;
    /// Servers that may run a read, the one with the shortest expected wait first. With \a required any server may run
    /// it, because it checks the position itself; without it only the primary, which has every commit.
    [[nodiscard]] std::vector<ServerId> readCandidates(const SessionRow &session, ServiceId service,
                                                       std::optional<LogPosition> required) const;

    /// Members that may take relayed work: those that answer before silent ones, then by expected wait. The work of an
    /// organisation goes to its preferred members unless others would be faster by more than
    /// PoolOptions::otherMemberCost.
    [[nodiscard]] std::vector<ServerId> relayCandidates(const SessionRow &session) const;

private:
    /// A member that may take relayed work.
    struct MemberChoice
    {
        bool avoided = false; ///< silent, or refuses work at present
        Duration wait{0};
        Duration unloaded{0}; ///< wait without the work in flight
        std::size_t tieBreak = 0;
        ServerId id;
    };

    /// Adds PoolOptions::otherMemberCost to the wait of members that the organisation does not prefer. \a region is that
    /// of the primary for work that needs it, if it is known, and otherwise the own one.
    void preferMembers(std::vector<MemberChoice> &members, const Organisation &organisation,
                       std::string_view region) const;
    /// Number of members, out of \a members, that serve the organisation.
    [[nodiscard]] std::size_t preferredCount(const Organisation &organisation, std::size_t members) const;
    [[nodiscard]] bool isInRegion(const MemberChoice &member, std::string_view region) const;
    /// Region of a failure domain; empty if it is unknown.
    [[nodiscard]] std::string_view regionOf(const std::string &domain) const;
    [[nodiscard]] bool takesNewWork(ServerId server) const;
    /// Order by pace: a suspended server that is due for a trial, servers that are not suspended, suspended ones.
    [[nodiscard]] std::uint8_t paceRank(const SessionRow &session, const ServerRow &server) const;
    /// Expected duration of a statement at the server.
    [[nodiscard]] Duration responseTime(const ServerRow &server) const;
    [[nodiscard]] Duration expectedWait(ServerId server, bool isPrimary) const;
    /// The same without the statements in flight.
    [[nodiscard]] Duration unloadedWait(ServerId server, bool isPrimary) const;
    /// Random number for the placement of the session's work; the same for the same work at the same instance.
    [[nodiscard]] std::uint64_t placementDraw(const SessionRow &session) const;
    /// Statements that count for the expected wait.
    [[nodiscard]] std::uint32_t inFlight(const ServerRow &server) const;
    /// Cost of the way between two failure domains.
    [[nodiscard]] Duration distance(const std::string &from, const std::string &to) const;
    /// Failure domain of the primary for work of an organisation that needs it; null: unknown, or not needed.
    [[nodiscard]] const std::string *primaryDomain(const SessionRow &session) const;

    const PoolWorld &world;
};

} // namespace Jujubekeel
