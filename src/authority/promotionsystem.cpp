#include "authority/promotionsystem.h"

#include "authority/leaseobject.h"
#include "authority/promotionsobject.h"
#include "authority/writeauthoritypolicy.h"
#include "core/sendtopeer.h"
#include "core/statehasher.h"
#include "core/world.h"
#include "membership/rendezvous.h"
#include "observe/logaction.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <tuple>
#include <utility>

namespace Jujubekeel {

namespace {

/// Between two status requests to a server of a group whose primary is suspected, and after a failed connection.
constexpr Duration probeInterval = std::chrono::milliseconds(100);

/// Between two status requests while the candidate of a planned switchover catches up and writes wait.
constexpr Duration catchUpInterval = std::chrono::milliseconds(20);

/// With a majority fenced, servers that have not answered yet get this long. A server that hangs must not delay the
/// promotion, and one that answers a little later may hold more of the log.
constexpr Duration fenceGrace = std::chrono::milliseconds(50);

/// A claim of another live promoter, or a fence that a majority accepted, is left alone for this long: a promotion in
/// good order takes a fraction of it.
constexpr Duration rivalPatience = std::chrono::seconds(1);

/// A server that is reported under an older term this long after a promotion is told to follow.
constexpr Duration repairAfter = std::chrono::milliseconds(300);
constexpr Duration repairInterval = std::chrono::seconds(1);

/// A pause of writes ends after this time unless the coordinator renews it.
constexpr Duration pauseLasting = std::chrono::seconds(1);
constexpr Duration pauseInterval = std::chrono::milliseconds(100);

/// A planned switchover starts only when its candidate lags by at most so many log entries; writes would wait too long
/// for a replica that is further behind.
constexpr std::uint64_t catchUpEntries = 1000;

std::size_t majority(const DatabaseRow &row)
{
    return row.backends.size() / 2 + 1;
}

/// With so many silent replicas the primary cannot get the acknowledgements that a write needs.
std::size_t silentNeeded(const DatabaseRow &row)
{
    return row.backends.size() - row.backends.size() / 2;
}

/// How long a promotion of another instance is left alone; under a lease policy it includes the wait for the lease.
Duration patience(const World &world)
{
    const AuthorityOptions &options = world.options.authority;
    return usesLease(options.policy) ? rivalPatience + 3 * options.leaseDuration / 2 : rivalPatience;
}

/// Remembers that a server accepts newer terms only than the known one.
void noteRefusedTerm(const World &world, DatabaseRow &row, const ServerStatus &status)
{
    if (status.fencedTerm <= row.history.lastTerm() || row.promotion.refusedTerm >= status.fencedTerm)
        return;
    row.promotion.refusedTerm = status.fencedTerm;
    row.promotion.refusedSince = world.now;
}

bool isActive(PromotionStep step)
{
    return step != PromotionStep::Idle && step != PromotionStep::BackingOff;
}

bool isFresh(const World &world, const PromotionMember &member)
{
    return member.status && world.now - member.answeredAt <= world.options.authority.suspectAfter;
}

std::size_t memberIndex(const DatabaseRow &row, BackendId backend)
{
    const auto found = std::ranges::find(row.backends, backend);
    assert(found != row.backends.end());
    return static_cast<std::size_t>(found - row.backends.begin());
}

/// Highest term seen anywhere in the group or in the promotions object.
std::uint64_t highestTerm(const DatabaseRow &row)
{
    std::uint64_t highest = std::max({row.history.lastTerm(), row.promotion.term, row.promotion.claimedTerm});
    for (const PromotionMember &member : row.promotion.members) {
        highest = std::max(highest, member.refusedTerm);
        if (member.status)
            highest = std::max({highest, member.status->fencedTerm, member.status->history.lastTerm()});
    }
    return highest;
}

bool hasLiveOwner(const World &world, const BackendRow &row)
{
    return row.owner.isValid() && world.at(row.owner).live;
}

/// Whether something that writes runs at a server: a statement, a commit, or an open transaction.
bool isWriting(const World &world, BackendId backend)
{
    const auto writes = [&](ExecutionId id) {
        const CallerRequest &request = world.executions.at(id).forward.request;
        return request.kind != RequestKind::Read || !request.transaction.empty();
    };
    const BackendWork &work = world.workAt(backend);
    bool writing = std::ranges::any_of(work.running, writes) || std::ranges::any_of(work.confirming, writes);
    world.transactions.forEach(
        [&](TransactionId, const TransactionRow &row) { writing = writing || row.backend == backend; });
    return writing;
}

void logChange(const World &world, DatabaseId database, BackendId backend, std::uint64_t term, LogLevel level,
               std::string event, std::string reason, Actions &actions)
{
    std::vector<std::pair<std::string, std::string>> fields{
        {"database", world.layout.at(database).name},
        {"backend_server", backend.isValid() ? world.layout.at(backend).name : ""},
        {"term", std::to_string(term)},
        {"instance", world.selfName()}};
    if (!reason.empty())
        fields.emplace_back("reason", std::move(reason));
    appendLog(actions, level, std::move(event), std::move(fields));
}

} // namespace

// Connections

void PromotionSystem::open(World &world, DatabaseId database, std::size_t member, Actions &actions)
{
    DatabaseRow &row = world.at(database);
    PromotionMember &state = row.promotion.members[member];
    assert(!state.connection.isValid());
    state.open = false;
    state.serial = 0;
    state.deadline = world.now + world.options.authority.stepTimeout;
    state.connection = world.connections.insert({.backend = row.backends[member],
                                                 .purpose = ConnectionPurpose::Promotion,
                                                 .state = ConnectionState::Opening,
                                                 .since = world.now,
                                                 .deadline = state.deadline});
    actions.emplace_back(
        OpenConnection{.connection = state.connection, .backend = row.backends[member], .control = true});
}

void PromotionSystem::close(World &world, PromotionMember &member, Actions &actions)
{
    if (!member.connection.isValid())
        return;
    actions.emplace_back(CloseConnection{.connection = member.connection});
    world.connections.erase(member.connection);
    member.connection = ConnectionId{};
    member.open = false;
    member.serial = 0;
}

void PromotionSystem::send(World &world, DatabaseId database, std::size_t member, BackendRequest request,
                           Duration timeout, Actions &actions)
{
    PromotionMember &state = world.at(database).promotion.members[member];
    assert(state.open && state.serial == 0);
    state.serial = world.takeNumber();
    state.operation = request.operation;
    state.requestTerm = request.term;
    state.sentAt = world.now;
    state.deadline = world.now + timeout;

    ConnectionRow &connection = world.connections.at(state.connection);
    connection.state = ConnectionState::Busy;
    connection.since = world.now;
    connection.serial = state.serial;
    connection.deadline = state.deadline;

    request.serial = state.serial;
    request.instance = world.selfName();
    actions.emplace_back(SendToBackend{.connection = state.connection, .request = std::move(request)});
}

void PromotionSystem::probe(World &world, DatabaseId database, std::size_t member, bool barrier, Duration interval,
                            Actions &actions)
{
    const AuthorityOptions &options = world.options.authority;
    PromotionMember &state = world.at(database).promotion.members[member];
    if (!state.connection.isValid()) {
        if (world.now >= state.notBefore)
            this->open(world, database, member, actions);
        return;
    }
    if (!state.open || state.serial != 0 || world.now < state.nextProbe)
        return;
    state.nextProbe = world.now + interval;
    BackendRequest request{.operation = BackendOperation::Status};
    if (barrier) {
        // The server may hold the barrier for most of the time after which its silence would count, so that a slow
        // replication is not taken for an interrupted one.
        request.operation = BackendOperation::Barrier;
        request.wait = options.suspectAfter - probeInterval;
    }
    this->send(world, database, member, std::move(request), options.suspectAfter, actions);
}

void PromotionSystem::expire(World &world, DatabaseId database, Actions &actions)
{
    for (PromotionMember &member : world.at(database).promotion.members) {
        const bool waiting = member.connection.isValid() && (!member.open || member.serial != 0);
        if (waiting && world.now > member.deadline) {
            this->close(world, member, actions);
            member.notBefore = world.now + probeInterval;
        }
    }
}

void PromotionSystem::connectionOpened(World &world, ConnectionId connection, bool ok, Actions &)
{
    const BackendId backend = world.connections.at(connection).backend;
    DatabaseRow &row = world.at(world.at(backend).database);
    PromotionMember &member = row.promotion.members[memberIndex(row, backend)];
    assert(member.connection == connection);
    if (ok) {
        member.open = true;
        world.connections.at(connection).state = ConnectionState::Idle;
        return;
    }
    world.connections.erase(connection);
    member.connection = ConnectionId{};
    member.failedAt = world.now;
    member.notBefore = world.now + probeInterval;
}

void PromotionSystem::connectionLost(World &world, ConnectionId connection, Actions &)
{
    const BackendId backend = world.connections.at(connection).backend;
    DatabaseRow &row = world.at(world.at(backend).database);
    PromotionMember &member = row.promotion.members[memberIndex(row, backend)];
    assert(member.connection == connection);
    world.connections.erase(connection);
    member.connection = ConnectionId{};
    member.open = false;
    member.serial = 0;
    member.failedAt = world.now;
    member.notBefore = world.now + probeInterval;
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
        this->close(world, member, actions);
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
        member.followWanted = false;
        logChange(world, database, backend, member.requestTerm, ok ? LogLevel::Info : LogLevel::Warning,
                  ok ? "server-follows" : "server-refused-to-follow", answer.text, actions);
        if (answer.status)
            noteRefusedTerm(world, row, *answer.status);
        break;
    default:
        break;
    }

    // A server that was reported under an older term, or that follows another primary.
    if (member.inspect && answer.status) {
        member.inspect = false;
        const bool older =
            answer.status->role == BackendRole::Primary || answer.status->fencedTerm < row.history.lastTerm();
        const bool elsewhere = answer.status->role == BackendRole::Replica && row.primary.isValid()
                               && answer.status->primary != world.layout.at(row.primary).name;
        member.followWanted = backend != row.primary && (older || elsewhere);
        noteRefusedTerm(world, row, *answer.status);
    }
}

// Ticks

void PromotionSystem::updateCoordination(World &world)
{
    // Rankings depend on the set of live instances alone, so they are computed only when it changes.
    StateHasher hasher;
    for (std::uint32_t index = 0; index < world.instances.size(); ++index) {
        const InstanceRow &row = world.instances[index];
        if (row.live && !row.leaving)
            hasher.add(std::uint64_t{index});
    }
    if (this->liveSetKnown && hasher.value() == this->liveSet)
        return;
    this->liveSetKnown = true;
    this->liveSet = hasher.value();
    for (std::uint32_t index = 0; index < world.databases.size(); ++index) {
        PromotionState &promotion = world.databases[index].promotion;
        const bool coordinates = bestInstance(world, world.layout.databases[index].name) == world.self;
        if (coordinates && !promotion.coordinates)
            promotion.coordinatesSince = world.now;
        promotion.coordinates = coordinates;
    }
}

void PromotionSystem::tick(World &world, Actions &actions)
{
    this->updateCoordination(world);
    for (std::uint32_t index = 0; index < world.databases.size(); ++index) {
        const DatabaseId database{.index = index, .generation = 0};
        this->tickPause(world, database, actions);
        this->tickDatabase(world, database, actions);
    }
}

void PromotionSystem::tickDatabase(World &world, DatabaseId database, Actions &actions)
{
    DatabaseRow &row = world.at(database);
    PromotionState &promotion = row.promotion;

    // Past the claim a promotion is finished even if another instance has become the coordinator: a fence that is left
    // behind stops the group.
    const bool pastClaim = promotion.step == PromotionStep::Fencing || promotion.step == PromotionStep::AwaitingLease
                           || promotion.step == PromotionStep::Promoting;
    if ((!promotion.coordinates || world.stopping) && !pastClaim) {
        if (!promotion.members.empty())
            this->reset(world, database, actions);
        return;
    }
    if (promotion.members.empty())
        promotion.members.resize(row.backends.size());

    this->expire(world, database, actions);
    if (promotion.planned && isActive(promotion.step) && world.now >= promotion.nextPause)
        this->pauseWrites(world, database, true, actions);

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
        this->tickCatchingUp(world, database, actions);
        break;
    case PromotionStep::Claiming:
        // Without the platform the fence alone decides: a server accepts a term from one promoter only. Before that an
        // unanswered update is looked up, because it may have taken effect.
        if (inStep > world.options.authority.claimTimeout)
            this->beginFence(world, database, highestTerm(row) + 1, actions);
        else if (promotion.claimWriting && world.now - promotion.claimSentAt > world.options.authority.claimTimeout / 4)
            this->readClaim(world, database, actions);
        break;
    case PromotionStep::Fencing:
        this->tickFencing(world, database, actions);
        break;
    case PromotionStep::AwaitingLease:
        this->tickAwaitingLease(world, database, actions);
        break;
    case PromotionStep::Promoting:
        if (inStep > world.options.authority.stepTimeout)
            this->fail(world, database, "no answer to the promotion", actions);
        break;
    }
}

void PromotionSystem::reset(World &world, DatabaseId database, Actions &actions)
{
    PromotionState &promotion = world.at(database).promotion;
    if (promotion.planned && isActive(promotion.step))
        this->pauseWrites(world, database, false, actions);
    for (PromotionMember &member : promotion.members)
        this->close(world, member, actions);
    promotion.members.clear();
    promotion.step = PromotionStep::Idle;
    promotion.planned = false;
    promotion.platformCall = 0;
    promotion.leaseCall = 0;
    promotion.suspectSince = TimePoint{0};
    promotion.cutOffSince = TimePoint{0};
    promotion.fenceLeftSince = TimePoint{0};
    promotion.refusedTerm = 0;
    promotion.seenSince = TimePoint{0};
    promotion.failures = 0;
    promotion.retryDelay = Duration{0};
}

// Detection

void PromotionSystem::watch(World &world, DatabaseId database, Actions &actions)
{
    const AuthorityOptions &options = world.options.authority;
    DatabaseRow &row = world.at(database);
    PromotionState &promotion = row.promotion;
    const bool known = row.primary.isValid();
    const BackendRow *primary = known ? &world.at(row.primary) : nullptr;
    const bool replicated = row.backends.size() > 1;

    // Suspicion: the owner is gone or silent, or the group has confirmed nothing for a while.
    const bool owned = known && hasLiveOwner(world, *primary);
    const bool ownerHeard = owned && world.now - primary->ownerHeard <= options.suspectAfter;
    const Duration unconfirmedFor = known ? world.now - primary->currentAsOf : Duration{0};
    const bool suspect = known ? !ownerHeard || (replicated && unconfirmedFor > options.cutOffAfter / 3)
                               : world.now - promotion.coordinatesSince > options.suspectAfter;
    const std::size_t primaryIndex = known ? memberIndex(row, row.primary) : row.backends.size();
    const bool answersHere = known && promotion.members[primaryIndex].answeredAt != TimePoint{0}
                             && world.now - promotion.members[primaryIndex].answeredAt <= options.suspectAfter;
    if (!ownerHeard && !answersHere)
        promotion.seenSince = TimePoint{0};
    else if (promotion.seenSince == TimePoint{0})
        promotion.seenSince = world.now;
    if (!suspect) {
        promotion.suspectSince = TimePoint{0};
        promotion.cutOffSince = TimePoint{0};
        promotion.fenceLeftSince = TimePoint{0};
    } else if (promotion.suspectSince == TimePoint{0}) {
        promotion.suspectSince = world.now;
        for (PromotionMember &member : promotion.members) {
            member.failedAt = TimePoint{0};
            member.unconfirmedAt = TimePoint{0};
        }
    }

    // Short-lived control connections: to the whole group while the primary is suspect, else to servers that must be
    // told something.
    for (std::size_t index = 0; index < promotion.members.size(); ++index) {
        PromotionMember &member = promotion.members[index];
        if (member.followWanted && known && member.open && member.serial == 0) {
            BackendRequest request{.operation = BackendOperation::Follow,
                                   .term = row.history.lastTerm(),
                                   .primary = world.layout.at(row.primary).name};
            this->send(world, database, index, std::move(request), options.stepTimeout, actions);
        } else if (suspect) {
            this->probe(world, database, index, index == primaryIndex && replicated, probeInterval, actions);
        } else if (member.inspect || (member.followWanted && !member.connection.isValid())) {
            // A server that cannot be reached is inspected again once an owner reports it.
            if (member.failedAt != TimePoint{0} && world.now < member.notBefore) {
                member.inspect = false;
                member.followWanted = false;
            } else {
                this->probe(world, database, index, false, probeInterval, actions);
            }
        } else if (!member.followWanted && member.serial == 0) {
            this->close(world, member, actions);
        }
    }
    if (!suspect) {
        if (known && promotion.step == PromotionStep::Idle && world.now >= promotion.notBefore
            && !this->startPlanned(world, database, actions))
            this->repair(world, database, actions);
        return;
    }

    // Evidence from the servers themselves.
    std::size_t freshReplicas = 0;
    std::size_t silent = 0;
    std::size_t fenced = 0;
    for (std::size_t index = 0; index < promotion.members.size(); ++index) {
        const PromotionMember &member = promotion.members[index];
        if (!isFresh(world, member))
            continue;
        fenced += member.status->fencedTerm > row.history.lastTerm() ? 1 : 0;
        if (index == primaryIndex)
            continue;
        freshReplicas += 1;
        silent += member.status->primarySilence >= options.replicationSilence ? 1 : 0;
    }
    if (fenced < majority(row))
        promotion.fenceLeftSince = TimePoint{0};
    else if (promotion.fenceLeftSince == TimePoint{0})
        promotion.fenceLeftSince = world.now;
    if (promotion.step != PromotionStep::Idle || world.now < promotion.notBefore)
        return;

    // A promotion that ended between fence and announcement.
    if (promotion.fenceLeftSince != TimePoint{0} && world.now - promotion.fenceLeftSince > patience(world)) {
        this->start(world, database, "a majority refuses the known term", false, actions);
        return;
    }
    if (!known || !replicated)
        return;

    // The primary is gone: neither its owner nor this instance has heard it, and its replicas receive nothing. Hold-off
    // applies unless its address refuses connections.
    const PromotionMember &atPrimary = promotion.members[primaryIndex];
    const bool refused = atPrimary.failedAt != TimePoint{0};
    const TimePoint ownerHeardAt = ownerHeard ? primary->ownerHeard : TimePoint{0};
    const TimePoint answeredAt = refused ? TimePoint{0} : atPrimary.answeredAt;
    const bool answers = answeredAt != TimePoint{0} && world.now - answeredAt <= options.suspectAfter;
    const bool seen = ownerHeard || answers;
    const bool probed = world.now - promotion.suspectSince >= probeInterval;
    const TimePoint lastSeen = std::max({primary->currentAsOf, promotion.seenSince, ownerHeardAt, answeredAt});
    const bool unheard = refused || (probed && world.now - lastSeen > options.suspectAfter);
    const bool held = world.now - row.lastPromotion < options.promotionHoldOff;
    if (!seen && unheard && silent >= silentNeeded(row) && freshReplicas >= majority(row) && (refused || !held)) {
        this->start(world, database, refused ? "primary refuses connections" : "primary is silent", true, actions);
        return;
    }

    // Under a lease alone the primary acknowledges without its replicas, so it is not replaced while it answers.
    if (!usesConfirmation(options.policy))
        return;

    // The primary is cut off: it answers, and the group confirms nothing.
    // The time before it was first seen says nothing.
    if (!seen || unconfirmedFor <= options.cutOffAfter / 3) {
        promotion.cutOffSince = TimePoint{0};
        return;
    }
    promotion.cutOffSince =
        std::max({primary->currentAsOf, promotion.seenSince, promotion.coordinatesSince, row.lastPromotion});
    const bool unconfirmed = !atPrimary.open || atPrimary.unconfirmedAt != TimePoint{0};
    if (world.now - promotion.cutOffSince > options.cutOffAfter && unconfirmed && freshReplicas >= majority(row)
        && !held)
        this->start(world, database, "primary is cut off from its replicas", true, actions);
}

void PromotionSystem::repair(World &world, DatabaseId database, Actions &)
{
    // Servers that came back under an older term, or whose log stopped growing, are asked for their status and told to
    // follow if need be.
    const AuthorityOptions &options = world.options.authority;
    DatabaseRow &row = world.at(database);
    const BackendRow &primary = world.at(row.primary);
    for (std::size_t index = 0; index < row.backends.size(); ++index) {
        const BackendId backend = row.backends[index];
        const BackendRow &server = world.at(backend);
        PromotionMember &member = row.promotion.members[index];
        if (backend == row.primary || !hasLiveOwner(world, server)) {
            member.behindSince = TimePoint{0};
            member.progressAt = TimePoint{0};
            continue;
        }
        if (server.history.lastTerm() >= row.history.lastTerm())
            member.behindSince = TimePoint{0};
        else if (member.behindSince == TimePoint{0})
            member.behindSince = world.now;
        if (server.received >= primary.current) {
            member.progressAt = TimePoint{0};
        } else if (member.progressAt == TimePoint{0} || server.received != member.seenReceived) {
            member.progressAt = world.now;
            member.seenReceived = server.received;
        }
        const bool behind = member.behindSince != TimePoint{0} && world.now - member.behindSince > repairAfter;
        const bool stuck = member.progressAt != TimePoint{0} && world.now - member.progressAt > options.cutOffAfter;
        if ((behind || stuck) && world.now >= member.nextRepair) {
            member.inspect = true;
            member.nextRepair = world.now + repairInterval;
        }
    }
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
    logChange(world, database, row.primary, row.history.lastTerm(), LogLevel::Warning, "promotion-started", reason,
              actions);
    this->startClaim(world, database, actions);
}

bool PromotionSystem::startPlanned(World &world, DatabaseId database, Actions &actions)
{
    const AuthorityOptions &options = world.options.authority;
    DatabaseRow &row = world.at(database);
    PromotionState &promotion = row.promotion;
    const BackendRow &primary = world.at(row.primary);
    // A server that refuses the known term may belong to a promotion that is under way.
    const bool refused =
        promotion.refusedTerm > row.history.lastTerm() && world.now - promotion.refusedSince > 2 * patience(world);
    if (!primary.leaving && !refused)
        return false;
    if (row.backends.size() < 2 || world.now - row.lastPromotion < options.promotionHoldOff)
        return false;

    // The replica with the most of the log, then the nearest. A term that is only renewed stays with its server.
    BackendId candidate = primary.leaving ? BackendId{} : row.primary;
    if (primary.leaving) {
        auto best = std::tuple(LogPosition{}, false);
        for (const BackendId backend : row.backends) {
            const BackendRow &server = world.at(backend);
            if (backend == row.primary || server.leaving || !hasLiveOwner(world, server)
                || server.history.lastTerm() != row.history.lastTerm()
                || server.received.position + catchUpEntries < primary.current.position)
                continue;
            const bool near = world.layout.at(backend).failureDomain == world.layout.at(world.self).failureDomain;
            const auto rank = std::tuple(server.received, near);
            if (!candidate.isValid() || rank > best) {
                candidate = backend;
                best = rank;
            }
        }
    }
    if (!candidate.isValid())
        return false;

    promotion.planned = true;
    promotion.excludePrimary = false;
    promotion.candidate = candidate;
    promotion.step = PromotionStep::CatchingUp;
    promotion.stepStarted = world.now;
    promotion.pauseStarted = world.now;
    promotion.drained = false;
    world.counters.add("jujubekeel_promotions_started_total");
    world.counters.add("jujubekeel_switchovers_started_total");
    logChange(world, database, candidate, row.history.lastTerm(), LogLevel::Info, "switchover-started",
              primary.leaving ? "primary is leaving" : "a server refuses the known term", actions);
    this->pauseWrites(world, database, true, actions);
    return true;
}

void PromotionSystem::pauseWrites(World &world, DatabaseId database, bool paused, Actions &actions)
{
    DatabaseRow &row = world.at(database);
    row.promotion.nextPause = world.now + pauseInterval;
    if (!row.primary.isValid() || !world.at(row.primary).owner.isValid())
        return;
    sendToPeer(world, world.at(row.primary).owner,
               WritePause{.database = database,
                          .term = row.history.lastTerm(),
                          .paused = paused,
                          .lasting = paused ? pauseLasting : Duration{0}},
               actions);
}

void PromotionSystem::tickCatchingUp(World &world, DatabaseId database, Actions &actions)
{
    DatabaseRow &row = world.at(database);
    PromotionState &promotion = row.promotion;
    const std::size_t primaryIndex = memberIndex(row, row.primary);
    const std::size_t candidateIndex = memberIndex(row, promotion.candidate);
    for (std::size_t index = 0; index < promotion.members.size(); ++index)
        this->probe(world, database, index, false, catchUpInterval, actions);

    // The candidate holds all that the primary had when nothing that writes ran any more.
    const PromotionMember &primary = promotion.members[primaryIndex];
    const PromotionMember &candidate = promotion.members[candidateIndex];
    const bool complete =
        isFresh(world, primary) && isFresh(world, candidate) && candidate.status->received >= primary.status->received;
    if (promotion.drained && complete && candidate.status->received >= promotion.drainedAt
        && primary.sentAt >= promotion.stepStarted) {
        this->startClaim(world, database, actions);
        return;
    }

    // Transactions that are still open when the pause is over end with the old primary; they have committed nothing.
    if (world.now - promotion.pauseStarted > world.options.drain.plannedChangeWait) {
        if (complete)
            this->startClaim(world, database, actions);
        else
            this->fail(world, database, "candidate did not catch up", actions);
    }
}

void PromotionSystem::startClaim(World &world, DatabaseId database, Actions &actions)
{
    PromotionState &promotion = world.at(database).promotion;
    promotion.step = PromotionStep::Claiming;
    promotion.stepStarted = world.now;
    promotion.claimSequence = 0;
    this->readClaim(world, database, actions);
}

void PromotionSystem::readClaim(World &world, DatabaseId database, Actions &actions)
{
    PromotionState &promotion = world.at(database).promotion;
    promotion.claimWriting = false;
    promotion.claimSentAt = world.now;
    promotion.platformCall = world.takeNumber();
    actions.emplace_back(
        CallPlatform{.call = {.call = promotion.platformCall,
                              .operation = PlatformOperation::Get,
                              .key = PromotionsObject::key(database, world.options.authority.promotionsShardSize)}});
    world.counters.add("jujubekeel_platform_calls_total{call=\"claim\"}");
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
            if (promotion.step == PromotionStep::Claiming)
                this->claimAnswered(world, database, answer, actions);
            return;
        }
        if (promotion.leaseCall == answer.call) {
            promotion.leaseCall = 0;
            this->leaseAnswered(world, database, answer, actions);
            return;
        }
    }
}

void PromotionSystem::claimAnswered(World &world, DatabaseId database, const PlatformAnswer &answer, Actions &actions)
{
    const AuthorityOptions &options = world.options.authority;
    DatabaseRow &row = world.at(database);
    PromotionState &promotion = row.promotion;
    const bool wrote = promotion.claimWriting;

    if (answer.code == PlatformStatusCode::Ok && wrote) {
        this->beginFence(world, database, promotion.term, actions);
        return;
    }
    if (answer.code == PlatformStatusCode::Unavailable || answer.code == PlatformStatusCode::Unchanged) {
        // An update without answer may have taken effect: the object is read again. An unanswered read is left to
        // claimTimeout.
        if (wrote)
            this->readClaim(world, database, actions);
        return;
    }

    // The object as it is now.
    PromotionsObject object(answer.code == PlatformStatusCode::NotFound ? std::string_view{} : answer.value);
    const std::string &name = world.layout.at(database).name;
    const std::optional<PromotionRecord> record = object.find(name);
    if (record) {
        promotion.claimedTerm = std::max(promotion.claimedTerm, record->term);
        const bool own = record->promoter == world.selfName() && record->incarnation == world.incarnation;
        if (own && promotion.claimSequence != 0 && record->sequence == promotion.claimSequence
            && record->term == promotion.term && record->term > row.history.lastTerm()) {
            this->beginFence(world, database, promotion.term, actions);
            return;
        }
        const InstanceId promoter = world.layout.findInstance(record->promoter);
        const bool rival = record->term > row.history.lastTerm() && promoter.isValid() && promoter != world.self
                           && world.at(promoter).live;
        if (rival && promotion.rivalTerm != record->term) {
            promotion.rival = promoter;
            promotion.rivalTerm = record->term;
            promotion.rivalSince = world.now;
        }
        if (rival && world.now - promotion.rivalSince < patience(world)) {
            if (promotion.planned)
                this->pauseWrites(world, database, false, actions);
            promotion.step = PromotionStep::BackingOff;
            promotion.notBefore = world.now + options.retryDelay;
            logChange(world, database, row.primary, record->term, LogLevel::Info, "promotion-left-to-rival",
                      "claimed by " + record->promoter, actions);
            return;
        }
    }

    promotion.term = highestTerm(row) + 1;
    promotion.claimWriting = true;
    promotion.claimSentAt = world.now;
    promotion.claimVersion = answer.version;
    promotion.platformCall = world.takeNumber();
    promotion.claimSequence = promotion.platformCall;
    object.set({.database = name,
                .term = promotion.term,
                .promoter = world.selfName(),
                .incarnation = world.incarnation,
                .sequence = promotion.claimSequence});
    actions.emplace_back(CallPlatform{.call = {.call = promotion.platformCall,
                                               .operation = PlatformOperation::Put,
                                               .key = PromotionsObject::key(database, options.promotionsShardSize),
                                               .expectedVersion = promotion.claimVersion,
                                               .value = object.text()}});
    world.counters.add("jujubekeel_platform_calls_total{call=\"claim\"}");
}

void PromotionSystem::beginFence(World &world, DatabaseId database, std::uint64_t term, Actions &actions)
{
    PromotionState &promotion = world.at(database).promotion;
    promotion.term = term;
    promotion.step = PromotionStep::Fencing;
    promotion.stepStarted = world.now;
    promotion.platformCall = 0;
    if (usesLease(world.options.authority.policy) && promotion.leaseCall == 0)
        this->callLease(world, database, 0, false, actions);
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
                this->open(world, database, index, actions);
        } else if (member.open && member.serial == 0) {
            this->send(world, database, index, {.operation = BackendOperation::Fence, .term = promotion.term},
                       options.stepTimeout, actions);
            pending = true;
        } else if (member.open) {
            pending = true;
        }
    }

    const std::size_t available = promotion.members.size() - (promotion.excludePrimary ? 1 : 0);
    const Duration inStep = world.now - promotion.stepStarted;
    if (accepted < majority(row)) {
        if (available - refused < majority(row))
            this->fail(world, database, "fence refused", actions);
        else if (inStep > options.stepTimeout)
            this->fail(world, database, "no majority answered the fence", actions);
        return;
    }
    if (pending && inStep < fenceGrace)
        return;

    // The most up-to-date fenced server; then the planned candidate, one that is not leaving, the nearest.
    BackendId chosen;
    auto best = std::tuple(LogPosition{}, false, false, false);
    for (std::size_t index = 0; index < promotion.members.size(); ++index) {
        const PromotionMember &member = promotion.members[index];
        const BackendId backend = row.backends[index];
        if (member.fencedTerm != promotion.term || !member.open || !member.status
            || (promotion.excludePrimary && backend == row.primary))
            continue;
        const bool near = world.layout.at(backend).failureDomain == world.layout.at(world.self).failureDomain;
        const auto rank =
            std::tuple(member.status->received, backend == promotion.candidate, !world.at(backend).leaving, near);
        if (!chosen.isValid() || rank > best) {
            chosen = backend;
            best = rank;
        }
    }
    if (!chosen.isValid()) {
        this->fail(world, database, "fenced servers were lost", actions);
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

// Lease policies

void PromotionSystem::callLease(World &world, DatabaseId database, std::uint64_t expectedVersion, bool write,
                                Actions &actions)
{
    PromotionState &promotion = world.at(database).promotion;
    promotion.leaseCall = world.takeNumber();
    promotion.leaseWriting = write;
    promotion.leaseSentAt = world.now;
    PlatformCall call{.call = promotion.leaseCall,
                      .operation = write ? PlatformOperation::Put : PlatformOperation::Get,
                      .key = leaseKey(world.layout.at(database).name),
                      .expectedVersion = expectedVersion};
    if (write) {
        promotion.leaseSequence = promotion.leaseCall;
        call.value = formatLease({.term = promotion.term,
                                  .holder = world.selfName(),
                                  .incarnation = world.incarnation,
                                  .sequence = promotion.leaseSequence});
    }
    actions.emplace_back(CallPlatform{.call = std::move(call)});
    world.counters.add("jujubekeel_platform_calls_total{call=\"lease\"}");
}

void PromotionSystem::leaseAnswered(World &world, DatabaseId database, const PlatformAnswer &answer, Actions &actions)
{
    PromotionState &promotion = world.at(database).promotion;
    const bool active = promotion.step == PromotionStep::Fencing || promotion.step == PromotionStep::AwaitingLease;
    if (!active || answer.code == PlatformStatusCode::Unavailable || answer.code == PlatformStatusCode::Unchanged)
        return;
    if (answer.code == PlatformStatusCode::Ok && promotion.leaseWriting) {
        // From here on no lease of an older term is renewed; the last one ends within leaseDuration.
        promotion.leaseTaken = true;
        promotion.leaseTakenAt = world.now;
        return;
    }
    if (answer.code == PlatformStatusCode::NotFound) {
        promotion.leaseNeverHeld = true;
        this->callLease(world, database, 0, true, actions);
        return;
    }

    const std::optional<LeaseRecord> record = parseLease(answer.value);
    const bool own = record && record->holder == world.selfName() && record->incarnation == world.incarnation
                     && record->sequence == promotion.leaseSequence && promotion.leaseSequence != 0;
    if (own) {
        // An update whose answer was lost, or that of an earlier attempt, still holds.
        if (!promotion.leaseTaken) {
            promotion.leaseTaken = true;
            promotion.leaseTakenAt = world.now;
        }
        return;
    }
    promotion.leaseNeverHeld = false;
    promotion.leaseTaken = false;
    this->callLease(world, database, answer.version, true, actions);
}

void PromotionSystem::tickAwaitingLease(World &world, DatabaseId database, Actions &actions)
{
    const AuthorityOptions &options = world.options.authority;
    PromotionState &promotion = world.at(database).promotion;

    // Servers drop silent control connections, and the wait is longer than they allow.
    for (std::size_t index = 0; index < promotion.members.size(); ++index)
        this->probe(world, database, index, false, world.options.ownership.pingInterval, actions);

    if (promotion.leaseTaken) {
        // A twentieth more covers clocks of different speed.
        const TimePoint over = promotion.leaseTakenAt + options.leaseDuration + options.leaseDuration / 20;
        if (promotion.leaseNeverHeld || world.now >= over)
            this->promote(world, database, actions);
        return;
    }
    if (promotion.leaseCall != 0 && world.now - promotion.leaseSentAt <= options.claimTimeout)
        return;
    if (world.now - promotion.stepStarted > 2 * options.leaseDuration)
        this->fail(world, database, "the lease could not be taken", actions);
    else
        this->callLease(world, database, 0, false, actions);
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
        return; // a status request is under way; the next tick tries again
    promotion.step = PromotionStep::Promoting;
    promotion.stepStarted = world.now;
    this->send(world, database, index, {.operation = BackendOperation::Promote, .term = promotion.term},
               world.options.authority.stepTimeout, actions);
}

void PromotionSystem::finish(World &world, DatabaseId database, const ServerStatus &status, Actions &actions)
{
    DatabaseRow &row = world.at(database);
    PromotionState &promotion = row.promotion;
    const BackendId primary = promotion.candidate;
    const PromotionNotice notice{.database = database, .primary = primary, .start = status.history.starts().back()};
    this->monitor.observePromotion(world, notice);
    sendToLivePeers(world, notice, actions);

    // The others replicate from the new primary from now on.
    for (std::size_t index = 0; index < promotion.members.size(); ++index)
        promotion.members[index].followWanted = row.backends[index] != primary;

    promotion.step = PromotionStep::Idle;
    promotion.planned = false;
    promotion.failures = 0;
    promotion.retryDelay = Duration{0};
    promotion.suspectSince = TimePoint{0};
    promotion.cutOffSince = TimePoint{0};
    promotion.fenceLeftSince = TimePoint{0};
    promotion.leaseTaken = false;
    promotion.leaseNeverHeld = false;
    world.counters.add("jujubekeel_promotions_finished_total");
    logChange(world, database, primary, notice.start.term, LogLevel::Info, "promotion-finished", "", actions);
    this->watch(world, database, actions);
}

void PromotionSystem::fail(World &world, DatabaseId database, const std::string &reason, Actions &actions)
{
    const AuthorityOptions &options = world.options.authority;
    DatabaseRow &row = world.at(database);
    PromotionState &promotion = row.promotion;
    if (promotion.planned)
        this->pauseWrites(world, database, false, actions);
    promotion.failures += 1;
    promotion.retryDelay = std::clamp(promotion.retryDelay * 2, options.retryDelay, options.maxRetryDelay);
    // Two promoters that refuse each other's fences must not retry in step. The spread depends on name and term, because
    // the library has no random source.
    const std::uint64_t spread = rendezvousScore(world.selfName(), std::to_string(promotion.term)) % 1000;
    promotion.notBefore = world.now + promotion.retryDelay + promotion.retryDelay * spread / 1000;
    if (promotion.planned)
        promotion.notBefore = std::max(promotion.notBefore, world.now + options.promotionHoldOff);
    promotion.planned = false;
    promotion.step = PromotionStep::BackingOff;
    world.counters.add("jujubekeel_promotions_failed_total");
    logChange(world, database, promotion.candidate, promotion.term, LogLevel::Warning, "promotion-failed", reason,
              actions);
}

// Pause of writes at the owner of the primary

void PromotionSystem::handle(World &world, InstanceId from, const WritePause &pause, Actions &actions)
{
    DatabaseRow &row = world.at(pause.database);
    const bool owned = row.primary.isValid() && world.at(row.primary).ownership.step == OwnershipStep::Owned;
    if (!owned || pause.term != row.history.lastTerm())
        return;
    if (row.writesPaused != pause.paused)
        logChange(world, pause.database, row.primary, pause.term, LogLevel::Info,
                  pause.paused ? "writes-paused" : "writes-resumed", "", actions);
    row.writesPaused = pause.paused;
    row.writesPausedUntil = world.now + pause.lasting;
    row.writesPausedTerm = pause.term;
    row.writesPausedBy = from;
    row.writesDrained = false;
    this->tickPause(world, pause.database, actions);
}

void PromotionSystem::tickPause(World &world, DatabaseId database, Actions &actions)
{
    DatabaseRow &row = world.at(database);
    if (!row.writesPaused)
        return;
    if (world.now > row.writesPausedUntil || row.history.lastTerm() != row.writesPausedTerm) {
        row.writesPaused = false;
        logChange(world, database, row.primary, row.history.lastTerm(), LogLevel::Info, "writes-resumed", "", actions);
        return;
    }
    if (row.writesDrained || isWriting(world, row.primary))
        return;
    row.writesDrained = true;
    const BackendRow &primary = world.at(row.primary);
    sendToPeer(world, row.writesPausedBy,
               WritesDrained{.database = database,
                             .term = row.writesPausedTerm,
                             .position = std::max(primary.applied, primary.received)},
               actions);
}

void PromotionSystem::handle(World &world, InstanceId, const WritesDrained &drained, Actions &)
{
    DatabaseRow &row = world.at(drained.database);
    PromotionState &promotion = row.promotion;
    if (promotion.step != PromotionStep::CatchingUp || drained.term != row.history.lastTerm() || promotion.drained)
        return;
    promotion.drained = true;
    promotion.drainedAt = drained.position;
    // Statuses from before this moment don't count.
    promotion.stepStarted = world.now;
}

} // namespace Jujubekeel
