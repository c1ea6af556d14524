#include "authority/promotionsystem.h"

#include "authority/promotionrules.h"
#include "authority/writeauthoritypolicy.h"
#include "core/sendtopeer.h"
#include "core/world.h"
#include "membership/rendezvous.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <tuple>

namespace Jujubekeel {

namespace {

/// Once a majority has accepted the fence, answers of the other servers are awaited until this time after the start of
/// the step. A server that hangs must not delay the promotion, but one that answers slightly later may hold more of the
/// log.
constexpr Duration fenceGrace = std::chrono::milliseconds(50);

} // namespace

// Inputs

void PromotionSystem::connectionOpened(World &world, ConnectionId connection, bool ok, Actions &)
{
    this->connections.opened(world, connection, ok);
}

void PromotionSystem::connectionLost(World &world, ConnectionId connection, Actions &)
{
    this->connections.lost(world, connection);
}

void PromotionSystem::answered(World &world, ConnectionId connection, const BackendAnswer &answer, Actions &actions)
{
    const BackendId backend = world.connections.at(connection).backend;
    const DatabaseId database = world.at(backend).database;
    DatabaseRow &row = world.at(database);
    PromotionState &promotion = row.promotion;
    PromotionMember &member = promotion.members[memberIndex(row, backend)];
    assert(member.connection == connection);
    if (member.serial == 0 || member.serial != answer.serial) {
        this->connections.close(world, member, actions);
        return;
    }
    member.serial = 0;
    ConnectionRow &connectionRow = world.connections.at(connection);
    connectionRow.state = ConnectionState::Idle;
    connectionRow.serial = 0;

    if (answer.status) {
        member.status = answer.status;
        member.answeredAt = world.now;
        member.failedAt = TimePoint{0};
        this->monitor.observeStatus(world, backend, *answer.status, member.sentAt);
    }

    const bool ok = answer.code == BackendStatusCode::Ok;
    switch (member.operation) {
    case BackendOperation::Barrier:
        if (ok && answer.status && answer.status->role == BackendRole::Primary) {
            member.unconfirmedAt = TimePoint{0};
            this->monitor.observeConfirmed(world, backend, answer.status->received, member.sentAt);
        } else {
            member.unconfirmedAt = world.now;
        }
        break;
    case BackendOperation::Fence:
        if (ok)
            member.fencedTerm = std::max(member.fencedTerm, member.requestTerm);
        else
            member.refusedTerm = std::max(member.refusedTerm, member.requestTerm);
        if (promotion.step == PromotionStep::Fencing)
            this->tickFencing(world, database, actions);
        break;
    case BackendOperation::Promote:
        if (promotion.step != PromotionStep::Promoting || member.requestTerm != promotion.term)
            break;
        if (ok && answer.status && answer.status->role == BackendRole::Primary)
            this->finish(world, database, *answer.status, actions);
        else
            this->fail(world, database, "promotion refused: " + answer.text, actions);
        break;
    case BackendOperation::Follow:
        member.followPending = false;
        logPromotionChange(world, database, backend, member.requestTerm, ok ? LogLevel::Info : LogLevel::Warning,
                           ok ? "server-follows" : "server-refused-to-follow", answer.text, actions);
        if (answer.status)
            recordRefusedTerm(world, row, *answer.status);
        break;
    default:
        break;
    }

    // An inspected server must follow the known primary if it is at an older term or follows another primary.
    if (member.statusRequested && answer.status) {
        member.statusRequested = false;
        const bool hasOlderTerm =
            answer.status->role == BackendRole::Primary || answer.status->fencedTerm < row.history.lastTerm();
        const bool followsOther = answer.status->role == BackendRole::Replica && row.primary.isValid()
                                  && answer.status->primary != world.layout.at(row.primary).name;
        member.followPending = backend != row.primary && (hasOlderTerm || followsOther);
        recordRefusedTerm(world, row, *answer.status);
    }
}

void PromotionSystem::handle(World &world, const PlatformAnswer &answer, Actions &actions)
{
    if (answer.call == 0)
        return;
    for (std::uint32_t index = 0; index < world.databases.size(); ++index) {
        const DatabaseId database{.index = index, .generation = 0};
        PromotionState &promotion = world.at(database).promotion;
        if (promotion.platformCall == answer.call) {
            promotion.platformCall = 0;
            if (promotion.step == PromotionStep::Claiming && this->claim.answered(world, database, answer, actions))
                this->beginFence(world, database, promotion.term, actions);
            return;
        }
        if (promotion.leaseCall == answer.call) {
            promotion.leaseCall = 0;
            this->lease.answered(world, database, answer, actions);
            return;
        }
    }
}

void PromotionSystem::handle(World &world, InstanceId from, const WritePause &pause, Actions &actions)
{
    this->switchover.handle(world, from, pause, actions);
}

void PromotionSystem::handle(World &world, InstanceId, const WritesDrained &drained, Actions &)
{
    this->switchover.handle(world, drained);
}

// Ticks

void PromotionSystem::updateCoordination(World &world)
{
    world.candidates.refresh(world);
    if (this->candidatesVersion == world.candidates.version())
        return;
    this->candidatesVersion = world.candidates.version();
    for (std::uint32_t index = 0; index < world.databases.size(); ++index) {
        PromotionState &promotion = world.databases[index].promotion;
        const bool coordinates = world.candidates.coordinator({.index = index, .generation = 0}) == world.self;
        if (coordinates && !promotion.isCoordinator)
            promotion.coordinatorSince = world.now;
        promotion.isCoordinator = coordinates;
    }
}

void PromotionSystem::tick(World &world, Actions &actions)
{
    this->updateCoordination(world);
    for (std::uint32_t index = 0; index < world.databases.size(); ++index) {
        const DatabaseId database{.index = index, .generation = 0};
        this->switchover.tickPause(world, database, actions);
        this->tickDatabase(world, database, actions);
    }
}

void PromotionSystem::tickDatabase(World &world, DatabaseId database, Actions &actions)
{
    DatabaseRow &row = world.at(database);
    PromotionState &promotion = row.promotion;

    // A promotion that has passed the claim is completed even if another instance has become the coordinator, because
    // an abandoned fence leaves the group without a usable primary.
    const bool pastClaim = promotion.step == PromotionStep::Fencing || promotion.step == PromotionStep::AwaitingLease
                           || promotion.step == PromotionStep::Promoting;
    if ((!promotion.isCoordinator || world.stopping) && !pastClaim) {
        if (!promotion.members.empty())
            this->reset(world, database, actions);
        return;
    }
    if (promotion.members.empty())
        promotion.members.resize(row.backends.size());

    this->connections.expire(world, database, actions);
    if (promotion.planned && isActive(promotion.step) && world.now >= promotion.nextPause)
        this->switchover.pauseWrites(world, database, true, actions);

    const Duration inStep = world.now - promotion.stepStarted;
    switch (promotion.step) {
    case PromotionStep::BackingOff:
        if (world.now >= promotion.notBefore)
            promotion.step = PromotionStep::Idle;
        this->watch(world, database, actions);
        break;
    case PromotionStep::Idle:
        this->watch(world, database, actions);
        break;
    case PromotionStep::CatchingUp:
        switch (this->switchover.tickCatchingUp(world, database, actions)) {
        case PlannedSwitchover::Progress::CatchingUp:
            break;
        case PlannedSwitchover::Progress::Complete:
            this->claim.start(world, database, actions);
            break;
        case PlannedSwitchover::Progress::TimedOut:
            this->fail(world, database, "candidate did not catch up", actions);
            break;
        }
        break;
    case PromotionStep::Claiming:
        if (this->claim.tick(world, database, actions))
            this->beginFence(world, database, highestTerm(row) + 1, actions);
        break;
    case PromotionStep::Fencing:
        this->tickFencing(world, database, actions);
        break;
    case PromotionStep::AwaitingLease:
        this->tickAwaitingLease(world, database, actions);
        break;
    case PromotionStep::Promoting:
        if (inStep > world.options.authority.stepTimeout)
            this->fail(world, database, "no answer to the promotion request within the step timeout", actions);
        break;
    }
}

void PromotionSystem::reset(World &world, DatabaseId database, Actions &actions)
{
    PromotionState &promotion = world.at(database).promotion;
    if (promotion.planned && isActive(promotion.step))
        this->switchover.pauseWrites(world, database, false, actions);
    for (PromotionMember &member : promotion.members)
        this->connections.close(world, member, actions);
    promotion.members.clear();
    promotion.step = PromotionStep::Idle;
    promotion.planned = false;
    promotion.platformCall = 0;
    promotion.leaseCall = 0;
    promotion.suspectSince = TimePoint{0};
    promotion.cutOffSince = TimePoint{0};
    promotion.unfinishedFenceSince = TimePoint{0};
    promotion.refusedTerm = 0;
    promotion.primaryReachableSince = TimePoint{0};
    promotion.failures = 0;
    promotion.retryDelay = Duration{0};
}

void PromotionSystem::watch(World &world, DatabaseId database, Actions &actions)
{
    const FailureDetector::Finding finding = this->detector.watch(world, database, actions);
    if (!finding.reason.empty()) {
        this->start(world, database, std::string(finding.reason), finding.excludePrimary, actions);
        return;
    }
    const DatabaseRow &row = world.at(database);
    const bool ready = row.promotion.step == PromotionStep::Idle && world.now >= row.promotion.notBefore;
    if (!finding.suspect && row.primary.isValid() && ready && !this->switchover.start(world, database, actions))
        this->detector.inspectLagging(world, database);
}

// Steps of a promotion

void PromotionSystem::start(World &world, DatabaseId database, const std::string &reason, bool excludePrimary,
                            Actions &actions)
{
    DatabaseRow &row = world.at(database);
    PromotionState &promotion = row.promotion;
    promotion.planned = false;
    promotion.excludePrimary = excludePrimary;
    promotion.candidate = BackendId{};
    world.counters.add("jujubekeel_promotions_started_total");
    logPromotionChange(world, database, row.primary, row.history.lastTerm(), LogLevel::Warning, "promotion-started",
                       reason, actions);
    this->claim.start(world, database, actions);
}

void PromotionSystem::beginFence(World &world, DatabaseId database, std::uint64_t term, Actions &actions)
{
    PromotionState &promotion = world.at(database).promotion;
    promotion.term = term;
    promotion.step = PromotionStep::Fencing;
    promotion.stepStarted = world.now;
    promotion.platformCall = 0;
    if (usesLease(world.options.authority.policy))
        this->lease.start(world, database, actions);
    this->tickFencing(world, database, actions);
}

void PromotionSystem::tickFencing(World &world, DatabaseId database, Actions &actions)
{
    const AuthorityOptions &options = world.options.authority;
    DatabaseRow &row = world.at(database);
    PromotionState &promotion = row.promotion;

    std::size_t accepted = 0;
    std::size_t refused = 0;
    bool pending = false;
    for (std::size_t index = 0; index < promotion.members.size(); ++index) {
        PromotionMember &member = promotion.members[index];
        const bool excluded = promotion.excludePrimary && row.backends[index] == row.primary;
        if (member.fencedTerm >= promotion.term) {
            accepted += excluded ? 0 : 1;
        } else if (member.refusedTerm >= promotion.term) {
            refused += excluded ? 0 : 1;
        } else if (!member.connection.isValid()) {
            if (world.now >= member.notBefore)
                this->connections.open(world, database, index, actions);
        } else if (member.open && member.serial == 0) {
            this->connections.send(world, database, index,
                                   {.operation = BackendOperation::Fence, .term = promotion.term}, options.stepTimeout,
                                   actions);
            pending = true;
        } else if (member.open) {
            pending = true;
        }
    }

    const std::size_t available = promotion.members.size() - (promotion.excludePrimary ? 1 : 0);
    const Duration inStep = world.now - promotion.stepStarted;
    if (accepted < majority(row)) {
        if (available - refused < majority(row))
            this->fail(world, database, "fence refused by too many servers for a majority", actions);
        else if (inStep > options.stepTimeout)
            this->fail(world, database, "no majority accepted the fence within the step timeout", actions);
        return;
    }
    if (pending && inStep < fenceGrace)
        return;

    // Chooses the fenced server with the longest log; among equal ones the planned candidate, then one that is not
    // leaving, then one in this instance's failure domain.
    BackendId chosen;
    auto best = std::tuple(LogPosition{}, false, false, false);
    for (std::size_t index = 0; index < promotion.members.size(); ++index) {
        const PromotionMember &member = promotion.members[index];
        const BackendId backend = row.backends[index];
        if (member.fencedTerm != promotion.term || !member.open || !member.status
            || (promotion.excludePrimary && backend == row.primary))
            continue;
        const bool inOwnDomain = world.layout.at(backend).failureDomain == world.layout.at(world.self).failureDomain;
        const auto rank = std::tuple(member.status->received, backend == promotion.candidate,
                                     !world.at(backend).leaving, inOwnDomain);
        if (!chosen.isValid() || rank > best) {
            chosen = backend;
            best = rank;
        }
    }
    if (!chosen.isValid()) {
        this->fail(world, database, "connections to all fenced servers were lost", actions);
        return;
    }
    promotion.candidate = chosen;
    if (usesLease(options.policy)) {
        promotion.step = PromotionStep::AwaitingLease;
        promotion.stepStarted = world.now;
        this->tickAwaitingLease(world, database, actions);
    } else {
        this->promote(world, database, actions);
    }
}

void PromotionSystem::tickAwaitingLease(World &world, DatabaseId database, Actions &actions)
{
    switch (this->lease.tick(world, database, actions)) {
    case LeaseTakeover::Progress::Waiting:
        break;
    case LeaseTakeover::Progress::Expired:
        this->promote(world, database, actions);
        break;
    case LeaseTakeover::Progress::TimedOut:
        this->fail(world, database, "the lease object could not be taken over in time", actions);
        break;
    }
}

void PromotionSystem::promote(World &world, DatabaseId database, Actions &actions)
{
    DatabaseRow &row = world.at(database);
    PromotionState &promotion = row.promotion;
    const std::size_t index = memberIndex(row, promotion.candidate);
    const PromotionMember &member = promotion.members[index];
    if (!member.open) {
        this->fail(world, database, "connection to the chosen server lost", actions);
        return;
    }
    if (member.serial != 0)
        return; // a status request is in progress; the next tick retries
    promotion.step = PromotionStep::Promoting;
    promotion.stepStarted = world.now;
    this->connections.send(world, database, index, {.operation = BackendOperation::Promote, .term = promotion.term},
                           world.options.authority.stepTimeout, actions);
}

void PromotionSystem::finish(World &world, DatabaseId database, const ServerStatus &status, Actions &actions)
{
    DatabaseRow &row = world.at(database);
    PromotionState &promotion = row.promotion;
    const BackendId primary = promotion.candidate;
    const PromotionNotice notice{.database = database, .primary = primary, .start = status.history.starts().back()};

    // Time since the earlier primary was last known to be confirmed.
    const TimePoint confirmed = row.primary.isValid() ? world.at(row.primary).confirmedEndAsOf : TimePoint{0};
    if (confirmed > TimePoint{0}) {
        const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(world.now - confirmed).count();
        world.counters.set("jujubekeel_failover_gap_milliseconds{database=\"" + world.layout.at(database).name + "\"}",
                           static_cast<std::uint64_t>(gap));
        world.counters.add("jujubekeel_failover_gap_milliseconds_total", static_cast<std::uint64_t>(gap));
    }
    this->monitor.observePromotion(world, notice);
    sendToLivePeers(world, notice, actions);

    // The other servers must replicate from the new primary.
    for (std::size_t index = 0; index < promotion.members.size(); ++index)
        promotion.members[index].followPending = row.backends[index] != primary;

    promotion.step = PromotionStep::Idle;
    promotion.planned = false;
    promotion.failures = 0;
    promotion.retryDelay = Duration{0};
    promotion.suspectSince = TimePoint{0};
    promotion.cutOffSince = TimePoint{0};
    promotion.unfinishedFenceSince = TimePoint{0};
    promotion.leaseTaken = false;
    promotion.leaseNeverHeld = false;
    world.counters.add("jujubekeel_promotions_finished_total");
    logPromotionChange(world, database, primary, notice.start.term, LogLevel::Info, "promotion-finished", "", actions);
    this->watch(world, database, actions);
}

void PromotionSystem::fail(World &world, DatabaseId database, const std::string &reason, Actions &actions)
{
    const AuthorityOptions &options = world.options.authority;
    DatabaseRow &row = world.at(database);
    PromotionState &promotion = row.promotion;
    if (promotion.planned)
        this->switchover.pauseWrites(world, database, false, actions);
    promotion.failures += 1;
    promotion.retryDelay = std::clamp(promotion.retryDelay * 2, options.retryDelay, options.maxRetryDelay);
    // Two promoters that refuse each other's fences must not retry in lockstep. The jitter depends on the instance's
    // name and the term, because the library has no random source.
    const std::uint64_t jitter = rendezvousScore(world.selfName(), std::to_string(promotion.term)) % 1000;
    promotion.notBefore = world.now + promotion.retryDelay + promotion.retryDelay * jitter / 1000;
    if (promotion.planned)
        promotion.notBefore = std::max(promotion.notBefore, world.now + options.promotionHoldOff);
    promotion.planned = false;
    promotion.step = PromotionStep::BackingOff;
    world.counters.add("jujubekeel_promotions_failed_total");
    logPromotionChange(world, database, promotion.candidate, promotion.term, LogLevel::Warning, "promotion-failed",
                       reason, actions);
}

} // namespace Jujubekeel
