#pragma once

#include "leadership/groupsystem.h"
#include "leadership/leadershipoptions.h"
#include "leadership/leadershipsystem.h"
#include "leadership/memberview.h"
#include "leadership/recoverysystem.h"
#include "leadership/registrationsystem.h"
#include "leadership/replacementsystem.h"
#include "pool/admissionsystem.h"
#include "pool/directorysystem.h"
#include "pool/dispatchsystem.h"
#include "pool/feedpublisher.h"
#include "pool/feedsubscriber.h"
#include "pool/linksystem.h"
#include "pool/organisationsystem.h"
#include "pool/poolworld.h"
#include "pool/ratelimitsystem.h"
#include "pool/relaysystem.h"
#include "pool/resultsystem.h"
#include "pool/sessionreplies.h"
#include "pool/sessionsystem.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

/// How an instance watches the fleet's objects.
enum class FleetWatchMode : std::uint8_t {
    Initial,    ///< until leadership is verified for the first time: short watches
    Continuous, ///< each watch that ends verifies that no primary is being replaced
    Replacing,  ///< as Continuous, without a pause between updates: this instance replaces a primary
    Batched,    ///< at a relaying instance: long watches, with a pause after each update
    Suspended,  ///< not at all; the objects are listed again when the mode changes
};

/// What an instance has to follow in the store at present.
struct WatchPlan
{
    FleetWatchMode fleet = FleetWatchMode::Batched;
    bool routes = true;   ///< the configuration
    bool servers = false; ///< the entries of the backend servers
    bool operator==(const WatchPlan &) const = default;
};

/// Decision logic of one instance for callers' statements. Uses no socket, clock, thread or random source: its owner
/// passes in events with their time, and carries out the resulting actions in order. The same inputs give the same
/// state. Owned by EntryDaemon, or by VirtualPool in tests; not thread-safe.
class PoolCore final
{
public:
    explicit PoolCore(PoolOptions options, LeadershipOptions leadershipOptions = {});
    PoolCore(const PoolCore &) = delete;
    PoolCore &operator=(const PoolCore &) = delete;

    /// \a incarnation distinguishes this process from earlier ones of the same instance.
    void start(TimePoint now, std::uint64_t incarnation);

    /// A caller's connection was accepted; it has not named its database yet.
    [[nodiscard]] SessionId callerConnected(TimePoint now);
    void callerOpenedSession(TimePoint now, SessionId session, const std::string &database,
                             const std::optional<KeyDigest> &key = std::nullopt);
    /// Another instance opened a session, over which it relays the work of its own callers. \a expected is the id of
    /// the instance that it expects to reach.
    void relayOpenedSession(TimePoint now, SessionId session, const std::string &expected);
    void statementReceived(TimePoint now, SessionId session, Statement statement);
    /// The caller does not read its replies fast enough, or does so again. Until then no further statement is started.
    void callerUnread(TimePoint now, SessionId session, bool unread);
    /// The caller ended its session, or its connection was lost.
    void callerDisconnected(TimePoint now, SessionId session);

    /// The TCP connection of a link is established; the greeting has not been answered.
    void linkConnected(TimePoint now, LinkId link);
    void linkMessageReceived(TimePoint now, LinkId link, ServerMessage message);
    void linkDisconnected(TimePoint now, LinkId link, LinkEnd end);

    /// A configuration was read from the store. It is ignored unless its version is above the one in force.
    void routesReceived(TimePoint now, std::shared_ptr<const RouteTable> routes);
    void entryChanged(TimePoint now, const ServerEntry &entry);
    void entryRemoved(TimePoint now, std::string_view id);
    void entriesListed(TimePoint now, const std::vector<ServerEntry> &entries);

    void fleetUpdated(TimePoint now, const FleetUpdate &update);
    /// Another member has reported what it has in flight at each server.
    void loadsReported(TimePoint now, const std::string &member, LoadReports::InFlight inFlight);
    void writeFinished(TimePoint now, const WriteOutcome &outcome);
    void promotionFinished(TimePoint now, const PromotionOutcome &outcome);

    /// Handles all timers that are due.
    void tick(TimePoint now);
    [[nodiscard]] std::optional<TimePoint> nextDue() const { return this->world.timers.next(); }

    /// Starts a planned stop: statements in progress are finished first.
    void requestStop(TimePoint now);
    /// The planned stop is complete.
    [[nodiscard]] bool isStopped() const;
    /// Whether new connections of callers are accepted. During a planned stop they are until `stopNewWorkAfter`,
    /// because the load balancer may still open some.
    [[nodiscard]] bool acceptsCallers() const;
    /// Reply to the load balancer's readiness check: it may send new callers to this instance.
    [[nodiscard]] bool isReady() const;

    /// What must be followed in the store at present. A kind that is followed again after a pause must first be listed.
    [[nodiscard]] WatchPlan watchPlan() const;

    /// Actions since the last call, in order.
    [[nodiscard]] PoolActions takeActions();
    [[nodiscard]] const PoolWorld &state() const { return this->world; }

private:
    void handleTimer(const TimerQueue::Entry &entry);
    void handleStop();
    /// Registers this instance as a member if it may, and applies its role in the fleet.
    void updateRole();
    /// Directory entries have changed.
    void serversChanged();
    /// The members of the fleet or this instance's role may have changed.
    void fleetChanged();
    /// The store has returned from an older copy.
    void eraChanged();
    void membersReported(const FleetUpdate &update);
    void applyRoutes(std::shared_ptr<const RouteTable> routes);
    /// Opens the sessions that wait until the configuration is confirmed.
    void checkConfirmation();
    /// Ignored unless the version is above that of the organisations in force.
    void applyOrganisations(const std::shared_ptr<const OrganisationTable> &organisations);

    PoolWorld world;
    LinkSystem links;
    DispatchSystem dispatch;
    ResultSystem results;
    FeedPublisher feedPublisher;
    RateLimitSystem rateLimits;
    SessionReplies replies;
    OrganisationSystem organisationSystem;
    AdmissionSystem admission;
    SessionSystem sessions;
    DirectorySystem directory;
    RegistrationSystem registration;
    LeadershipSystem leadership;
    GroupSystem group;
    ReplacementSystem replacement;
    RecoverySystem recovery;
    RelaySystem relay;
    MemberView memberView;
    FeedSubscriber feedSubscriber;
    TimePoint routesSince{0}; ///< when the first configuration came into force; 0: not yet
};

} // namespace Jujubekeel
