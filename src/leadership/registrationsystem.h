#pragma once

#include "leadership/fleetmessages.h"
#include "leadership/fleetview.h"
#include "leadership/leadershipoptions.h"
#include "leadership/memberrecord.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Jujubekeel {

struct PoolWorld;

/// Decides this instance's part in the fleet, keeps its member object, and knows how old its knowledge of the fleet's objects
/// is.
///
/// A member's proof is the time at which the store still showed what it knows. A proof counts only while the instance is
/// registered: only then whoever replaces a primary waits for it. Owned by PoolCore.
class RegistrationSystem final
{
public:
    RegistrationSystem(PoolWorld &poolWorld, LeadershipOptions leadershipOptions);

    void start(std::uint64_t incarnation);
    void fleetUpdated(const FleetUpdate &update);
    /// Returns true if the outcome belongs to a write of this system.
    bool writeFinished(const WriteOutcome &outcome);
    /// Registers this instance if it may, and brings its member object up to date.
    void publish();
    /// Planned stop: others relay no new work to this instance.
    void announceLeave();
    /// Planned stop: unregisters once nothing runs any more.
    void unregister();

    // What the member object says of primaries; written by the next publish().
    void setView(const std::string &service, std::optional<PrimaryView> primaryView);
    void setReleased(const std::string &service, std::uint64_t epoch);
    void clear(const std::string &service);
    [[nodiscard]] const MemberRecord &own() const { return this->desired; }

    [[nodiscard]] const FleetView &fleet() const { return this->view; }
    [[nodiscard]] bool isRegistered() const { return this->registered; }
    [[nodiscard]] bool isUnregistered() const { return this->unregistered; }
    /// Registered, or about to be, and without a proof that may be acted on.
    [[nodiscard]] bool awaitsVerification() const
    {
        return this->registered ? this->viewVerifiedAt.count() == 0 : this->writeCall != 0 && !this->unregistering;
    }
    /// There is room for another member, and this instance waits for its turn.
    [[nodiscard]] bool awaitsVacancy() const { return this->vacancyFound; }
    /// Newest proof that the store still shows what this instance knows; 0: there is none.
    [[nodiscard]] TimePoint verifiedAt() const { return this->viewVerifiedAt; }
    /// That proof is young enough to replace a primary on.
    [[nodiscard]] bool isFleetViewCurrent() const;

private:
    void acceptVerification(TimePoint requestedAt);
    /// What was proved so far must not be acted on any more.
    void invalidateView();
    /// Fleets with more instances than a backend server has connections: only some of each failure domain register.
    [[nodiscard]] bool mayRegister();
    /// This instance has not reached the member for so long that its place is free.
    [[nodiscard]] bool isGone(const std::string &member) const;
    [[nodiscard]] bool hasOtherMembers() const;

    PoolWorld &world;
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
    bool vacancyFound = false; ///< there is room for another member, and this instance waits for its turn
    TimePoint vacancySince{0};
    TimePoint viewVerifiedAt{0};
};

} // namespace Jujubekeel
