#pragma once

#include "leadership/fleetmessages.h"
#include "leadership/fleetview.h"
#include "leadership/leadershipoptions.h"
#include "leadership/memberrecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Jujubekeel {

struct PoolWorld;

/// Manages the registration of this instance in the store and its role in the fleet, and tracks when its view of the
/// fleet's objects was last verified.
///
/// An update from the store verifies the view: the store showed that state at the time of the request. A verification
/// counts only while the instance is registered, because only then does an instance that replaces a primary wait for
/// it. Owned by PoolCore; used only within its calls.
class RegistrationSystem final
{
public:
    RegistrationSystem(PoolWorld &poolWorld, LeadershipOptions leadershipOptions);

    void start(std::uint64_t incarnation);
    /// \a update was read from the store.
    void fleetUpdated(const FleetUpdate &update);
    /// A member has reported the fleet's members. Ignored by an instance that is or becomes a member itself, because it
    /// needs the store's own answers.
    void membersReported(const FleetUpdate &update);
    /// The directory entries of the backend servers were listed, which a member needs before it can serve.
    void serversListed();
    /// Returns true if the outcome belongs to a write of this system.
    bool writeFinished(const WriteOutcome &outcome);
    /// Registers this instance if it is permitted to, and writes changes of its member object.
    void publish();
    /// Planned stop: announces that this instance is leaving, so that others relay no new work to it.
    void announceLeave();
    /// Planned stop: removes the registration; called when nothing runs any more.
    void unregister();

    // State of primaries in the member object; written by the next publish().
    void setView(const std::string &service, std::optional<PrimaryView> primaryView);
    /// \a seen: end of the old primary's log as this instance has seen it.
    void setReleased(const std::string &service, std::uint64_t epoch, LogPosition seen);
    void clearReleased(const std::string &service);
    /// Clears a release of an epoch before \a epoch.
    void clearReleasedBefore(const std::string &service, std::uint64_t epoch);
    [[nodiscard]] const MemberRecord &own() const { return this->desired; }

    [[nodiscard]] const FleetView &fleet() const { return this->view; }
    [[nodiscard]] bool isRegistered() const { return this->registered; }
    [[nodiscard]] bool isUnregistered() const { return this->unregistered; }
    /// True while this instance is registered, or its registration is being written, and its view has not been
    /// verified.
    [[nodiscard]] bool awaitsVerification() const;
    /// True if there is a vacancy for a member and this instance waits for its time slot to register.
    [[nodiscard]] bool awaitsVacancy() const { return this->vacancyFound; }
    /// True if that time slot has come. The members must then be read from the store once more, as the registration of
    /// an instance with an earlier slot may have filled the vacancy.
    [[nodiscard]] bool isVacancyDue() const;
    /// Time at which the store last showed the state that this instance has; 0: not verified.
    [[nodiscard]] TimePoint verifiedAt() const;
    /// True if verifiedAt() is recent enough to replace a primary (LeadershipOptions::maxFleetViewAge).
    [[nodiscard]] bool isFleetViewCurrent() const;
    /// The view reflects the store at this time or later; 0: not read yet.
    [[nodiscard]] TimePoint viewReadAt() const { return this->readAt; }
    /// False after the store has returned from an older copy, until what it has lost was written again and the
    /// authority leases of before have expired.
    [[nodiscard]] bool isEraRecovered() const;
    /// True if the store may have lost what this instance has never read.
    [[nodiscard]] bool mayLackEarlierEra() const
    {
        return !this->isEraRecovered() && (!this->view.remembersEarlierEra() || this->lackedEarlierEra);
    }
    /// False while the store may have lost a later record of the service's leadership than the one that it shows: this
    /// instance may lack the earlier era, and nobody has written or confirmed the record in the present one.
    [[nodiscard]] bool isLeadershipKnown(std::string_view service) const;
    /// True if the registered instances together know every commit that an instance has acknowledged at a primary which
    /// was not used before \a primarySince: none of them has started since, and none has left.
    [[nodiscard]] bool knowsAllCommits(std::optional<StoreVersion> primarySince) const;
    /// True while other instances may still have to write again what the store has lost: no view of it is verified, and
    /// no replacement starts.
    [[nodiscard]] bool isRecovering() const;
    /// True while the backend servers may not have written their entries again yet.
    [[nodiscard]] bool awaitsEntries() const;
    /// Time after which an instance accepts no results on its old fleet view any more.
    [[nodiscard]] Duration leaseExpiryTime() const;

private:
    /// The store has returned from an older copy: registers again.
    /// \a lacked: what this instance knows of the era before may be incomplete.
    void eraChanged(std::uint64_t earlier, bool lacked);
    /// Leadership counts as verified from this time on.
    [[nodiscard]] TimePoint recoveryEnd() const;
    /// Counts an update requested at \a requestedAt as a verification; ends the registration if the authority lease has
    /// expired.
    void acceptVerification(TimePoint requestedAt);
    /// Earlier verifications no longer count.
    void resetVerification();
    /// In a fleet with more instances than a backend server has connections, only some instances of each failure domain
    /// may register.
    [[nodiscard]] bool mayRegister();
    /// True if this instance has not reached the member for LeadershipOptions::memberTimeout.
    [[nodiscard]] bool isTimedOut(const std::string &member) const;
    [[nodiscard]] bool hasOtherMembers() const;
    [[nodiscard]] TimePoint vacancyDue() const;
    /// Counts the members that share the servers' connections.
    void countInstances();
    /// Starts to serve as a member once the leadership is verified and the servers are known.
    void updateServing();

    PoolWorld &world;
    LeadershipOptions options;
    FleetView view;
    MemberRecord desired;          ///< intended content of the own member object
    MemberRecord written;          ///< content last written, as far as known
    bool lackedEarlierEra = false; ///< when the present era began, this instance may have lacked earlier changes
    bool registered = false;
    bool unregistering = false;
    bool unregistered = false;
    std::uint64_t writeCall = 0;   ///< write in progress; 0: none
    std::uint64_t ownRevision = 0; ///< last known revision of the own member object; 0: none
    TimePoint registeredAt{0};
    TimePoint writeAgainAt{0}; ///< no write before, after a failed one
    bool vacancyFound = false; ///< see awaitsVacancy()
    TimePoint vacancySince{0};
    TimePoint readAt{0}; ///< see viewReadAt()
};

} // namespace Jujubekeel
