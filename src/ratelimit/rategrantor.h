#pragma once

#include "core/time.h"
#include "ratelimit/rategrant.h"
#include "ratelimit/rateranks.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace Jujubekeel {

class OrganisationTable;
struct RateLimit;

struct RateGrantorOptions
{
    std::string instance; ///< name of this member
    /// Parts of an organisation's rate that the members of ranks 0 to 2 grant. Their sum is 1, so that members that do
    /// not reach each other keep the limit together. Equal, because the record of a killed member may stay in the store
    /// for long: with 0.70 for rank 0, 54 % of the usual demand was refused until the member had started again.
    std::array<double, RateRanks::count> shares{1.0 / 3, 1.0 / 3, 1.0 / 3};
    double startShare = 0.15; ///< upper bound of the share after a suspension, and after the first start of the fleet
    /// The limit allows the burst in each window, so that an organisation above its rate may use a part of it all the time.
    /// The rest covers what is granted twice while the views of the members differ.
    double burstPart = 0.75;
    Duration window = std::chrono::seconds(5);
    Duration stableAfter = std::chrono::milliseconds(2000); ///< views of members that reach the store differ for less
    /// A member whose view of the members was verified longer ago grants nothing. It does not run its callers' work any
    /// more either, see PoolOptions::authorityLease.
    Duration viewLease = std::chrono::seconds(6);
    Duration grantLifetime = std::chrono::milliseconds(500); ///< RateSpenderOptions::hold
    /// At the first start of the fleet no member holds a share from before.
    bool isFirstStart = false;
    Duration capacityTime = std::chrono::milliseconds(250); ///< refill time of a full bucket
    /// Operations. The capacities of the three members together stay below the burst and QuotaSlack (20). With 4, an
    /// organisation with a rate of 10 per second was refused 0.3 % of its usual demand.
    double minCapacity = 6;
    /// Shortest time before a denied instance asks again. With 20 ms, 87 instances that asked for one organisation overloaded
    /// its members, which then answered too late.
    Duration minRetry = std::chrono::milliseconds(100);
    Duration maxRetry = std::chrono::milliseconds(500);
};

/// Member side of the rate limits: grants operations of organisations to the instances that callers reach. Has one
/// token bucket for each limited organisation, refilled at this member's share of the rate. Owned by PoolCore.
///
/// A share is lowered at once and raised later, so that the shares never add up to more than the rate. A member that left has
/// stopped to grant, or its authority lease had expired, so that `stableAfter` is enough for a share that it held. A member
/// that is still listed and lost its share to one that joined may not have learned of that, because the store turns it
/// away. Such a share is raised once all members have confirmed that they know of the change, or without that when the last
/// right that rests on an older view has ended: `viewLease` after its verification, and `grantLifetime` for what was granted.
/// A restarted member that was listed as one all the while has its share at once.
class RateGrantor final
{
public:
    explicit RateGrantor(RateGrantorOptions grantorOptions) : options(std::move(grantorOptions)) {}

    /// All members that serve, including this one if it does. A member that joins them starts without a share, but with
    /// `startShare` at most if the fleet starts for the first time.
    /// \a isListedFromBefore: the registration of an earlier process of this member has not been replaced yet, so that the
    /// other members have counted it all the while.
    void setMembers(std::span<const RateMember> members, bool isListedFromBefore, TimePoint now);
    /// Whether a share waits until all other members have confirmed the last change of the members.
    [[nodiscard]] bool awaitsConfirmation(TimePoint now) const
    {
        return this->isTakeOverPending && now < this->takeOverAt;
    }
    /// All other members know of the last change.
    void changeConfirmed(TimePoint now);
    /// The members are those of the store at \a at, or of a later time.
    void viewVerified(TimePoint at) { this->verifiedAt = std::max(this->verifiedAt, at); }
    /// Limits of the configuration in force.
    void setTable(const OrganisationTable &table, TimePoint now);
    /// This process was suspended, so its view of the members may be out of date. Has the effect of a restart.
    void resumed(TimePoint now);
    /// Grants up to \a wanted operations.
    [[nodiscard]] RateGrant grant(std::string_view organisation, std::uint32_t wanted, TimePoint now);

private:
    struct Bucket
    {
        double limit = 0; ///< operations per second, of the configuration in force
        double burst = 0;
        double share = 0;          ///< of this member's rank
        double effectiveLimit = 0; ///< at most limit
        double effectiveShare = 0; ///< at most share
        double tokens = 0;
        TimePoint refilledAt{0};
        // effectiveLimit and effectiveShare are raised after both.
        TimePoint stableAt{0};   ///< members that reach the store have the same view then
        TimePoint takeOverAt{0}; ///< rights that rest on an older view have ended then
        TimePoint turnAt{0};     ///< when the last request that was denied may be repeated

        [[nodiscard]] TimePoint raiseAt() const { return std::max(this->stableAt, this->takeOverAt); }
        [[nodiscard]] double rate() const { return this->effectiveLimit * this->effectiveShare; }
    };

    /// Refills a bucket, and raises its rate if the view of the members is stable.
    void refill(Bucket &bucket, TimePoint now) const;
    void refillUntil(Bucket &bucket, TimePoint until) const;
    [[nodiscard]] double capacity(const Bucket &bucket) const;
    /// Operations per second, of all members together.
    [[nodiscard]] double sustainedRate(const RateLimit &limit) const;
    [[nodiscard]] double shareOf(std::string_view organisation) const;
    /// Upper bound of the share of a member that has joined, until it is raised.
    [[nodiscard]] double joiningShare() const;
    /// From a change of the members until a share that a listed member may still hold can be raised.
    [[nodiscard]] Duration takeOverDelay() const;
    /// Whether a listed member had a larger share of the organisation's rate by \a former.
    [[nodiscard]] bool isAnyDisplaced(std::string_view organisation, const RateRanks &former) const;
    [[nodiscard]] bool isStable(TimePoint now) const
    {
        return this->hasMembers && now >= std::max(this->stableAt, this->takeOverAt);
    }
    [[nodiscard]] bool mayRaise(const Bucket &bucket, TimePoint now) const
    {
        return this->hasMembers && now >= bucket.raiseAt();
    }

    RateGrantorOptions options;
    RateRanks ranks;
    bool hasMembers = false; ///< setMembers() has been called
    bool isMember = false;   ///< contained in the members
    /// The fleet starts for the first time: changes of the members follow each other within `stableAfter`.
    bool isFleetStarting = false;
    bool isTakeOverPending = false;                     ///< awaitsConfirmation()
    TimePoint stableAt{0};                              ///< Bucket::stableAt of an organisation that is added
    TimePoint takeOverAt{0};                            ///< the same
    TimePoint verifiedAt{0};                            ///< of the members
    std::map<std::string, Bucket, std::less<>> buckets; ///< by organisation; limited ones only
};

} // namespace Jujubekeel
