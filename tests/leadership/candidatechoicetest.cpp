#include "leadership/candidatechoice.h"

#include <gtest/gtest.h>

#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <vector>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;

LogPosition at(std::uint64_t position)
{
    return LogPosition{.term = 3, .position = position};
}

CandidateState answered(const std::string &id, std::uint64_t received)
{
    return CandidateState{.id = id, .status = ReplicationStatus{.term = 3, .received = at(received)}};
}

CandidateState silent(const std::string &id)
{
    return CandidateState{.id = id};
}

CandidateConditions conditions(std::uint32_t syncReplicas, Duration waited)
{
    return CandidateConditions{.syncReplicas = syncReplicas,
                               .waited = waited,
                               .elapsed = waited,
                               .statusWait = milliseconds(350),
                               .evidenceWait = milliseconds(1500),
                               .absentWait = milliseconds(4000)};
}

std::string chosen(const std::vector<CandidateState> &candidates, const CandidateConditions &given)
{
    const CandidateState *best = chooseCandidate(candidates, given).candidate;
    return best == nullptr ? "" : best->id;
}

// Guards against a choice that a server without an answer could contradict.
TEST(CandidateChoice, SynchronousReplicaIsAwaitedWithoutABound)
{
    EXPECT_EQ(chosen({answered("a", 5), silent("b")}, conditions(1, std::chrono::hours(1))), "");
    EXPECT_EQ(chosen({answered("a", 5), answered("b", 9)}, conditions(1, milliseconds(0))), "b");
    // Of three replicas two that have received each commit leave one that may be missing.
    EXPECT_EQ(chosen({answered("a", 5), answered("b", 9), silent("c")}, conditions(2, milliseconds(0))), "b");
}

// Guards against servers without a directory entry being forgotten although they may hold what the others lack.
TEST(CandidateChoice, UnlistedServerCountsAsMissing)
{
    CandidateConditions given = conditions(1, milliseconds(0));
    given.unlisted = 1;
    EXPECT_EQ(chosen({answered("a", 5)}, given), "");
    given.seen = at(5);
    EXPECT_EQ(chosen({answered("a", 5)}, given), "");
    given.seenByAll = true;
    EXPECT_EQ(chosen({answered("a", 5)}, given), "a");
}

// Guards against a service without a primary for as long as the unknown old one is away, although fewer servers than hold
// each commit are left out.
TEST(CandidateChoice, UnknownPrimaryIsOneOfThoseThatHoldACommit)
{
    CandidateConditions given = conditions(1, milliseconds(0));
    given.unlisted = 1;
    EXPECT_EQ(chosen({answered("a", 5), answered("b", 9)}, given), "");
    given.countsPrimary = true;
    EXPECT_EQ(chosen({answered("a", 5), answered("b", 9)}, given), "b");
    given.unlisted = 2;
    EXPECT_EQ(chosen({answered("a", 5), answered("b", 9)}, given), "");
}

// Guards against a leaving server being promoted where another one will do, and against commits being lost with it.
TEST(CandidateChoice, DrainingServerIsChosenOnlyForItsCommits)
{
    CandidateState draining = answered("d", 9);
    draining.isDraining = true;
    EXPECT_EQ(chosen({answered("a", 9), draining}, conditions(1, milliseconds(0))), "a");
    EXPECT_EQ(chosen({answered("a", 5), draining}, conditions(1, milliseconds(0))), "d");
    EXPECT_EQ(chosen({answered("a", 5), draining}, conditions(0, milliseconds(0))), "a");
}

// Guards against waiting without synchronous replicas for longer than there is something to gain.
TEST(CandidateChoice, WaitWithoutSynchronousReplicasIsBounded)
{
    CandidateState behindLoad = silent("b");
    EXPECT_EQ(chosen({answered("a", 5), behindLoad}, conditions(0, milliseconds(349))), "");
    EXPECT_EQ(chosen({answered("a", 5), behindLoad}, conditions(0, milliseconds(350))), "a");
    behindLoad.applied = at(6);
    EXPECT_EQ(chosen({answered("a", 5), behindLoad}, conditions(0, milliseconds(1499))), "");
    EXPECT_EQ(chosen({answered("a", 5), behindLoad}, conditions(0, milliseconds(1500))), "a");
    behindLoad.isUnreachable = true;
    EXPECT_EQ(chosen({answered("a", 5), behindLoad}, conditions(0, milliseconds(350))), "a");
}

// Guards against the role of a server being taken for a statement about its log: a former primary that has not learned of
// its replacement holds what was acknowledged, and the only other server lacks it (review case 12).
TEST(CandidateChoice, FormerPrimaryWithTheLatestLogIsChosen)
{
    CandidateState former = answered("f", 50);
    former.isStalePrimary = true;
    former.isOutdated = true;
    EXPECT_EQ(chosen({answered("a", 5), former}, conditions(1, milliseconds(0))), "f");
    EXPECT_EQ(chosen({silent("a"), former}, conditions(1, std::chrono::hours(1))), "");
    EXPECT_EQ(chosen({answered("a", 5), silent("f")}, conditions(1, std::chrono::hours(1))), "");
}

// Guards against the longer log of a former primary being preferred to one that has received a commit of its successor.
TEST(CandidateChoice, FormerPrimaryThatLacksALaterTermIsNotChosen)
{
    CandidateState former = answered("f", 50);
    former.isStalePrimary = true;
    former.isOutdated = true;
    CandidateState later = answered("a", 9);
    later.status->term = 4;
    later.status->received.term = 4;
    EXPECT_EQ(chosen({later, former}, conditions(1, milliseconds(0))), "a");
    CandidateConditions given = conditions(1, milliseconds(0));
    given.seen = later.status->received;
    given.seenByAll = true;
    EXPECT_EQ(chosen({silent("a"), former}, given), "");
    // The successor has committed nothing of its own, so that the end of its log is one of the former primary's.
    given.seen = at(50);
    EXPECT_EQ(chosen({silent("a"), former}, given), "f");
}

// Guards against a replacement without end: the platform does not promote its present primary again, so that a server that
// leads the newest term, but whose promotion no record names, never takes over.
TEST(CandidateChoice, PresentPrimaryWithoutARecordIsNotPromotedAgain)
{
    CandidateState present = answered("p", 50);
    present.isStalePrimary = true;
    EXPECT_EQ(chosen({present}, conditions(1, milliseconds(0))), "");
    EXPECT_EQ(chosen({answered("a", 5), present}, conditions(1, milliseconds(0))), "") << "it may hold more than a";
    EXPECT_EQ(chosen({answered("a", 50), present}, conditions(1, milliseconds(0))), "a");
}

// Guards against a former primary that is taken for the present one because its successor does not answer, or is not listed.
TEST(CandidateChoice, FoundPrimaryNeedsAllAnswers)
{
    CandidateState found = answered("p", 50);
    found.hasTakenOver = true;
    found.isFound = true;
    CandidateConditions given = conditions(1, std::chrono::hours(1));
    EXPECT_EQ(chosen({found, answered("a", 5)}, given), "p");
    EXPECT_EQ(chosen({found, answered("a", 5), silent("c")}, given), "");
    EXPECT_EQ(chosen({found, silent("c")}, given), "");
    given.unlisted = 1;
    EXPECT_EQ(chosen({found, answered("a", 5)}, given), "");
    // A recorded candidate has taken over whoever answers.
    found.isFound = false;
    EXPECT_EQ(chosen({found, silent("c")}, given), "p");
}

// Guards against a choice that cannot be explained afterwards: the result names its proof.
TEST(CandidateChoice, ResultNamesItsProof)
{
    const auto proof = [](const std::vector<CandidateState> &candidates, const CandidateConditions &given) {
        return chooseCandidate(candidates, given).proof;
    };
    CandidateConditions given = conditions(1, milliseconds(0));
    EXPECT_EQ(proof({answered("a", 5), answered("b", 9)}, given), ChoiceProof::Answers);
    EXPECT_EQ(proof({answered("a", 5), silent("b")}, given), ChoiceProof::None);
    given.seen = at(5);
    given.seenByAll = true;
    EXPECT_EQ(proof({answered("a", 5), silent("b")}, given), ChoiceProof::LogEnd);
    CandidateState promoted = answered("a", 5);
    promoted.hasTakenOver = true;
    EXPECT_EQ(proof({promoted, silent("b")}, conditions(1, milliseconds(0))), ChoiceProof::TakenOver);
    EXPECT_EQ(proof({answered("a", 5)}, conditions(0, milliseconds(0))), ChoiceProof::None);
}

// Guards against a former primary being promoted again because it answers first: another server that is reachable may
// hold what was committed since (review case 8).
TEST(CandidateChoice, ServerOfAnEarlierTermIsChosenOnlyIfNoOtherMayAnswer)
{
    CandidateState former = answered("f", 50);
    former.isStalePrimary = true;
    CandidateState behind = answered("b", 50);
    behind.isOutdated = true;
    behind.status->term = 2;
    behind.status->received.term = 2;
    CandidateState other = silent("c");
    for (const CandidateState &candidate : {former, behind}) {
        EXPECT_EQ(chosen({candidate, other}, conditions(0, std::chrono::hours(1))), "");
        other.isUnreachable = true;
        EXPECT_EQ(chosen({candidate, other}, conditions(0, milliseconds(3999))), "");
        EXPECT_EQ(chosen({candidate, other}, conditions(0, milliseconds(4000))), candidate.id);
        other = silent("c");
        other.isRefused = true;
        EXPECT_EQ(chosen({candidate, other}, conditions(0, milliseconds(3999))), "");
        other = silent("c");
        other.isDraining = true;
        EXPECT_EQ(chosen({candidate, other}, conditions(0, std::chrono::hours(1))), "");
        other.status = ReplicationStatus{.term = 3, .received = at(5)};
        EXPECT_EQ(chosen({candidate, other}, conditions(0, milliseconds(0))), "c");
        other = silent("c");
    }
}

// Guards against commits that were rolled back being preferred because the log that still has them is longer.
TEST(CandidateChoice, LongerLogOfAnEarlierTermIsNotPreferred)
{
    CandidateState longer = answered("l", 12);
    longer.status->term = 2;
    longer.isOutdated = true;
    EXPECT_EQ(chosen({longer, answered("a", 9)}, conditions(0, milliseconds(0))), "a");
    CandidateState later = answered("n", 9);
    later.status->received.term = 4;
    EXPECT_EQ(chosen({longer, later}, conditions(0, milliseconds(0))), "n");
}

// Guards against a choice that never ends with synchronous replicas: the longest log holds what was acknowledged, but its
// server follows an earlier term, and the other one does not hold it.
TEST(CandidateChoice, LongestLogIsSafeWithSynchronousReplicas)
{
    CandidateState longer = answered("l", 12);
    longer.status->term = 2;
    longer.isOutdated = true;
    EXPECT_EQ(chosen({longer, answered("a", 9)}, conditions(1, milliseconds(0))), "l");
    EXPECT_EQ(chosen({longer, silent("a")}, conditions(1, std::chrono::hours(1))), "");
}

// Guards against a planned replacement by a server that lacks what the primary has acknowledged, or has what was rolled
// back.
TEST(CandidateChoice, OnlyTheWholeLogHasCaughtUp)
{
    const ReplicationStatus primary{.isPrimary = true, .term = 3, .received = at(9)};
    const auto hasCaughtUp = [&](const CandidateState &candidate) {
        return findCaughtUpCandidate(std::vector{candidate}, primary).candidate != nullptr;
    };
    EXPECT_TRUE(hasCaughtUp(answered("a", 9)));
    EXPECT_TRUE(hasCaughtUp(answered("a", 10)));
    EXPECT_FALSE(hasCaughtUp(answered("a", 8)));
    EXPECT_FALSE(hasCaughtUp(silent("a")));
    CandidateState earlier = answered("a", 10);
    earlier.status->term = 2;
    EXPECT_FALSE(hasCaughtUp(earlier));
    CandidateState draining = answered("a", 9);
    draining.isDraining = true;
    EXPECT_FALSE(hasCaughtUp(draining));
    CandidateState stale = answered("a", 9);
    stale.isStalePrimary = true;
    EXPECT_FALSE(hasCaughtUp(stale));
}

/// Logs of a group whose primaries change, with a part of the servers cut off at any time. Holds only what matters for the
/// choice of a primary: the term of each entry.
class LogHistory final
{
public:
    LogHistory(std::size_t servers, std::uint32_t syncReplicas) : logs(servers), follows(servers, 1), sync(syncReplicas)
    {
    }

    /// The present primary commits, and the replicas that \a reached selects receive its log.
    void commit(const std::vector<bool> &reached)
    {
        this->logs[this->primary].push_back(this->term);
        std::uint32_t holders = 0;
        for (std::size_t server = 0; server < this->logs.size(); ++server) {
            if (server == this->primary || !reached[server])
                continue;
            this->logs[server] = this->logs[this->primary];
            this->follows[server] = this->term;
            this->leads.erase(server);
            holders += 1;
        }
        if (holders >= this->sync)
            this->acknowledged = this->logs[this->primary];
    }
    /// The candidates of a replacement of the present primary, of which those that \a answers selects have answered.
    [[nodiscard]] std::vector<CandidateState> candidates(const std::vector<bool> &answers) const
    {
        std::vector<CandidateState> result;
        for (std::size_t server = 0; server < this->logs.size(); ++server) {
            if (server == this->primary)
                continue;
            CandidateState candidate{.id = std::to_string(server)};
            if (answers[server]) {
                const auto &log = this->logs[server];
                candidate.status =
                    ReplicationStatus{.isPrimary = this->leads.contains(server),
                                      .term = this->follows[server],
                                      .received = {.term = log.empty() ? 1 : log.back(), .position = log.size()}};
                candidate.isOutdated = this->follows[server] < this->term;
                candidate.isStalePrimary = candidate.isOutdated && candidate.status->isPrimary;
            }
            result.push_back(std::move(candidate));
        }
        return result;
    }
    /// A former primary commits, which nobody acknowledges.
    void commitAtFormerPrimary(std::size_t server)
    {
        if (this->leads.contains(server))
            this->logs[server].push_back(this->follows[server]);
    }
    /// Former primaries go on until they receive something.
    void promote(std::size_t server)
    {
        this->leads.insert(this->primary);
        this->primary = server;
        this->term += 1;
        this->follows[server] = this->term;
        this->leads.erase(server);
    }
    [[nodiscard]] LogPosition end() const
    {
        const auto &log = this->logs[this->primary];
        return {.term = log.empty() ? 1 : log.back(), .position = log.size()};
    }
    [[nodiscard]] bool holdsAllAcknowledged(std::size_t server) const
    {
        const auto &log = this->logs[server];
        return log.size() >= this->acknowledged.size()
               && std::equal(this->acknowledged.begin(), this->acknowledged.end(), log.begin());
    }

private:
    std::vector<std::vector<std::uint64_t>> logs; ///< by server: the term of each entry
    std::vector<std::uint64_t> follows;           ///< by server: term that it follows
    std::set<std::size_t> leads;                  ///< former primaries
    std::vector<std::uint64_t> acknowledged;      ///< log up to the last acknowledged commit
    std::size_t primary = 0;
    std::uint64_t term = 1;
    std::uint32_t sync;
};

// Guards against the loss of an acknowledged commit over several changes of primary, with former primaries that return
// before or after their successors and keep a tail that nobody acknowledged.
TEST(CandidateChoice, ChoicesOverSeveralTermsLoseNoAcknowledgedCommit)
{
    EXPECT_TRUE(rc::check([] {
        const auto servers = *rc::gen::inRange<std::size_t>(2, 6);
        const auto sync = *rc::gen::inRange<std::uint32_t>(1, static_cast<std::uint32_t>(servers));
        const auto part = rc::gen::container<std::vector<bool>>(servers, rc::gen::arbitrary<bool>());
        LogHistory history(servers, sync);
        const int steps = *rc::gen::inRange(1, 40);
        for (int step = 0; step < steps; ++step) {
            if (*rc::gen::inRange(0, 3) != 0) {
                history.commit(*part);
                history.commitAtFormerPrimary(*rc::gen::inRange<std::size_t>(0, servers));
                continue;
            }
            CandidateConditions given = conditions(sync, std::chrono::hours(1));
            given.seenByAll = *rc::gen::arbitrary<bool>();
            given.seen = history.end();
            const std::vector<CandidateState> candidates = history.candidates(*part);
            const CandidateState *best = chooseCandidate(candidates, given).candidate;
            if (best == nullptr)
                continue;
            const std::size_t server = std::stoul(best->id);
            RC_ASSERT(history.holdsAllAcknowledged(server));
            history.promote(server);
        }
    }));
}

// Guards against losing a commit that a synchronous replica has received, whichever servers have answered.
TEST(CandidateChoice, ChosenCandidateHoldsEveryAcknowledgedCommit)
{
    EXPECT_TRUE(rc::check([] {
        const auto servers = *rc::gen::inRange<std::size_t>(1, 5);
        const auto sync = *rc::gen::inRange<std::uint32_t>(1, static_cast<std::uint32_t>(servers) + 1);
        // The last commit that was acknowledged has been received by `sync` servers.
        std::vector<std::uint64_t> received;
        for (std::size_t server = 0; server < servers; ++server)
            received.push_back(*rc::gen::inRange<std::uint64_t>(0, 20));
        std::vector<std::uint64_t> sorted = received;
        std::sort(sorted.rbegin(), sorted.rend());
        const std::uint64_t acknowledged = sorted[sync - 1];
        std::vector<CandidateState> candidates;
        CandidateConditions given = conditions(sync, std::chrono::hours(1));
        for (std::size_t server = 0; server < servers; ++server) {
            if (*rc::gen::inRange(0, 4) == 0) {
                given.unlisted += 1;
                continue;
            }
            candidates.push_back(*rc::gen::arbitrary<bool>() ? answered(std::to_string(server), received[server])
                                                             : silent(std::to_string(server)));
            candidates.back().isDraining = *rc::gen::inRange(0, 4) == 0;
        }
        given.seenByAll = *rc::gen::arbitrary<bool>();
        // Instances may also have seen commits that were not acknowledged, and, if not all have reported, fewer.
        given.seen = at(given.seenByAll ? acknowledged + *rc::gen::inRange<std::uint64_t>(0, 3)
                                        : *rc::gen::inRange<std::uint64_t>(0, acknowledged + 1));
        const CandidateState *best = chooseCandidate(candidates, given).candidate;
        RC_ASSERT((best == nullptr || best->status->received.position >= acknowledged));
    }));
}

} // namespace

} // namespace Jujubekeel
