#pragma once

#include "catalog/routetable.h"
#include "core/table.h"
#include "observe/counters.h"
#include "observe/logratelimiter.h"
#include "organisations/organisationtable.h"
#include "placing/loadreports.h"
#include "pool/linkrow.h"
#include "pool/poolactions.h"
#include "pool/pooloptions.h"
#include "pool/serverrow.h"
#include "pool/servicerow.h"
#include "pool/sessionrow.h"
#include "pool/timerqueue.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Jujubekeel {

/// Role of an instance in the fleet.
enum class FleetRole : std::uint8_t {
    Undecided, ///< the fleet's objects have not been read yet
    Member,    ///< holds connections to backend servers, and takes part in leadership
    Relaying,  ///< relays its callers' work to members
};

/// All state of one instance's statement pool: flat tables on which the systems operate. Owned by PoolCore and accessed
/// only during its inputs.
struct PoolWorld
{
    PoolOptions options;
    TimePoint now{0};
    TimePoint startedAt{0}; ///< of this process
    Table<SessionId, SessionRow> sessions;
    Table<LinkId, LinkRow> links;
    Table<ServerId, ServerRow> servers;
    Table<ServiceId, ServiceRow> services;
    std::unordered_map<std::string, ServerId> serverById;
    std::unordered_map<std::string, ServiceId> serviceByName;
    std::map<std::string, ServerId> memberById; ///< other instances that take relayed work
    ServiceId relayService;                     ///< service whose servers are the members
    FleetRole role = FleetRole::Undecided;
    std::shared_ptr<const RouteTable> routes; ///< null: no configuration has been received
    /// Newest organisations that this instance knows, at least of the version of `routes`; null: the configuration
    /// names none.
    std::shared_ptr<const OrganisationTable> organisations;
    std::uint64_t routesDigest = 0;        ///< digestOf() `routes`; 0: there are none
    std::uint64_t organisationsDigest = 0; ///< digestOf() `organisations`; 0: there are none
    /// Failure domain of the primary of a service, as members last reported it to this relaying instance. Only used to
    /// choose near members, so that an outdated one costs time but no correctness.
    std::unordered_map<std::string, std::string> primaryDomainOf;
    LoadReports loadReports; ///< with PlacementRule::OthersInFlight, OthersPerSlot
    /// A member has reported its configuration since the start, or cannot. Before, the store's may be an older one, in
    /// which withdrawn keys are valid.
    bool configurationConfirmed = false;
    std::uint32_t instances = 1; ///< instances that share the servers' connections
    bool serversListed = false;  ///< the directory entries were listed since this instance last began to follow them
    TimePoint serversFirstListedAt{0}; ///< 0: never
    TimePoint fleetVerifiedAt{0};      ///< RegistrationSystem::verifiedAt(); 0: the fleet view is not verified
    bool stopping = false;
    TimePoint stopRequestedAt{0};
    TimerQueue timers;
    std::uint64_t nextCall = 1; ///< id of the next call to the store or the promotion API
    Counters counters;
    LogRateLimiter requestLog; ///< limits the lines about single requests
    PoolActions actions;       ///< that follow from the current input

    /// Whether callers need a key, and work runs in the name of an organisation.
    [[nodiscard]] bool usesOrganisations() const
    {
        return this->organisations != nullptr || this->options.requiresKeys;
    }
    /// Whether callers' sessions can be checked against the configuration; before, they wait.
    [[nodiscard]] bool mayOpenSessions() const
    {
        return this->routes != nullptr && (this->configurationConfirmed || !this->usesOrganisations());
    }
    [[nodiscard]] bool isRelaying() const { return this->role == FleetRole::Relaying; }
    /// Whether the service's leadership was verified within the lease. The clock starts at 0 when the machine boots, so
    /// that 0, which means never, has to be excluded.
    [[nodiscard]] bool isLeadershipVerified(const ServiceRow &service) const
    {
        return service.leadershipVerifiedAt.count() != 0
               && this->now - service.leadershipVerifiedAt < this->options.authorityLease;
    }
    /// A member that has not reached the store for longer than the lease: it can neither run work at a primary nor learn
    /// positions for reads, while other members may.
    [[nodiscard]] bool hasLapsed() const
    {
        return this->role == FleetRole::Member && this->fleetVerifiedAt.count() != 0
               && this->now - this->fleetVerifiedAt >= this->options.authorityLease;
    }
    /// Replicas that have received a commit of the service before it is acknowledged.
    [[nodiscard]] std::uint32_t syncReplicas(std::string_view service) const
    {
        return this->routes ? this->routes->syncReplicas(service) : 0;
    }
    /// Visits the services of backend servers. The members' service, which has no primary, is not one of them.
    template <typename Visitor>
    void forEachDatabase(Visitor visitor)
    {
        this->services.forEach([&](ServiceId id, ServiceRow &service) {
            if (id != this->relayService)
                visitor(id, service);
        });
    }
    [[nodiscard]] std::uint64_t takeCall() { return this->nextCall++; }
    template <typename Action>
    void emit(Action action)
    {
        this->actions.push_back(PoolAction{std::move(action)});
    }
    void log(LogLevel level, std::string event, std::vector<std::pair<std::string, std::string>> fields)
    {
        this->emit(WriteLog{.level = level, .event = std::move(event), .fields = std::move(fields)});
    }
    /// Logs a line about one request; it is dropped and counted if there are too many.
    void logRequest(std::string event, std::vector<std::pair<std::string, std::string>> fields)
    {
        if (!this->requestLog.tryAcquire(this->now)) {
            this->counters.add("jujubekeel_pool_log_lines_dropped_total");
            return;
        }
        if (const std::uint64_t lost = this->requestLog.takeDroppedCount(); lost > 0)
            this->log(LogLevel::Warning, "log-lines-dropped", {{"lines", std::to_string(lost)}});
        this->log(LogLevel::Info, std::move(event), std::move(fields));
    }
};

} // namespace Jujubekeel
