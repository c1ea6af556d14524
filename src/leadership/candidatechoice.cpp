#include "leadership/candidatechoice.h"

#include <algorithm>
#include <tuple>

namespace Jujubekeel {

namespace {

bool holdsAllCommits(std::span<const CandidateState> candidates, const CandidateState &best,
                     const CandidateConditions &conditions)
{
    if (best.hasTakenOver)
        return true;
    if (best.isStalePrimary)
        return false;
    const LogPosition received = best.status->received;
    if (conditions.seenByAll && conditions.seen != LogPosition{} && received >= conditions.seen)
        return true;
    // Of any set of servers that leaves out fewer than the synchronous replicas one holds each acknowledged commit.
    std::size_t answered = 0;
    for (const CandidateState &candidate : candidates) {
        if (!candidate.status)
            continue;
        answered += 1;
        if (!candidate.isStalePrimary && candidate.status->received > received)
            return false;
    }
    return answered + conditions.syncReplicas > candidates.size() + conditions.departed;
}

} // namespace

const CandidateState *bestCandidate(std::span<const CandidateState> candidates, bool withDraining)
{
    const auto rank = [](const CandidateState &candidate) {
        return std::tuple(candidate.hasTakenOver, !candidate.isStalePrimary, candidate.status->received);
    };
    const CandidateState *best = nullptr;
    for (const CandidateState &candidate : candidates) {
        const bool eligible = candidate.status && (withDraining || !candidate.isDraining);
        if (eligible && (best == nullptr || rank(*best) < rank(candidate)))
            best = &candidate;
    }
    return best;
}

const CandidateState *chooseCandidate(std::span<const CandidateState> candidates, const CandidateConditions &conditions)
{
    const CandidateState *best = bestCandidate(candidates, false);
    if (conditions.syncReplicas > 0) {
        if (best != nullptr && holdsAllCommits(candidates, *best, conditions))
            return best;
        // A draining server may be the only one that holds all commits.
        best = bestCandidate(candidates, true);
        return best != nullptr && holdsAllCommits(candidates, *best, conditions) ? best : nullptr;
    }
    if (best == nullptr)
        return nullptr;
    const auto isAwaited = [](const CandidateState &candidate) { return !candidate.status && !candidate.isDraining; };
    if (std::none_of(candidates.begin(), candidates.end(), isAwaited))
        return best;
    if (conditions.waited < conditions.statusWait)
        return nullptr;
    const LogPosition received = best->status->received;
    const bool maySaveCommits = std::any_of(candidates.begin(), candidates.end(), [&](const CandidateState &candidate) {
        const bool mayHoldMore = candidate.applied > received || conditions.seen > received;
        return isAwaited(candidate) && !candidate.isUnreachable && mayHoldMore;
    });
    const bool waits = maySaveCommits && !best->hasTakenOver && conditions.waited < conditions.evidenceWait;
    return waits ? nullptr : best;
}

} // namespace Jujubekeel
