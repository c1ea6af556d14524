#pragma once

#include "leadership/candidatechoice.h"
#include "leadership/fleetmessages.h"
#include "leadership/leadershipoptions.h"
#include "leadership/leadershiprecord.h"
#include "pool/poolids.h"
#include "pool/poolmessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Jujubekeel {

class GroupSystem;
class LeadershipSystem;
class RegistrationSystem;
class LinkSystem;
struct PoolWorld;
struct ServiceRow;

/// Replaces primaries when it is this instance's turn. Steps: announce the replacement in the record (a conditional
/// write whose version gives the fencing token), wait until every registered instance has released the old primary,
/// choose the server that has received most, declare it in the record, have it promoted, wait until it reports that it
/// is primary, and record the result. Instances use a declared candidate before the result is recorded, so within an
/// epoch there is only one: choosing another needs a new announcement, also after a restart of the holder. Owned by
/// PoolCore; used only within its calls.
class ReplacementSystem final
{
public:
    ReplacementSystem(PoolWorld &poolWorld, LinkSystem &linkSystem, LeadershipSystem &leadershipSystem,
                      RegistrationSystem &registrationSystem, const GroupSystem &groupSystem,
                      LeadershipOptions leadershipOptions);

    /// Starts replacements that are due; called every check interval.
    void check();
    /// The store has returned from an older copy: replacements in progress are abandoned.
    void eraChanged();
    /// Advances the replacements in progress.
    void advance();
    /// Returns true if the outcome belongs to a write of this system.
    bool writeFinished(const WriteOutcome &outcome);
    /// Returns true if the outcome belongs to a promotion of this system.
    bool promotionFinished(const PromotionOutcome &outcome);
    /// True while this instance replaces a primary.
    [[nodiscard]] bool isReplacing() const { return !this->replacements.empty(); }
    void statusReceived(ServerId server, const std::optional<ReplicationStatus> &status);

private:
    enum class Step : std::uint8_t {
        Examine,        ///< the primary is not known: ask the servers who leads, before anything is announced
        Announce,       ///< write to the record that the primary is being replaced
        AwaitRelease,   ///< wait until every registered instance has released the old primary
        Choose,         ///< collect the log positions of the candidates and choose one
        Declare,        ///< write the candidate to the record
        Promote,        ///< have the platform promote the candidate
        AwaitPromotion, ///< wait until the candidate reports that it is primary
        Record,         ///< write the new primary to the record
        Abandon,        ///< write to the record that the old primary, which still answers, goes on
    };
    struct Replacement
    {
        Step step = Step::Announce;
        LeadershipRecord record;
        std::uint64_t expectedRevision = 0;         ///< of the record, for the next write
        std::optional<StoreVersion> candidateSince; ///< no instance uses the candidate before; empty: not known
        StoreVersion announced; ///< version of the announcement, from which the fencing token results
        std::uint64_t call = 0; ///< write or promotion in progress; 0: none
        TimePoint startedAt{0};
        TimePoint announcedAt{0};
        TimePoint stepAt{0};                                ///< start of the current step
        TimePoint retryAt{0};                               ///< earliest time of the next call
        std::set<std::string> refused;                      ///< candidates that could not take over
        std::map<std::string, ReplicationStatus> statuses;  ///< by server
        std::map<std::string, TimePoint> statusReceivedAt;  ///< by server
        TimePoint waitLoggedAt{0};                          ///< last log line about awaited candidates
        std::map<std::string, TimePoint> statusRequestedAt; ///< by server; removed with the answer
    };

    /// A replacement of \a primary that is not announced yet; empty: it is not known.
    [[nodiscard]] Replacement prepare(const ServiceRow &service, std::string_view primary) const;
    /// Asks the servers which of them leads, and records it. If they do not tell, one is promoted.
    void findPrimary(ServiceId service);
    /// Returns false if the first primary has registered meanwhile.
    bool examine(ServiceId service, Replacement &replacement);
    void begin(ServiceId service, bool planned);
    [[nodiscard]] bool hasCandidate(const ServiceRow &service, bool planned) const;
    void resume(ServiceId service);
    void enter(Replacement &replacement, Step step);
    /// Has the replacements advanced after \a delay, unless that happens earlier.
    void scheduleAdvance(Duration delay);
    /// The candidate could not take over: announces the replacement under a new epoch, to choose another one.
    void announceAgain(ServiceId service, Replacement &replacement);
    /// Returns false if the replacement has ended.
    bool advanceOne(ServiceId service, Replacement &replacement);
    [[nodiscard]] bool isSuperseded(const ServiceRow &service, const Replacement &replacement) const;
    [[nodiscard]] bool allReleased(const ServiceRow &service, const Replacement &replacement) const;
    /// Evicts members that did not release the old primary, so that later replacements need not wait for them.
    void evictSilentMembers(const ServiceRow &service, const Replacement &replacement);
    /// Sends a status request unless one is in progress; opens a connection first if there is none. Until it is sent, the
    /// next free connection is kept for it.
    void requestStatus(Replacement &replacement, const std::string &server);
    /// Returns true once a candidate has been chosen.
    bool choose(ServiceId service, Replacement &replacement);
    [[nodiscard]] bool isStalePrimary(const Replacement &replacement, const std::string &server) const;
    /// Newest replication term that the record or an answer tells.
    [[nodiscard]] std::uint64_t newestTerm(const Replacement &replacement) const;
    [[nodiscard]] bool hasTakenOver(const Replacement &replacement, const std::string &server) const;
    /// What is known of the servers that may become primary or hold commits that others lack.
    [[nodiscard]] std::vector<CandidateState> collectCandidates(const ServiceRow &service,
                                                                const Replacement &replacement) const;
    [[nodiscard]] CandidateConditions conditions(ServiceId service, const Replacement &replacement) const;
    /// The old primary is to be replaced as planned, and still answers.
    [[nodiscard]] bool oldPrimaryAnswers(const ServiceRow &service, const Replacement &replacement) const;
    /// Chooses a candidate that has received the whole log of an old primary which still answers.
    [[nodiscard]] CandidateChoice chooseCaughtUp(const Replacement &replacement,
                                                 std::span<const CandidateState> candidates) const;
    /// True if the old primary can go on, because nothing was promoted or declared instead of it.
    [[nodiscard]] bool canAbandon(const Replacement &replacement) const;
    /// Lets the old primary go on, which still answers and holds more than any candidate.
    void abandon(ServiceId service, Replacement &replacement, std::span<const CandidateState> candidates);
    /// Writes the abandoned replacement to the record.
    void writeAbandonment(ServiceId service, Replacement &replacement);
    [[nodiscard]] bool isStatusCurrent(const Replacement &replacement, const std::string &server,
                                       Duration maxAge) const;
    /// Asks for the log positions that a choice needs, again after LeadershipOptions::statusRefresh.
    void requestStatuses(const ServiceRow &service, Replacement &replacement,
                         std::span<const CandidateState> candidates);
    void logWait(const ServiceRow &service, Replacement &replacement, std::span<const CandidateState> candidates,
                 const CandidateConditions &conditions);
    void writeRecord(ServiceId service, Replacement &replacement, const LeadershipRecord &record);
    void promote(ServiceId service, Replacement &replacement);
    /// Writes the finished replacement to the record.
    void writeResult(ServiceId service, Replacement &replacement);

    PoolWorld &world;
    LinkSystem &links;
    LeadershipSystem &leadership;
    RegistrationSystem &registration;
    const GroupSystem &group;
    LeadershipOptions options;
    std::map<ServiceId, Replacement> replacements;
    std::set<std::uint64_t> evictionCalls; ///< writes in progress that evict members
    TimePoint advanceAt{0};                ///< time of the timer that advances the replacements; past: there is none
};

} // namespace Jujubekeel
