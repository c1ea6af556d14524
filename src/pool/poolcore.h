#pragma once

#include "leadership/leadershipoptions.h"
#include "leadership/leadershipsystem.h"
#include "leadership/registrationsystem.h"
#include "leadership/replacementsystem.h"
#include "pool/directorysystem.h"
#include "pool/dispatchsystem.h"
#include "pool/linksystem.h"
#include "pool/poolworld.h"
#include "pool/relaysystem.h"
#include "pool/resultsystem.h"
#include "pool/sessionsystem.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

/// How closely an instance follows the fleet's objects.
enum class FleetWatchMode : std::uint8_t {
    Initial,    ///< it waits for its first proof of leadership: watches are held for a short time only
    Continuous, ///< each watch that ends proves that no primary is being replaced
    Batched,    ///< it relays: news may gather for a second
};

/// Decides for one instance what happens to callers' statements. Has no socket, clock, thread or random source: the
/// shell hands in what has happened with the time, and carries out the actions in order. The same inputs give the same
/// state. Owned by the shell; one thread.
class PoolCore final
{
public:
    explicit PoolCore(PoolOptions options, LeadershipOptions leadershipOptions = {});
    PoolCore(const PoolCore &) = delete;
    PoolCore &operator=(const PoolCore &) = delete;

    /// \a incarnation tells this process from earlier ones of the same name.
    void start(TimePoint now, std::uint64_t incarnation);

    /// A caller's connection was accepted; it has not yet named its database.
    [[nodiscard]] SessionId callerConnected(TimePoint now);
    void callerOpenedSession(TimePoint now, SessionId session, const std::string &database);
    /// A connection of another instance was accepted; it relays the work of its own callers. \a expected is the
    /// instance that it means.
    void relayOpenedSession(TimePoint now, SessionId session, const std::string &expected);
    void statementReceived(TimePoint now, SessionId session, Statement statement);
    /// The caller said goodbye or its connection ended.
    void callerDisconnected(TimePoint now, SessionId session);

    /// The connection of a link is established; the greeting is still to come.
    void linkConnected(TimePoint now, LinkId link);
    void linkMessageReceived(TimePoint now, LinkId link, ServerMessage message);
    void linkDisconnected(TimePoint now, LinkId link, LinkEnd end);

    /// A configuration was read from the store. One that is older than the present one is ignored.
    void routesReceived(TimePoint now, std::shared_ptr<const RouteTable> routes);
    void entryChanged(TimePoint now, const ServerEntry &entry);
    void entryRemoved(TimePoint now, std::string_view id);
    void entriesListed(TimePoint now, const std::vector<ServerEntry> &entries);

    void fleetUpdated(TimePoint now, const FleetUpdate &news);
    void writeFinished(TimePoint now, const WriteOutcome &outcome);
    void promotionFinished(TimePoint now, const PromotionOutcome &outcome);

    /// Runs what is due.
    void tick(TimePoint now);
    [[nodiscard]] std::optional<TimePoint> nextDue() const { return this->world.timers.next(); }

    /// Planned stop: what runs is finished first.
    void requestStop(TimePoint now);
    /// The planned stop is complete.
    [[nodiscard]] bool isStopped() const;
    /// Connections of callers are still accepted; during a planned stop they are until traffic must have moved away.
    [[nodiscard]] bool acceptsCallers() const;
    /// New callers may be sent here.
    [[nodiscard]] bool isReady() const;

    /// How this instance wants to follow the fleet's objects.
    [[nodiscard]] FleetWatchMode fleetWatchMode() const;

    /// Actions since the last call, in order.
    [[nodiscard]] PoolActions takeActions();
    [[nodiscard]] const PoolWorld &state() const { return this->world; }

private:
    void handleTimer(const TimerQueue::Entry &entry);
    void handleStop();
    /// Registers this instance if it may, and follows the part that it has in the fleet.
    void updateRole();

    PoolWorld world;
    LinkSystem links;
    DispatchSystem dispatch;
    ResultSystem results;
    SessionSystem sessions;
    DirectorySystem directory;
    RegistrationSystem registration;
    LeadershipSystem leadership;
    ReplacementSystem replacement;
    RelaySystem relay;
};

} // namespace Jujubekeel
