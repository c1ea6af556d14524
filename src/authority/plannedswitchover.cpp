#include "authority/plannedswitchover.h"

#include "authority/promotionrules.h"
#include "core/sendtopeer.h"
#include "core/world.h"

#include <algorithm>
#include <tuple>

namespace Jujubekeel {

namespace {

/// Time between two status requests while the candidate of a planned switchover catches up and writes are paused.
constexpr Duration catchUpInterval = std::chrono::milliseconds(20);

/// A pause of writes ends after this time unless the coordinator renews it.
constexpr Duration pauseDuration = std::chrono::seconds(1);
constexpr Duration pauseRenewalInterval = std::chrono::milliseconds(100);

/// A planned switchover starts only if its candidate lags by at most this many log entries, because writes would wait
/// too long for a replica that is further behind.
constexpr std::uint64_t maxCandidateLag = 1000;

/// True if a write statement, a commit or a transaction is in progress at the server.
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

} // namespace

// Coordinator

bool PlannedSwitchover::start(World &world, DatabaseId database, Actions &actions)
{
    const AuthorityOptions &options = world.options.authority;
    DatabaseRow &row = world.at(database);
    PromotionState &promotion = row.promotion;
    const BackendRow &primary = world.at(row.primary);
    // A server that refuses the known term may belong to a promotion in progress, which gets time to finish.
    const bool refused = promotion.refusedTerm > row.history.lastTerm()
                         && world.now - promotion.refusedSince > 2 * rivalPromotionTimeout(world);
    if (!primary.leaving && !refused)
        return false;
    if (row.backends.size() < 2 || world.now - row.lastPromotion < options.promotionHoldOff)
        return false;

    // Prefers the replica with the longest log, then one in this instance's failure domain. If only the term is
    // renewed, the primary itself is the candidate.
    BackendId candidate = primary.leaving ? BackendId{} : row.primary;
    if (primary.leaving) {
        auto best = std::tuple(LogPosition{}, false);
        for (const BackendId backend : row.backends) {
            const BackendRow &server = world.at(backend);
            if (backend == row.primary || server.leaving || !hasLiveOwner(world, server)
                || server.history.lastTerm() != row.history.lastTerm()
                || server.received.position + maxCandidateLag < primary.confirmedEnd.position)
                continue;
            const bool inOwnDomain =
                world.layout.at(backend).failureDomain == world.layout.at(world.self).failureDomain;
            const auto rank = std::tuple(server.received, inOwnDomain);
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
    logPromotionChange(world, database, candidate, row.history.lastTerm(), LogLevel::Info, "switchover-started",
                       primary.leaving ? "primary is leaving" : "a server refuses the known term", actions);
    this->pauseWrites(world, database, true, actions);
    return true;
}

void PlannedSwitchover::pauseWrites(World &world, DatabaseId database, bool paused, Actions &actions)
{
    DatabaseRow &row = world.at(database);
    row.promotion.nextPause = world.now + pauseRenewalInterval;
    if (!row.primary.isValid() || !world.at(row.primary).owner.isValid())
        return;
    sendToPeer(world, world.at(row.primary).owner,
               WritePause{.database = database,
                          .term = row.history.lastTerm(),
                          .paused = paused,
                          .duration = paused ? pauseDuration : Duration{0}},
               actions);
}

PlannedSwitchover::Progress PlannedSwitchover::tickCatchingUp(World &world, DatabaseId database, Actions &actions)
{
    DatabaseRow &row = world.at(database);
    PromotionState &promotion = row.promotion;
    const std::size_t primaryIndex = memberIndex(row, row.primary);
    const std::size_t candidateIndex = memberIndex(row, promotion.candidate);
    for (std::size_t index = 0; index < promotion.members.size(); ++index)
        this->connections.probe(world, database, index, false, catchUpInterval, actions);

    // The candidate must hold everything that the primary held when the last write had ended.
    const PromotionMember &primary = promotion.members[primaryIndex];
    const PromotionMember &candidate = promotion.members[candidateIndex];
    const bool complete =
        isFresh(world, primary) && isFresh(world, candidate) && candidate.status->received >= primary.status->received;
    if (promotion.drained && complete && candidate.status->received >= promotion.drainedPosition
        && primary.sentAt >= promotion.stepStarted) {
        return Progress::Complete;
    }

    // Transactions that are still open when the pause ends are lost with the old primary; they have committed nothing.
    if (world.now - promotion.pauseStarted > world.options.drain.plannedChangeWait)
        return complete ? Progress::Complete : Progress::TimedOut;
    return Progress::CatchingUp;
}

void PlannedSwitchover::handle(World &world, const WritesDrained &drained)
{
    DatabaseRow &row = world.at(drained.database);
    PromotionState &promotion = row.promotion;
    if (promotion.step != PromotionStep::CatchingUp || drained.term != row.history.lastTerm() || promotion.drained)
        return;
    promotion.drained = true;
    promotion.drainedPosition = drained.position;
    // Only statuses requested from now on count.
    promotion.stepStarted = world.now;
}

// Pause of writes at the owner of the primary

void PlannedSwitchover::handle(World &world, InstanceId from, const WritePause &pause, Actions &actions)
{
    DatabaseRow &row = world.at(pause.database);
    const bool owned = row.primary.isValid() && world.at(row.primary).ownership.step == OwnershipStep::Owned;
    if (!owned || pause.term != row.history.lastTerm())
        return;
    if (row.writesPaused != pause.paused)
        logPromotionChange(world, pause.database, row.primary, pause.term, LogLevel::Info,
                           pause.paused ? "writes-paused" : "writes-resumed", "", actions);
    row.writesPaused = pause.paused;
    row.writesPausedUntil = world.now + pause.duration;
    row.writesPausedTerm = pause.term;
    row.writesPausedBy = from;
    row.writesDrained = false;
    this->tickPause(world, pause.database, actions);
}

void PlannedSwitchover::tickPause(World &world, DatabaseId database, Actions &actions)
{
    DatabaseRow &row = world.at(database);
    if (!row.writesPaused)
        return;
    if (world.now > row.writesPausedUntil || row.history.lastTerm() != row.writesPausedTerm) {
        row.writesPaused = false;
        logPromotionChange(world, database, row.primary, row.history.lastTerm(), LogLevel::Info, "writes-resumed", "",
                           actions);
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

} // namespace Jujubekeel
