#pragma once

#include "core/time.h"
#include "pool/poolmessages.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Jujubekeel {

/// What a holder knows of one server that may become primary, or may hold commits that the others lack.
struct CandidateState
{
    std::string id;
    std::optional<ReplicationStatus> status; ///< empty: it has not answered yet
    LogPosition applied;                     ///< highest position in any of its answers; it has received at least this
    bool hasTakenOver = false;               ///< promoted by an earlier holder, which did not record it
    /// hasTakenOver is concluded from the answers alone, as no record names the candidate or an old primary.
    bool isFound = false;
    bool isStalePrimary = false; ///< replaced earlier, and has not learned of that
    /// Follows an earlier term than the newest one that is known: it lacks what was committed since, and may hold commits
    /// that were rolled back elsewhere.
    bool isOutdated = false;
    bool isDraining = false;
    bool isUnreachable = false; ///< an answer is not expected soon
    bool isRefused = false;     ///< the platform could not promote it lately
};

/// Why a candidate may be promoted.
enum class ChoiceProof : std::uint8_t {
    None,      ///< it may lack acknowledged commits, which is permitted without synchronous replicas
    TakenOver, ///< an earlier holder has had it promoted
    CaughtUp,  ///< it has received the whole log of an old primary that still answers
    LogEnd,    ///< it has received the end of the log that the instances have seen
    Answers,   ///< its log is the latest of so many that one of them holds each acknowledged commit
};

[[nodiscard]] std::string_view toText(ChoiceProof proof);

/// Result of a choice.
struct CandidateChoice
{
    const CandidateState *candidate = nullptr; ///< null: there is none, or answers must be awaited
    ChoiceProof proof = ChoiceProof::None;
};

/// Under which conditions a candidate may be chosen.
struct CandidateConditions
{
    std::uint32_t syncReplicas = 0; ///< replicas that have received a commit before it is acknowledged
    std::uint32_t unlisted = 0;     ///< servers that are not listed and may hold commits that the others lack
    /// The primary that acknowledged the last commits is not known, so that it is one of the candidates or unlisted.
    bool countsPrimary = false;
    LogPosition seen;         ///< end of the old primary's log as instances have seen it; 0: not known
    bool seenByAll = false;   ///< `seen` covers every commit that an instance has acknowledged
    Duration waited{0};       ///< since the candidates were first asked
    Duration elapsed{0};      ///< since the replacement began
    Duration statusWait{0};   ///< without a reason to wait longer, for the answers of all candidates
    Duration evidenceWait{0}; ///< the same if an answer that is expected may save acknowledged commits
    /// Since the replacement began: time for servers that are unreachable, if all that have answered follow an earlier term.
    Duration absentWait{0};
};

/// Chooses the server that becomes primary; empty while answers must be awaited.
///
/// Without synchronous replicas the best candidate is chosen after a bounded wait. One that follows an earlier term is
/// chosen only if no other server is expected to answer.
///
/// With n synchronous replicas an acknowledged commit is in the logs of its primary and of n other servers, and no later
/// primary lacks it. Of two logs, the one with the later last entry (by term, then by position) therefore holds every
/// acknowledged commit that the other one holds, whatever roles their servers have. A candidate is chosen only with a
/// proof: its log reaches the end that the instances have seen, or it is the latest of so many that fewer than n servers
/// are left out. A server that leads the newest term without a record is compared, but not chosen. Otherwise there is no
/// bound, because a choice would lose commits; a changed configuration takes effect at once.
[[nodiscard]] CandidateChoice chooseCandidate(std::span<const CandidateState> candidates,
                                              const CandidateConditions &conditions);

/// A candidate that has received the whole log of a primary which still answers and is to be replaced, if there is one.
/// Servers that leave are no candidates.
[[nodiscard]] CandidateChoice findCaughtUpCandidate(std::span<const CandidateState> candidates,
                                                    const ReplicationStatus &primary);

/// The best of the candidates that have answered; null if there is none. Draining ones only if \a withDraining is set.
[[nodiscard]] const CandidateState *bestCandidate(std::span<const CandidateState> candidates, bool withDraining);

} // namespace Jujubekeel
