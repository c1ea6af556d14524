#include "authority/failuredetector.h"

#include "authority/promotionrules.h"
#include "authority/writeauthoritypolicy.h"
#include "core/world.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace Jujubekeel {

namespace {

/// A server that has been reported under an older term for longer than this is inspected, and instructed to follow the
/// primary if necessary.
constexpr Duration repairAfter = std::chrono::milliseconds(300);
/// Minimum time between two inspections of the same server.
constexpr Duration repairInterval = std::chrono::seconds(1);

} // namespace

FailureDetector::Finding FailureDetector::watch(World &world, DatabaseId database, Actions &actions)
{
    const AuthorityOptions &options = world.options.authority;
    DatabaseRow &row = world.at(database);
    PromotionState &promotion = row.promotion;
    const bool known = row.primary.isValid();
    const BackendRow *primary = known ? &world.at(row.primary) : nullptr;
    const bool replicated = row.backends.size() > 1;

    // The primary is suspect if its owner is unknown, not live or silent, or if the group has confirmed nothing for a
    // third of cutOffAfter. An unknown primary is suspect after suspectAfter of coordination by this instance.
    const bool owned = known && hasLiveOwner(world, *primary);
    const bool ownerHeard = owned && world.now - primary->ownerReportedAt <= options.suspectAfter;
    const Duration unconfirmedFor = known ? world.now - primary->confirmedEndAsOf : Duration{0};
    const bool suspect = known ? !ownerHeard || (replicated && unconfirmedFor > options.cutOffAfter / 3)
                               : world.now - promotion.coordinatorSince > options.suspectAfter;
    const std::size_t primaryIndex = known ? memberIndex(row, row.primary) : row.backends.size();
    const bool answersDirectly = known && promotion.members[primaryIndex].answeredAt != TimePoint{0}
                                 && world.now - promotion.members[primaryIndex].answeredAt <= options.suspectAfter;
    if (!ownerHeard && !answersDirectly)
        promotion.primaryReachableSince = TimePoint{0};
    else if (promotion.primaryReachableSince == TimePoint{0})
        promotion.primaryReachableSince = world.now;
    if (!suspect) {
        promotion.suspectSince = TimePoint{0};
        promotion.cutOffSince = TimePoint{0};
        promotion.unfinishedFenceSince = TimePoint{0};
    } else if (promotion.suspectSince == TimePoint{0}) {
        promotion.suspectSince = world.now;
        for (PromotionMember &member : promotion.members) {
            member.failedAt = TimePoint{0};
            member.unconfirmedAt = TimePoint{0};
        }
    }

    // Short-lived control connections go to the whole group while the primary is suspect, otherwise only to servers
    // that are inspected or must be instructed to follow the primary.
    for (std::size_t index = 0; index < promotion.members.size(); ++index) {
        PromotionMember &member = promotion.members[index];
        if (member.followPending && known && member.open && member.serial == 0) {
            BackendRequest request{.operation = BackendOperation::Follow,
                                   .term = row.history.lastTerm(),
                                   .primary = world.layout.at(row.primary).name};
            this->connections.send(world, database, index, std::move(request), options.stepTimeout, actions);
        } else if (suspect) {
            this->connections.probe(world, database, index, index == primaryIndex && replicated,
                                    MemberConnections::probeInterval, actions);
        } else if (member.statusRequested || (member.followPending && !member.connection.isValid())) {
            // A server that cannot be reached is inspected again once an owner reports it.
            if (member.failedAt != TimePoint{0} && world.now < member.notBefore) {
                member.statusRequested = false;
                member.followPending = false;
            } else {
                this->connections.probe(world, database, index, false, MemberConnections::probeInterval, actions);
            }
        } else if (!member.followPending && member.serial == 0) {
            this->connections.close(world, member, actions);
        }
    }
    if (!suspect)
        return {};

    // Evaluates the recent statuses of the servers.
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
        promotion.unfinishedFenceSince = TimePoint{0};
    else if (promotion.unfinishedFenceSince == TimePoint{0})
        promotion.unfinishedFenceSince = world.now;
    if (promotion.step != PromotionStep::Idle || world.now < promotion.notBefore)
        return {.suspect = true};

    // A promotion was interrupted after the fence and before the announcement.
    if (promotion.unfinishedFenceSince != TimePoint{0}
        && world.now - promotion.unfinishedFenceSince > rivalPromotionTimeout(world))
        return {.suspect = true, .reason = "a majority is fenced above the known term"};
    if (!known || !replicated)
        return {.suspect = true};

    // The primary has failed: neither its owner nor this instance receives answers from it, and its replicas receive
    // nothing. The hold-off applies unless its address refuses connections.
    const PromotionMember &primaryMember = promotion.members[primaryIndex];
    const bool refused = primaryMember.failedAt != TimePoint{0};
    const TimePoint ownerHeardAt = ownerHeard ? primary->ownerReportedAt : TimePoint{0};
    const TimePoint answeredAt = refused ? TimePoint{0} : primaryMember.answeredAt;
    const bool answers = answeredAt != TimePoint{0} && world.now - answeredAt <= options.suspectAfter;
    const bool seen = ownerHeard || answers;
    const bool probed = world.now - promotion.suspectSince >= MemberConnections::probeInterval;
    const TimePoint lastSeen =
        std::max({primary->confirmedEndAsOf, promotion.primaryReachableSince, ownerHeardAt, answeredAt});
    const bool unheard = refused || (probed && world.now - lastSeen > options.suspectAfter);
    const bool inHoldOff = world.now - row.lastPromotion < options.promotionHoldOff;
    if (!seen && unheard && silent >= requiredSilentReplicas(row) && freshReplicas >= majority(row)
        && (refused || !inHoldOff)) {
        return {.suspect = true,
                .reason = refused ? "primary refuses connections" : "primary is silent",
                .excludePrimary = true};
    }

    // Under a lease-only policy the primary acknowledges writes without its replicas, so it is not replaced while it
    // answers.
    if (!usesConfirmation(options.policy))
        return {.suspect = true};

    // The primary is cut off: it answers, but the group confirms nothing. Only the time since it was first seen counts.
    if (!seen || unconfirmedFor <= options.cutOffAfter / 3) {
        promotion.cutOffSince = TimePoint{0};
        return {.suspect = true};
    }
    promotion.cutOffSince = std::max(
        {primary->confirmedEndAsOf, promotion.primaryReachableSince, promotion.coordinatorSince, row.lastPromotion});
    const bool unconfirmed = !primaryMember.open || primaryMember.unconfirmedAt != TimePoint{0};
    if (world.now - promotion.cutOffSince > options.cutOffAfter && unconfirmed && freshReplicas >= majority(row)
        && !inHoldOff)
        return {.suspect = true, .reason = "primary is cut off from its replicas", .excludePrimary = true};
    return {.suspect = true};
}

void FailureDetector::inspectLagging(World &world, DatabaseId database)
{
    // Servers that returned under an older term, or whose log stopped growing, are inspected: their status is
    // requested, and they are instructed to follow the primary if necessary.
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
        if (server.received >= primary.confirmedEnd) {
            member.progressAt = TimePoint{0};
        } else if (member.progressAt == TimePoint{0} || server.received != member.lastReportedEnd) {
            member.progressAt = world.now;
            member.lastReportedEnd = server.received;
        }
        const bool behind = member.behindSince != TimePoint{0} && world.now - member.behindSince > repairAfter;
        const bool stuck = member.progressAt != TimePoint{0} && world.now - member.progressAt > options.cutOffAfter;
        if ((behind || stuck) && world.now >= member.nextRepair) {
            member.statusRequested = true;
            member.nextRepair = world.now + repairInterval;
        }
    }
}

} // namespace Jujubekeel
