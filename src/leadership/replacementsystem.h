#pragma once

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

namespace Jujubekeel {

class LeadershipSystem;
class RegistrationSystem;
class LinkSystem;
struct PoolWorld;
struct ServiceRow;

/// Replaces primaries when it is this instance's turn. Steps: announce the replacement in the record (a conditional
/// write whose revision is the fencing token), wait until every registered instance has released the old primary, choose
/// the server that has received most, declare it in the record, name it, wait until it leads, and record that. Owned by
/// PoolCore.
class ReplacementSystem final
{
public:
    ReplacementSystem(PoolWorld &poolWorld, LinkSystem &linkSystem, LeadershipSystem &leadershipSystem,
                      RegistrationSystem &registrationSystem, LeadershipOptions leadershipOptions);

    /// Starts replacements that are due; called each check interval.
    void check();
    /// Advances the replacements under way.
    void advance();
    bool writeFinished(const WriteOutcome &outcome);
    bool promotionFinished(const PromotionOutcome &outcome);
    void statusReceived(ServerId server, const std::optional<ReplicationStatus> &status);

private:
    enum class Step : std::uint8_t {
        Announce,  ///< the record says that the primary changes
        Consent,   ///< every registered instance has released the old primary
        Choose,    ///< the positions of the candidates are known
        Declare,   ///< the record names the candidate
        Name,      ///< the platform has accepted the candidate
        AwaitLead, ///< the candidate says that it leads
        Record,    ///< the record names the new primary
    };
    struct Replacement
    {
        Step step = Step::Announce;
        LeadershipRecord record;
        std::uint64_t expectedRevision = 0; ///< of the record, for the next write
        std::uint64_t token = 0;            ///< revision of the announcement
        std::uint64_t call = 0;             ///< write or promotion under way; 0: none
        TimePoint startedAt{0};
        TimePoint announcedAt{0};
        TimePoint stepAt{0};                               ///< start of the present step
        TimePoint retryAt{0};                              ///< no call before
        std::set<std::string> refused;                     ///< candidates that cannot take over
        std::map<std::string, ReplicationStatus> statuses; ///< by server
        std::map<std::string, TimePoint> askedAt;          ///< by server; removed with the answer
    };

    void begin(ServiceId service, bool planned);
    void resume(ServiceId service);
    void enter(Replacement &replacement, Step step);
    /// Returns false if the replacement is over.
    bool advanceOne(ServiceId service, Replacement &replacement);
    [[nodiscard]] bool isSuperseded(const ServiceRow &service, const Replacement &replacement) const;
    /// After this an instance accepts nothing any more on what it knew.
    [[nodiscard]] Duration lapseTime() const;
    [[nodiscard]] bool allReleased(const ServiceRow &service, const Replacement &replacement) const;
    /// Marks members that did not release, so that later replacements need not wait for them.
    void evictSilentMembers(const ServiceRow &service, const Replacement &replacement);
    void askStatus(Replacement &replacement, const std::string &server);
    bool choose(ServiceId service, Replacement &replacement);
    [[nodiscard]] bool isStalePrimary(const Replacement &replacement, const std::string &server) const;
    [[nodiscard]] bool hasTakenOver(const Replacement &replacement, const std::string &server) const;
    [[nodiscard]] std::string bestCandidate(const Replacement &replacement,
                                            std::span<const std::string> candidates) const;
    void writeRecord(ServiceId service, Replacement &replacement, const LeadershipRecord &record);
    void name(ServiceId service, Replacement &replacement);
    void writeResult(ServiceId service, Replacement &replacement);

    PoolWorld &world;
    LinkSystem &links;
    LeadershipSystem &leadership;
    RegistrationSystem &registration;
    LeadershipOptions options;
    std::map<ServiceId, Replacement> replacements;
    std::set<std::uint64_t> evictionCalls; ///< calls that strike members off
};

} // namespace Jujubekeel
