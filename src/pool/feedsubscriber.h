#pragma once

#include "core/time.h"
#include "pool/linksystem.h"
#include "pool/poolids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Jujubekeel {

class DispatchSystem;
class MemberView;
class OrganisationTable;
class RegistrationSystem;
class RouteTable;
struct FeedUpdate;
struct FleetUpdate;
struct PoolWorld;

/// Relaying side of the change feed: keeps one request outstanding at a member, in the own failure domain if possible,
/// and passes on what the answers report. While the reports are current, this instance does not read the store. A
/// member that does not answer, or no longer reaches the store itself, is replaced by another one. Owned by PoolCore.
class FeedSubscriber final
{
public:
    struct Callbacks
    {
        std::function<void(std::shared_ptr<const RouteTable> routes)> routes;
        std::function<void(const std::shared_ptr<const OrganisationTable> &organisations)> organisations;
        /// Replaces this instance's view of the fleet.
        std::function<void(const FleetUpdate &update)> fleet;
        std::function<void(const FleetUpdate &update)> members;
        /// The store showed the members that this instance knows at \a verifiedAt.
        std::function<void(TimePoint verifiedAt)> confirmed;
    };

    FeedSubscriber(PoolWorld &poolWorld, LinkSystem &linkSystem, DispatchSystem &dispatchSystem,
                   const RegistrationSystem &registrationSystem, const MemberView &knownMembers,
                   Callbacks feedCallbacks);

    /// Sends the next request if none is outstanding; called after each input that may have changed the members, their
    /// links or this instance's role.
    void advance();
    /// Handles the answer to a request.
    void received(LinkId link, const CompletedExchange &completed);
    /// True while the members' reports are recent enough that the store need not be read.
    [[nodiscard]] bool isCurrent() const;
    /// True if a newer configuration is known to exist that was too large to be reported.
    [[nodiscard]] bool isRouteTableMissing() const;
    /// Whether a member that reaches the store has reported since the start.
    [[nodiscard]] bool hasReport() const { return this->reported; }

private:
    /// Relaying instances always. If callers need keys, all others too: the store may reject them, or answer them with a
    /// configuration that is older than what others have seen.
    [[nodiscard]] bool wantsReports() const;
    /// Whether the reports replace this instance's own view of the fleet.
    [[nodiscard]] bool replacesFleetView() const;
    /// The member to ask; invalid if there is none.
    [[nodiscard]] ServerId chooseSource() const;
    struct ReportedTables
    {
        std::shared_ptr<const RouteTable> routes;               ///< null: none
        std::shared_ptr<const OrganisationTable> organisations; ///< null: none
    };
    /// The tables that a report contains or describes by differences. Empty if a difference does not apply to the tables
    /// in force.
    [[nodiscard]] std::optional<ReportedTables> tablesOf(const FeedUpdate &update) const;
    void applyTables(const FeedUpdate &update);
    void leaveSource(const std::string &reason);
    void sendRequest(LinkId freeLink);
    [[nodiscard]] Duration fallbackAfter() const;

    PoolWorld &world;
    LinkSystem &links;
    DispatchSystem &dispatch;
    const RegistrationSystem &registration;
    const MemberView &members;
    Callbacks callbacks;
    LinkId link;        ///< on which a request is outstanding; invalid or stale: there is none
    std::string source; ///< member that was last asked
    std::map<std::string, TimePoint> pausedUntil; ///< by member: not asked before
    TimePoint verifiedAt{0};            ///< the reports reflect the store at this time or later; 0: no report yet
    TimePoint relayingSince{0};         ///< 0: not relaying
    bool reported = false;              ///< hasReport()
    bool applying = false;              ///< a report is being applied; the next request waits for its end
    bool wantsWholeTables = false;      ///< a difference did not apply, or a report could not be read
    std::uint64_t reportedVersion = 0;  ///< highest version of the configuration that a member reported
    std::uint64_t announcedVersion = 0; ///< FeedRequest::announcedVersion
};

} // namespace Jujubekeel
