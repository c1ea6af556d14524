#include "ownership/ownershipsystem.h"

#include "authority/writeauthoritypolicy.h"
#include "core/sendtopeer.h"
#include "core/world.h"
#include "observe/logaction.h"

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace Jujubekeel {

namespace {

/// Time that live peers have to answer whether they receive heartbeats of the holder of a lock; two heartbeat intervals
/// cover a slow link.
constexpr Duration holderAnswerTimeout = std::chrono::milliseconds(500);

/// Maximum time that a handover waits for running work. New work is refused meanwhile, so a long transaction must not
/// keep the server unused; the handover is tried again later.
constexpr Duration maxClosingTime = std::chrono::seconds(3);

/// Maximum number of doublings of a pause that doubles after each preemption or unsuccessful handover.
constexpr std::uint32_t maxDoublings = 6;

/// Time after the start in which this instance does not compete for servers; zero once all instances are live. A
/// process that has just started learns of live owners and of its peers within two heartbeat intervals; until then it
/// would rank itself as the best candidate of every server.
Duration startGrace(const World &world)
{
    const bool allHeard = std::ranges::all_of(world.instances, [](const InstanceRow &row) { return row.live; });
    return allHeard ? Duration{0} : 2 * world.options.membership.heartbeatInterval;
}

/// True if this instance receives heartbeats from at least half of the fleet, counting itself. An instance that
/// receives fewer is more likely to be cut off itself than the holder of a lock whose heartbeats do not arrive.
bool receivesFromHalfOfFleet(const World &world)
{
    std::size_t live = 0;
    std::size_t present = 0;
    for (std::uint32_t index = 0; index < world.instances.size(); ++index) {
        const InstanceRow &row = world.instances[index];
        const bool self = index == world.self.index;
        live += self || row.live ? 1 : 0;
        present += self || row.live || row.listed ? 1 : 0;
    }
    return 2 * live >= present;
}

/// \a base doubled \a times times, at most maxDoublings times.
Duration doubled(Duration base, std::uint32_t times)
{
    return base * (1U << std::min(times, maxDoublings));
}

/// Rank of this instance among the candidates, 0 for the best; empty if it is not a candidate.
std::optional<std::size_t> ownRank(const World &world, BackendId backend)
{
    const std::span<const InstanceId> ranked = world.candidates.forBackend(backend);
    const auto found = std::ranges::find(ranked, world.self);
    if (found == ranked.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - ranked.begin());
}

bool hasLiveOwner(const World &world, const BackendRow &row)
{
    return row.owner.isValid() && row.owner != world.self && world.at(row.owner).live
           && world.now - row.ownerReportedAt <= world.options.membership.peerTimeout;
}

/// True if a statement or a transaction is in progress at the server. Queued work does not count, because it is refused
/// while the server is handed over. Neither does an idle transaction of a superseded term, because it cannot commit.
bool isBusy(const World &world, BackendId backend)
{
    const BackendWork &work = world.workAt(backend);
    const std::uint64_t term = world.at(world.at(backend).database).history.lastTerm();
    bool busy = !work.running.empty() || !work.confirming.empty() || !work.transactionQueue.empty();
    world.transactions.forEach([&](TransactionId, const TransactionRow &row) {
        const bool over = row.term != 0 && row.term < term;
        busy = busy || (row.backend == backend && !over);
    });
    return busy;
}

std::vector<std::pair<std::string, std::string>> describe(const World &world, BackendId backend)
{
    const BackendRow &row = world.at(backend);
    return {{"database", world.layout.at(row.database).name},
            {"backend_server", world.layout.at(backend).name},
            {"term", std::to_string(row.history.lastTerm())},
            {"instance", world.selfName()}};
}

void logChange(const World &world, BackendId backend, LogLevel level, std::string event, std::string reason,
               Actions &actions)
{
    auto fields = describe(world, backend);
    if (!reason.empty())
        fields.emplace_back("reason", std::move(reason));
    appendLog(actions, level, std::move(event), std::move(fields));
}

} // namespace

void OwnershipSystem::connect(World &world, BackendId backend, bool preempt, Actions &actions)
{
    OwnershipState &state = world.at(backend).ownership;
    assert(state.step == OwnershipStep::None);
    state.step = OwnershipStep::Connecting;
    if (std::ranges::find(world.activeBackends, backend) == world.activeBackends.end())
        world.activeBackends.push_back(backend);
    state.preempting = preempt;
    state.serial = 0;
    state.control = world.connections.insert({.backend = backend,
                                              .purpose = ConnectionPurpose::Ownership,
                                              .state = ConnectionState::Opening,
                                              .since = world.now,
                                              .deadline = world.now + world.options.ownership.pingTimeout});
    actions.emplace_back(OpenConnection{.connection = state.control, .backend = backend, .control = true});
}

void OwnershipSystem::send(World &world, BackendId backend, BackendOperation operation, Actions &actions)
{
    OwnershipState &state = world.at(backend).ownership;
    assert(state.serial == 0);
    state.serial = world.allocateSerial();
    state.operation = operation;
    state.sentAt = world.now;
    state.nextPing = world.now + world.options.ownership.pingInterval;

    ConnectionRow &connection = world.connections.at(state.control);
    connection.state = ConnectionState::Busy;
    connection.since = world.now;
    connection.serial = state.serial;
    connection.deadline = world.now + world.options.ownership.pingTimeout;

    BackendRequest request{.serial = state.serial, .operation = operation, .instance = world.selfName()};
    if (operation == BackendOperation::Barrier) {
        request.position = state.barrierPosition;
        request.wait = world.options.authority.barrierWait;
        world.counters.add("jujubekeel_barriers_total");
    }
    actions.emplace_back(SendToBackend{.connection = state.control, .request = std::move(request)});
}

void OwnershipSystem::sendBarrier(World &world, BackendId backend, Actions &actions)
{
    BackendRow &row = world.at(backend);
    row.ownership.barrierPosition = row.confirmation.requestedPosition;
    row.confirmation.barrierRequested = false;
    row.confirmation.requestedPosition = 0;
    // In a group of one server no replica can acknowledge a barrier, so a status answer of the server itself is used.
    const bool hasNoReplica = requiredAcknowledgements(world, row.database) == 0;
    this->send(world, backend, hasNoReplica ? BackendOperation::Status : BackendOperation::Barrier, actions);
}

void OwnershipSystem::connectionOpened(World &world, ConnectionId connection, bool ok, Actions &actions)
{
    const BackendId backend = world.connections.at(connection).backend;
    OwnershipState &state = world.at(backend).ownership;
    assert(state.control == connection && state.step == OwnershipStep::Connecting);
    if (!ok) {
        world.connections.erase(connection);
        state.control = ConnectionId{};
        this->abandon(world, backend, "control connection could not be opened", actions);
        return;
    }
    state.step = OwnershipStep::Locking;
    state.lastAnswer = world.now;
    this->send(world, backend, state.preempting ? BackendOperation::PreemptLock : BackendOperation::Lock, actions);
}

void OwnershipSystem::connectionLost(World &world, ConnectionId connection, Actions &actions)
{
    const BackendId backend = world.connections.at(connection).backend;
    OwnershipState &state = world.at(backend).ownership;
    assert(state.control == connection);
    world.connections.erase(connection);
    state.control = ConnectionId{};
    this->abandon(world, backend, "control connection lost", actions);
}

void OwnershipSystem::answered(World &world, ConnectionId connection, const BackendAnswer &answer, Actions &actions)
{
    const BackendId backend = world.connections.at(connection).backend;
    BackendRow &row = world.at(backend);
    OwnershipState &state = row.ownership;
    assert(state.control == connection);
    if (state.serial == 0 || answer.serial != state.serial) {
        this->abandon(world, backend, "answer with an unexpected serial on the control connection", actions);
        return;
    }

    state.serial = 0;
    state.lastAnswer = world.now;
    ConnectionRow &connectionRow = world.connections.at(connection);
    connectionRow.state = ConnectionState::Idle;
    connectionRow.since = world.now;
    connectionRow.serial = 0;

    // Passes on the status of the server.
    if (answer.status) {
        this->monitor.observeStatus(world, backend, *answer.status, state.sentAt);
        if (holdsLock(state.step) || state.step == OwnershipStep::Terminating)
            this->confirmation.observeStatus(world, backend, *answer.status);
    }

    switch (state.step) {
    case OwnershipStep::Locking:
        if (answer.code == BackendStatusCode::Ok) {
            if (state.preempting) {
                state.preemptions += 1;
                state.lastPreemption = world.now;
                world.counters.add("jujubekeel_preemptions_total");
                logChange(world, backend, LogLevel::Warning, "lock-preempted",
                          state.blockedBy.isValid() ? "holder " + world.layout.at(state.blockedBy).name : "", actions);
            }
            state.step = OwnershipStep::Terminating;
            this->send(world, backend, BackendOperation::TerminateOthers, actions);
        } else if (answer.code == BackendStatusCode::LockHeld) {
            const bool named = answer.status && !answer.status->lockHolder.empty();
            this->lockRefused(world, backend, named ? answer.status->lockHolder : answer.text, actions);
        } else {
            this->abandon(world, backend, "server refused the lock", actions);
        }
        return;
    case OwnershipStep::Terminating:
        if (answer.code == BackendStatusCode::Ok)
            this->owned(world, backend, actions);
        else
            this->abandon(world, backend, "server did not terminate the sessions of the previous owner", actions);
        return;
    case OwnershipStep::Unlocking:
        this->released(world, backend, actions);
        return;
    case OwnershipStep::Owned:
    case OwnershipStep::Closing:
        break;
    case OwnershipStep::None:
    case OwnershipStep::Connecting:
        assert(false);
        return;
    }

    // Another instance may have taken the lock while this connection stayed open.
    if (answer.status && !answer.status->lockHolder.empty() && answer.status->lockHolder != world.selfName()) {
        this->abandon(world, backend, "lock held by " + answer.status->lockHolder, actions);
        return;
    }
    row.ownerReportedAt = world.now;

    const bool hasNoReplica = requiredAcknowledgements(world, row.database) == 0;
    const bool confirmed =
        answer.code == BackendStatusCode::Ok && (state.operation == BackendOperation::Barrier || hasNoReplica);
    if (confirmed && answer.status && answer.status->role == BackendRole::Primary) {
        this->confirmation.observeBarrier(world, backend, *answer.status, state.sentAt);
        this->monitor.observeConfirmed(world, backend, answer.status->received, state.sentAt);
    }
    // Executions that waited for a barrier that timed out wait for the next one.
    if (answer.code == BackendStatusCode::BarrierTimeout && !world.workAt(backend).confirming.empty())
        ConfirmationSystem::requestBarrier(world, backend, state.barrierPosition);
}

void OwnershipSystem::owned(World &world, BackendId backend, Actions &actions)
{
    OwnershipState &state = world.at(backend).ownership;
    state.step = OwnershipStep::Owned;
    state.ownedSince = world.now;
    state.noLiveOwnerSince = TimePoint{0};
    state.betterCandidate = InstanceId{};
    state.nextRanking = world.now;
    state.retryDelay = Duration{0};
    state.blockedBy = InstanceId{};
    state.blockedSince = TimePoint{0};
    state.nextPing = world.now;
    this->monitor.observeOwnership(world, backend, true);
    world.counters.add("jujubekeel_takeovers_total");
    logChange(world, backend, LogLevel::Info, "ownership-taken", "", actions);
}

void OwnershipSystem::lockRefused(World &world, BackendId backend, const std::string &holder, Actions &actions)
{
    OwnershipState &state = world.at(backend).ownership;
    const InstanceId instance = world.layout.findInstance(holder);
    if (instance != state.blockedBy) {
        state.blockedBy = instance;
        state.blockedSince = world.now;
        state.holderQueriedAt = TimePoint{0};
    }
    this->abandon(world, backend, {}, actions);

    // The server answers, so no back-off is needed. The best candidate retries most often, so that it gets the lock
    // once it is free.
    const OwnershipOptions &options = world.options.ownership;
    const Duration pause = 2 * options.retryDelay + ownRank(world, backend).value_or(0) * options.candidateDelay;
    state.retryDelay = Duration{0};
    state.notBefore = world.now + std::min(pause, options.maxRetryDelay);
}

void OwnershipSystem::abandon(World &world, BackendId backend, const std::string &reason, Actions &actions)
{
    BackendRow &row = world.at(backend);
    OwnershipState &state = row.ownership;
    const bool held = holdsLock(state.step);
    const bool unlocking = state.step == OwnershipStep::Unlocking;

    if (state.control.isValid()) {
        actions.emplace_back(CloseConnection{.connection = state.control});
        world.connections.erase(state.control);
        state.control = ConnectionId{};
    }
    state.serial = 0;

    // The server releases the lock when the connection closes, so an unanswered Unlock is a release as well.
    if (unlocking) {
        this->released(world, backend, actions);
        return;
    }
    state.step = OwnershipStep::None;
    state.preempting = false;
    const OwnershipOptions &options = world.options.ownership;
    state.retryDelay = std::clamp(state.retryDelay * 2, options.retryDelay, options.maxRetryDelay);
    state.notBefore = world.now + state.retryDelay;
    row.confirmation.barrierRequested = false;
    row.confirmation.requestedPosition = 0;

    if (held) {
        this->monitor.observeOwnership(world, backend, false);
        world.counters.add("jujubekeel_ownership_lost_total");
        logChange(world, backend, LogLevel::Warning, "ownership-lost", reason, actions);
    } else if (!reason.empty()) {
        logChange(world, backend, LogLevel::Debug, "ownership-attempt-failed", reason, actions);
    }
}

void OwnershipSystem::startClosing(World &world, BackendId backend, const std::string &reason, Actions &actions)
{
    OwnershipState &state = world.at(backend).ownership;
    assert(state.step == OwnershipStep::Owned);
    state.step = OwnershipStep::Closing;
    state.closingSince = world.now;
    world.announcementPending = true;
    logChange(world, backend, LogLevel::Info, "handover-started", reason, actions);
}

void OwnershipSystem::released(World &world, BackendId backend, Actions &actions)
{
    OwnershipState &state = world.at(backend).ownership;
    if (state.control.isValid()) {
        actions.emplace_back(CloseConnection{.connection = state.control});
        world.connections.erase(state.control);
        state.control = ConnectionId{};
    }
    state.step = OwnershipStep::None;
    state.serial = 0;
    state.handovers += 1;
    state.noLiveOwnerSince = TimePoint{0};
    // The peer that receives the Handover has the delay of one rank before this instance competes again.
    state.notBefore = world.now + world.options.ownership.candidateDelay;
    this->monitor.observeOwnership(world, backend, false);

    const std::span<const InstanceId> candidates = world.candidates.forBackend(backend);
    std::vector<InstanceId> ranked(candidates.begin(), candidates.end());
    std::erase(ranked, world.self);
    if (!ranked.empty())
        sendToPeer(world, ranked.front(), Handover{.backend = backend}, actions);
    world.counters.add("jujubekeel_handovers_total");
    logChange(world, backend, LogLevel::Info, "ownership-handed-over",
              ranked.empty() ? "no other instance is live" : "to " + world.layout.at(ranked.front()).name, actions);
}

void OwnershipSystem::handoverReceived(World &world, BackendId backend, Actions &actions)
{
    assert(backend.index < world.backends.size());
    OwnershipState &state = world.at(backend).ownership;
    if (world.stopping || state.step != OwnershipStep::None)
        return;
    state.retryDelay = Duration{0};
    this->connect(world, backend, false, actions);
}

void OwnershipSystem::handle(World &world, InstanceId from, const HolderQuery &query, Actions &actions)
{
    const InstanceRow &holder = world.at(query.holder);
    sendToPeer(world, from,
               HolderAnswer{.backend = query.backend,
                            .holder = query.holder,
                            .heard = query.holder == world.self || holder.live},
               actions);
}

void OwnershipSystem::handle(World &world, InstanceId, const HolderAnswer &answer, Actions &)
{
    OwnershipState &state = world.at(answer.backend).ownership;
    if (!answer.heard || answer.holder != state.blockedBy)
        return;
    state.blockedSince = world.now;
    state.holderQueriedAt = TimePoint{0};
}

void OwnershipSystem::tick(World &world, Actions &actions)
{
    if (!this->started) {
        this->started = true;
        this->startedAt = world.now;
    }
    world.candidates.refresh(world);

    // Servers that this instance owns or is taking, then those for which it is a candidate.
    const std::vector<BackendId> activeBackends = world.activeBackends;
    for (const BackendId backend : activeBackends) {
        if (world.at(backend).ownership.step != OwnershipStep::None)
            this->tickOwner(world, backend, actions);
    }
    for (const BackendId backend : world.candidates.ownCandidacies()) {
        if (world.at(backend).ownership.step == OwnershipStep::None)
            this->tickCandidate(world, backend, actions);
    }
    std::erase_if(world.activeBackends, [&](BackendId backend) {
        return world.at(backend).ownership.step == OwnershipStep::None && world.at(backend).openConnections == 0
               && world.workAt(backend).isEmpty();
    });
}

void OwnershipSystem::tickCandidate(World &world, BackendId backend, Actions &actions)
{
    const OwnershipOptions &options = world.options.ownership;
    BackendRow &row = world.at(backend);
    OwnershipState &state = row.ownership;

    if (hasLiveOwner(world, row)) {
        state.noLiveOwnerSince = TimePoint{0};
        state.retryDelay = Duration{0};
        state.handovers = 0;
        state.blockedBy = InstanceId{};
        state.blockedSince = TimePoint{0};
        // Preemptions count as one series until heartbeats of the current owner have arrived for as long as the last
        // pause.
        if (world.now - state.lastPreemption > doubled(options.preemptAfter, state.preemptions))
            state.preemptions = 0;
        return;
    }
    if (state.noLiveOwnerSince == TimePoint{0}) {
        state.noLiveOwnerSince = std::max(world.now, TimePoint{1});
        state.nextRanking = world.now;
    }
    if (world.stopping || world.now < state.nextRanking || world.now < this->startedAt + startGrace(world))
        return;

    // A holder whose heartbeats reach neither this instance nor any live peer loses the lock to a candidate in another
    // failure domain.
    const bool unheard = state.blockedBy.isValid() && state.blockedBy != world.self && !world.at(state.blockedBy).live
                         && world.layout.at(state.blockedBy).failureDomain != world.layout.at(world.self).failureDomain
                         && receivesFromHalfOfFleet(world);
    const TimePoint preemptionDue = state.blockedSince + doubled(options.preemptAfter, state.preemptions);
    if (!unheard) {
        state.blockedSince = world.now;
        state.holderQueriedAt = TimePoint{0};
    } else if (world.now + holderAnswerTimeout >= preemptionDue && state.holderQueriedAt == TimePoint{0}) {
        state.holderQueriedAt = world.now;
        sendToLivePeers(world, HolderQuery{.backend = backend, .holder = state.blockedBy}, actions);
    }
    const bool preempt =
        unheard && world.now >= preemptionDue && world.now >= state.holderQueriedAt + holderAnswerTimeout;
    if (!preempt && world.now < state.notBefore)
        return;

    // Better-ranked candidates act first. A silent owner may keep the lock for lockTimeout, so the delays of the lower
    // ranks count from the end of that time; otherwise one of them could by chance find the lock free before the best
    // candidate does. Ranking reads all instances, so it is not repeated in every tick.
    TimePoint begin = preempt ? preemptionDue : state.noLiveOwnerSince;
    const std::optional<std::size_t> rank = ownRank(world, backend);
    if (!preempt && rank && *rank > 0 && row.owner.isValid() && row.owner != world.self)
        begin = std::max(begin, row.ownerReportedAt + options.lockTimeout);
    if (!rank || world.now < begin + *rank * options.candidateDelay) {
        state.nextRanking = world.now + options.candidateDelay / 10;
        return;
    }
    if (preempt) {
        state.blockedSince = world.now;
        state.holderQueriedAt = TimePoint{0};
    }
    this->connect(world, backend, preempt, actions);
}

void OwnershipSystem::tickOwner(World &world, BackendId backend, Actions &actions)
{
    const OwnershipOptions &options = world.options.ownership;
    BackendRow &row = world.at(backend);
    OwnershipState &state = row.ownership;

    // Ends an attempt or a request that was not answered in time. After a pause of this process the server has closed
    // the connection even if no request was in progress.
    const bool opening = state.step == OwnershipStep::Connecting;
    if (opening ? world.now > world.connections.at(state.control).deadline
                : state.serial != 0 && world.now - state.sentAt > options.pingTimeout) {
        this->abandon(world, backend, "no answer on the control connection within the ping timeout", actions);
        return;
    }
    if (holdsLock(state.step) && world.now - state.lastAnswer > options.lockTimeout) {
        this->abandon(world, backend, "control connection silent for longer than the lock timeout", actions);
        return;
    }

    // A stopping instance takes no server.
    if (!holdsLock(state.step)) {
        if (world.stopping)
            this->abandon(world, backend, "stopping", actions);
        return;
    }

    // Handover.
    if (state.step == OwnershipStep::Owned && world.stopping) {
        this->startClosing(world, backend, "stopping", actions);
    } else if (state.step == OwnershipStep::Owned && world.now >= state.nextRanking) {
        state.nextRanking = world.now + options.pingInterval;
        const std::span<const InstanceId> ranked = world.candidates.forBackend(backend);
        const InstanceId best = ranked.empty() ? world.self : ranked.front();
        if (best == world.self) {
            state.betterCandidate = InstanceId{};
        } else if (best != state.betterCandidate) {
            state.betterCandidate = best;
            state.betterCandidateSince = world.now;
        } else if (world.now - state.betterCandidateSince >= doubled(options.handoverAfter, state.handovers)) {
            this->startClosing(world, backend, "better candidate " + world.layout.at(best).name, actions);
        }
    }
    if (state.step == OwnershipStep::Closing && state.serial == 0 && !isBusy(world, backend)) {
        state.step = OwnershipStep::Unlocking;
        this->send(world, backend, BackendOperation::Unlock, actions);
        return;
    }
    if (state.step == OwnershipStep::Closing && !world.stopping && world.now - state.closingSince > maxClosingTime) {
        state.step = OwnershipStep::Owned;
        state.betterCandidateSince = world.now;
        world.announcementPending = true;
        logChange(world, backend, LogLevel::Info, "handover-postponed", "work is still running", actions);
    }

    // Pings. On a primary a ping is a barrier, which also shows how current the replicas are.
    if (state.step != OwnershipStep::Unlocking && state.serial == 0 && world.now >= state.nextPing) {
        if (row.role == BackendRole::Primary)
            this->sendBarrier(world, backend, actions);
        else
            this->send(world, backend, BackendOperation::Status, actions);
    }
}

void OwnershipSystem::sendBarriers(World &world, Actions &actions)
{
    if (world.barrierRequests.empty())
        return;
    std::erase_if(world.barrierRequests, [&](BackendId backend) {
        BackendRow &row = world.at(backend);
        const OwnershipState &state = row.ownership;
        if (!row.confirmation.barrierRequested)
            return true;
        // Only an owned primary can confirm; executions that wait at another server end by their own deadline or
        // through the new primary.
        if (!executesWork(state.step) || row.role != BackendRole::Primary) {
            row.confirmation.barrierRequested = false;
            row.confirmation.requestedPosition = 0;
            return true;
        }
        if (state.serial != 0)
            return false;
        this->sendBarrier(world, backend, actions);
        return true;
    });
}

} // namespace Jujubekeel
