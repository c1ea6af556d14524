#include "leadership/candidatechoice.h"

#include <algorithm>
#include <tuple>

namespace Jujubekeel {

namespace {

/// Calls itself primary of the newest term, without a record of its promotion, while a server that has not answered or is
/// not listed may lead a newer one. The platform does not promote the present primary again, so that its term would not
/// rise. Its replicas receive what it holds, and one of them can be chosen.
bool leadsWithoutRecord(std::span<const CandidateState> candidates, const CandidateState &candidate,
                        const CandidateConditions &conditions)
{
    if (!candidate.isFound)
        return candidate.isStalePrimary && !candidate.isOutdated;
    const auto hasAnswered = [](const CandidateState &other) { return other.status.has_value(); };
    return conditions.unlisted > 0 || !std::all_of(candidates.begin(), candidates.end(), hasAnswered);
}

/// Proof that \a candidate, which has answered, holds every acknowledged commit; None if there is none.
ChoiceProof findProof(std::span<const CandidateState> candidates, const CandidateState &candidate,
                      const CandidateConditions &conditions)
{
    if (leadsWithoutRecord(candidates, candidate, conditions))
        return ChoiceProof::None;
    if (candidate.hasTakenOver)
        return ChoiceProof::TakenOver;
    const LogPosition received = candidate.status->received;
    if (conditions.seenByAll && conditions.seen != LogPosition{} && received >= conditions.seen)
        return ChoiceProof::LogEnd;
    // Of any set of servers that leaves out fewer than those that hold each acknowledged commit one holds it.
    const std::uint32_t holders = conditions.syncReplicas + (conditions.countsPrimary ? 1 : 0);
    std::size_t answered = 0;
    for (const CandidateState &other : candidates) {
        if (!other.status)
            continue;
        answered += 1;
        if (other.status->received > received)
            return ChoiceProof::None;
    }
    const bool areEnough = answered + holders > candidates.size() + conditions.unlisted;
    return areEnough ? ChoiceProof::Answers : ChoiceProof::None;
}

template <typename Rank>
const CandidateState *findBest(std::span<const CandidateState> candidates, bool withDraining, Rank rank)
{
    const CandidateState *best = nullptr;
    for (const CandidateState &candidate : candidates) {
        const bool eligible = candidate.status && (withDraining || !candidate.isDraining);
        if (eligible && (best == nullptr || rank(*best) < rank(candidate)))
            best = &candidate;
    }
    return best;
}

/// With synchronous replicas.
CandidateChoice chooseSafeCandidate(std::span<const CandidateState> candidates, const CandidateConditions &conditions)
{
    const auto rank = [&](const CandidateState &candidate) {
        const bool isEligible = !leadsWithoutRecord(candidates, candidate, conditions);
        return std::tuple(isEligible, candidate.hasTakenOver, candidate.status->received);
    };
    // A draining server may be the only one that holds all commits.
    for (const bool withDraining : {false, true}) {
        const CandidateState *best = findBest(candidates, withDraining, rank);
        const ChoiceProof proof = best == nullptr ? ChoiceProof::None : findProof(candidates, *best, conditions);
        if (proof != ChoiceProof::None)
            return {.candidate = best, .proof = proof};
    }
    return {};
}

bool lacksNewestTerm(const CandidateState &candidate)
{
    return candidate.isStalePrimary || candidate.isOutdated;
}

/// Whether an answer that is missing may lead to a better choice than \a best, without synchronous replicas.
bool mustWait(std::span<const CandidateState> candidates, const CandidateState &best,
              const CandidateConditions &conditions)
{
    const auto isSilent = [](const CandidateState &candidate) { return !candidate.status && !candidate.isDraining; };
    const auto anyOf = [&](const auto &condition) {
        return std::any_of(candidates.begin(), candidates.end(), condition);
    };
    if (best.hasTakenOver)
        return conditions.waited < conditions.statusWait
               && anyOf([&](const CandidateState &other) { return isSilent(other) && !other.isRefused; });
    // A choice would give up what others have committed since. Servers that have ended are no longer listed after a
    // while.
    if (lacksNewestTerm(best)) {
        const bool isAbsenceFinal =
            conditions.waited >= conditions.evidenceWait && conditions.elapsed >= conditions.absentWait;
        return anyOf([&](const CandidateState &other) {
            const bool isExpected = !other.isUnreachable && !other.isRefused;
            return !other.status && (isExpected || !isAbsenceFinal);
        });
    }
    if (conditions.waited < conditions.statusWait)
        return anyOf([&](const CandidateState &other) { return isSilent(other) && !other.isRefused; });
    if (conditions.waited >= conditions.evidenceWait)
        return false;
    const LogPosition received = best.status->received;
    return anyOf([&](const CandidateState &other) {
        const bool mayHoldMore = other.applied > received || conditions.seen > received || best.isDraining;
        return isSilent(other) && !other.isRefused && !other.isUnreachable && mayHoldMore;
    });
}

} // namespace

std::string_view toText(ChoiceProof proof)
{
    switch (proof) {
    case ChoiceProof::None:
        return "none";
    case ChoiceProof::TakenOver:
        return "taken-over";
    case ChoiceProof::CaughtUp:
        return "caught-up";
    case ChoiceProof::LogEnd:
        return "log-end";
    case ChoiceProof::Answers:
        return "answers";
    }
    return {};
}

const CandidateState *bestCandidate(std::span<const CandidateState> candidates, bool withDraining)
{
    return findBest(candidates, withDraining, [](const CandidateState &candidate) {
        // The log with the later last entry wins. Of logs that end in one term, that of the server which follows the
        // later primary contains nothing that was rolled back.
        const ReplicationStatus &status = *candidate.status;
        return std::tuple(candidate.hasTakenOver, !candidate.isStalePrimary, status.received.term, status.term,
                          status.received.position);
    });
}

CandidateChoice chooseCandidate(std::span<const CandidateState> candidates, const CandidateConditions &conditions)
{
    if (conditions.syncReplicas > 0)
        return chooseSafeCandidate(candidates, conditions);
    const CandidateState *best = bestCandidate(candidates, false);
    // A server that leaves is better than one that lacks what was committed in the newest term.
    if (best == nullptr || lacksNewestTerm(*best)) {
        const CandidateState *any = bestCandidate(candidates, true);
        best = any != nullptr && (best == nullptr || !lacksNewestTerm(*any)) ? any : best;
    }
    if (best == nullptr || mustWait(candidates, *best, conditions))
        return {};
    return {.candidate = best, .proof = best->hasTakenOver ? ChoiceProof::TakenOver : ChoiceProof::None};
}

CandidateChoice findCaughtUpCandidate(std::span<const CandidateState> candidates, const ReplicationStatus &primary)
{
    // A log may be longer than the primary's because it was not rolled back yet.
    const auto hasCaughtUp = [&](const CandidateState &candidate) {
        if (!candidate.status || candidate.isDraining || candidate.isStalePrimary)
            return false;
        const LogPosition received = candidate.status->received;
        return received == primary.received || (candidate.status->term >= primary.term && received > primary.received);
    };
    const auto found = std::find_if(candidates.begin(), candidates.end(), hasCaughtUp);
    return found == candidates.end() ? CandidateChoice{}
                                     : CandidateChoice{.candidate = &*found, .proof = ChoiceProof::CaughtUp};
}

} // namespace Jujubekeel
