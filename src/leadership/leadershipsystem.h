#pragma once

#include "leadership/fleetmessages.h"
#include "leadership/fleetview.h"
#include "leadership/leadershipoptions.h"
#include "leadership/memberrecord.h"
#include "pool/poolids.h"

#include <cstdint>
#include <map>
#include <string>

namespace Jujubekeel {

class DispatchSystem;
class ResultSystem;
struct PoolWorld;
enum class FleetPart : std::uint8_t;
struct ServerRow;
struct ServiceRow;

/// Knows which backend server leads each service and how old that knowledge is, registers this instance, says how it sees
/// the primaries, and releases a primary that is being replaced.
///
/// Results of a primary count only while (a) this instance is registered, and (b) the leadership record was unchanged at
/// a time not older than the authority lease. Whoever replaces a primary first announces it in the record, then waits
/// until each registered instance has released the primary or its knowledge must have lapsed. Owned by PoolCore.
class LeadershipSystem final
{
public:
    LeadershipSystem(PoolWorld &poolWorld, DispatchSystem &dispatchSystem, ResultSystem &resultSystem,
                     LeadershipOptions leadershipOptions);

    void start(std::uint64_t incarnation);
    void newsReceived(const FleetNews &news);
    /// Returns true if the outcome belongs to a write of this system.
    bool writeFinished(const WriteOutcome &outcome);
    /// Entries have changed: primaries may be found or lost.
    void serversChanged();
    /// Looks at all primaries; called each check interval.
    void check();
    /// Registers this instance if it may, and brings its member object up to date.
    void publish();
    /// Planned stop: others relay no new work to this instance.
    void announceLeave();
    /// Planned stop: unregisters once nothing runs any more.
    void unregister();

    [[nodiscard]] const FleetView &fleet() const { return this->view; }
    /// Newest proof that the store still shows what this instance knows; 0: there is none.
    [[nodiscard]] TimePoint provedAt() const { return this->evidenceAt; }
    /// That proof is young enough to replace a primary on.
    [[nodiscard]] bool isInformed() const;
    /// The primary has to be replaced now, and it is this instance's turn. \a planned: it still answers.
    [[nodiscard]] bool shouldReplace(ServiceId service, bool &planned) const;
    /// Registered, or about to be, and without a proof that may be acted on.
    [[nodiscard]] bool awaitsProof() const
    {
        return this->registered ? this->evidenceAt.count() == 0 : this->writeCall != 0 && !this->unregistering;
    }
    [[nodiscard]] bool isUnregistered() const { return this->unregistered; }

private:
    struct Suspicion
    {
        TimePoint since{0}; ///< first view that says unreachable
        bool own = false;
    };

    void refresh(ServiceId service);
    void adoptRecord(ServiceId service, const FleetView::Record &stored);
    void adoptClaim(ServiceId service);
    void adoptCandidate(ServiceId service);
    void setPrimary(ServiceId service, const std::string &server, std::uint64_t epoch, std::uint64_t term);
    void releaseIfIdle(ServiceId service);
    void release(ServiceId service);
    void checkView(ServiceId service);
    void acceptEvidence(TimePoint askedAt);
    /// What was proved so far must not be acted on any more.
    void forgetEvidence();
    void armCheck();
    [[nodiscard]] bool hasOtherMembers() const;
    /// Fleets with more instances than a backend server has connections: only some of each failure domain register.
    [[nodiscard]] bool mayRegister();
    void setPart(FleetPart part);
    /// Time for which a server has answered nothing though it was asked.
    [[nodiscard]] Duration silenceOf(const ServerRow &server) const;
    [[nodiscard]] bool isUnreachable(const ServiceRow &service) const;
    [[nodiscard]] std::uint32_t rank(const std::string &service) const;
    [[nodiscard]] Duration dueAfter(const std::string &service) const;

    PoolWorld &world;
    DispatchSystem &dispatch;
    ResultSystem &results;
    LeadershipOptions options;
    FleetView view;
    MemberRecord desired; ///< what the own member object should say
    MemberRecord written; ///< what it says as far as is known
    bool registered = false;
    bool unregistering = false;
    bool unregistered = false;
    std::uint64_t writeCall = 0; ///< under way; 0: none
    std::uint64_t ownRevision = 0;
    TimePoint registeredAt{0};
    TimePoint writeAgainAt{0};
    TimePoint nextCheck{0};    ///< look at the primaries
    TimePoint vacancySince{0}; ///< there is room for another member
    TimePoint evidenceAt{0};
    std::map<std::string, Suspicion> suspicions;    ///< by service
    std::map<std::string, TimePoint> drainingSince; ///< by service: its primary leaves
};

} // namespace Jujubekeel
