#pragma once

#include "catalog/routetable.h"
#include "core/table.h"
#include "observe/counters.h"
#include "observe/logratelimiter.h"
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

/// What an instance does for its callers' work.
enum class FleetRole : std::uint8_t {
    Undecided, ///< the fleet's objects have not been read
    Member,    ///< holds connections to backend servers, and takes part in leadership
    Relaying,  ///< hands the work to members
};

/// All state of one instance's statement pool: flat tables that the systems run over. Owned by PoolCore and touched only
/// within its inputs.
struct PoolWorld
{
    PoolOptions options;
    TimePoint now{0};
    Table<SessionId, SessionRow> sessions;
    Table<LinkId, LinkRow> links;
    Table<ServerId, ServerRow> servers;
    Table<ServiceId, ServiceRow> services;
    std::unordered_map<std::string, ServerId> serverById;
    std::unordered_map<std::string, ServiceId> serviceByName;
    std::map<std::string, ServerId> memberById; ///< other instances that take relayed work
    ServiceId relayService;                     ///< lists the members
    FleetRole role = FleetRole::Undecided;
    std::shared_ptr<const RouteTable> routes; ///< null: no configuration has been received
    std::uint32_t instances = 1;              ///< instances that share the servers' connections
    bool stopping = false;
    TimePoint stopRequestedAt{0};
    TimerQueue timers;
    std::uint64_t nextCall = 1; ///< numbers calls to the store and the promotion service
    Counters counters;
    LogRateLimiter requestLog; ///< for lines about single requests
    PoolActions actions;       ///< of the present input

    [[nodiscard]] bool isRelaying() const { return this->role == FleetRole::Relaying; }
    /// There is a proof of the service's leadership that may still be acted on. The clock starts with the machine, so
    /// that a missing proof must not be taken for one of the time 0.
    [[nodiscard]] bool isLeadershipVerified(const ServiceRow &service) const
    {
        return service.leadershipVerifiedAt.count() != 0
               && this->now - service.leadershipVerifiedAt < this->options.authorityLease;
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
    /// A line about one request; dropped, and counted, if there are too many.
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
