#pragma once

#include "admission/retrybudget.h"
#include "core/backendrow.h"
#include "core/backendwork.h"
#include "core/connectionrow.h"
#include "core/databaserow.h"
#include "core/entryrow.h"
#include "core/executionrow.h"
#include "core/fleetlayout.h"
#include "core/instancerow.h"
#include "core/peermessages.h"
#include "core/proxyoptions.h"

#include "core/table.h"
#include "core/transactionrow.h"
#include "membership/candidatetable.h"
#include "observe/counters.h"
#include "rules/ruleset.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Jujubekeel {

/// State of one proxy: flat tables that the systems read and write. Owned by ProxyCore; changed only within
/// ProxyCore::step. The comment of each row type names the system that writes it.
struct World
{
    FleetLayout layout;
    ProxyOptions options;
    InstanceId self;
    std::uint64_t incarnation = 0; ///< set by the daemon at its start; larger after each restart
    TimePoint now{0};

    std::unordered_map<std::string, DatabaseId> databaseByName; ///< of the layout; used by every request
    std::vector<InstanceRow> instances;                         ///< index: InstanceId
    std::vector<DatabaseRow> databases;                         ///< index: DatabaseId
    std::vector<BackendRow> backends;                           ///< index: BackendId
    std::vector<BackendWork> work; ///< index: BackendId; empty unless this instance owns the server
    Table<ConnectionId, ConnectionRow> connections;
    Table<RequestId, EntryRow> entries;
    Table<ExecutionId, ExecutionRow> executions;
    Table<TransactionId, TransactionRow> transactions;

    std::optional<RuleSet> rules; ///< empty: none received yet
    bool stopping = false;
    TimePoint stopRequestedAt{0};

    CandidateTable candidates;
    /// Servers with an ownership step other than None. A server that returns to None stays until the next tick.
    std::vector<BackendId> activeBackends;

    std::vector<BackendId> barrierRequests; ///< servers with ConfirmationState::barrierRequested, in request order
    bool announcementPending = false; ///< an owner or a primary changed; heartbeats are sent at the end of the step

    RetryBudget retryBudget;
    Counters counters;
    std::uint64_t nextSerial = 1;          ///< next unique number for requests, platform calls and generated names
    std::deque<PeerMessage> localMessages; ///< messages of this instance to itself, delivered within the same step

    [[nodiscard]] InstanceRow &at(InstanceId id) { return this->instances.at(id.index); }
    [[nodiscard]] const InstanceRow &at(InstanceId id) const { return this->instances.at(id.index); }
    [[nodiscard]] DatabaseRow &at(DatabaseId id) { return this->databases.at(id.index); }
    [[nodiscard]] const DatabaseRow &at(DatabaseId id) const { return this->databases.at(id.index); }
    [[nodiscard]] BackendRow &at(BackendId id) { return this->backends.at(id.index); }
    [[nodiscard]] const BackendRow &at(BackendId id) const { return this->backends.at(id.index); }

    [[nodiscard]] BackendWork &workAt(BackendId id) { return this->work.at(id.index); }
    [[nodiscard]] const BackendWork &workAt(BackendId id) const { return this->work.at(id.index); }
    /// True for a small fleet, in which every instance sends heartbeats to all others.
    [[nodiscard]] bool isFullMesh() const { return this->instances.size() <= this->options.membership.fullMeshLimit; }
    [[nodiscard]] std::uint64_t allocateSerial() { return this->nextSerial++; }
    [[nodiscard]] const std::string &selfName() const { return this->layout.at(this->self).name; }
};

} // namespace Jujubekeel
