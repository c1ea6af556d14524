#include "ratelimit/rategrantor.h"

#include "core/seconds.h"
#include "organisations/organisationtable.h"

#include <algorithm>
#include <utility>

namespace Jujubekeel {

void RateGrantor::setMembers(std::span<const RateMember> members, bool isListedFromBefore, TimePoint now)
{
    for (auto &[name, bucket] : this->buckets)
        this->refill(bucket, now);
    const RateRanks former = this->ranks;
    if (!this->ranks.setMembers(members) && this->hasMembers)
        return;
    const bool isListed = this->ranks.contains(this->options.instance);
    const bool wasMember = std::exchange(this->isMember, isListed);
    // The others have counted this member all the while, so nobody has taken its shares.
    const bool wasKnown = std::exchange(this->hasMembers, true);
    const bool isKnown = !wasKnown && this->isMember && isListedFromBefore;
    this->isFleetStarting =
        this->options.isFirstStart && (!wasKnown || (this->isFleetStarting && now < this->stableAt));
    const bool hasAnyJoined = std::any_of(members.begin(), members.end(),
                                          [&](const RateMember &member) { return !former.contains(member.name); });
    bool isWaiting = !wasMember || this->awaitsConfirmation(now);
    const TimePoint stable = isKnown ? now : now + this->options.stableAfter;
    const TimePoint takeOver = isKnown ? now : now + this->takeOverDelay();
    this->stableAt = std::max(this->stableAt, stable);
    if (hasAnyJoined)
        this->takeOverAt = std::max(this->takeOverAt, takeOver);
    for (auto &[name, bucket] : this->buckets) {
        const double formerShare = std::exchange(bucket.share, this->shareOf(name));
        if (isKnown)
            bucket.effectiveShare = bucket.share;
        else if (!wasMember)
            bucket.effectiveShare = std::min(this->joiningShare(), bucket.share);
        else
            bucket.effectiveShare = std::min(bucket.effectiveShare, bucket.share);
        // Members that come and go elsewhere in the order concern other organisations only.
        const bool isRaised = bucket.share > formerShare;
        if (!wasMember || (isRaised && this->isAnyDisplaced(name, former)))
            bucket.takeOverAt = std::max(bucket.takeOverAt, takeOver);
        else if (isRaised)
            bucket.stableAt = stable;
        isWaiting = isWaiting || bucket.takeOverAt > now;
        bucket.tokens = std::min(bucket.tokens, this->capacity(bucket));
    }
    this->isTakeOverPending = this->isMember && !isKnown && isWaiting;
}

void RateGrantor::changeConfirmed(TimePoint now)
{
    // What the others have granted before is spent by then.
    const TimePoint due = now + this->options.grantLifetime;
    this->isTakeOverPending = false;
    this->takeOverAt = std::min(this->takeOverAt, due);
    for (auto &[name, bucket] : this->buckets)
        bucket.takeOverAt = std::min(bucket.takeOverAt, due);
}

double RateGrantor::joiningShare() const
{
    return this->isFleetStarting ? this->options.startShare : 0;
}

Duration RateGrantor::takeOverDelay() const
{
    return this->isFleetStarting ? this->options.stableAfter : this->options.viewLease + this->options.grantLifetime;
}

bool RateGrantor::isAnyDisplaced(std::string_view organisation, const RateRanks &former) const
{
    const auto before = former.membersOf(organisation);
    for (std::size_t rank = 0; rank < RateRanks::count; ++rank) {
        if (before[rank].empty() || !this->ranks.contains(before[rank]))
            continue;
        const auto next = this->ranks.rankOf(organisation, before[rank]);
        if (!next || this->options.shares[*next] < this->options.shares[rank])
            return true;
    }
    return false;
}

void RateGrantor::setTable(const OrganisationTable &table, TimePoint now)
{
    std::erase_if(this->buckets, [&](const auto &entry) {
        const auto organisation = table.findByName(entry.first);
        return !organisation || !organisation->limit;
    });
    for (const auto &[name, organisation] : table.all()) {
        if (!organisation->limit)
            continue;
        const double limit = this->sustainedRate(*organisation->limit);
        const auto [entry, added] = this->buckets.try_emplace(name);
        Bucket &bucket = entry->second;
        if (added) {
            bucket.refilledAt = now;
            bucket.share = this->shareOf(name);
            bucket.effectiveShare = this->isStable(now) ? bucket.share : std::min(bucket.share, this->joiningShare());
            bucket.effectiveLimit = limit;
            bucket.stableAt = this->stableAt;
            bucket.takeOverAt = this->takeOverAt;
        }
        this->refill(bucket, now);
        bucket.limit = limit;
        bucket.burst = organisation->limit->burst;
        bucket.effectiveLimit =
            this->mayRaise(bucket, now) ? bucket.limit : std::min(bucket.effectiveLimit, bucket.limit);
        bucket.tokens = std::min(bucket.tokens, this->capacity(bucket));
    }
}

void RateGrantor::resumed(TimePoint now)
{
    this->stableAt = now + this->options.stableAfter;
    for (auto &[name, bucket] : this->buckets) {
        bucket.stableAt = this->stableAt;
        bucket.tokens = 0;
        bucket.refilledAt = now;
        bucket.effectiveShare = std::min(bucket.effectiveShare, this->options.startShare);
    }
}

RateGrant RateGrantor::grant(std::string_view organisation, std::uint32_t wanted, TimePoint now)
{
    const auto found = this->buckets.find(organisation);
    if (found == this->buckets.end())
        return RateGrant{.granted = 0, .retryAfter = this->options.maxRetry};
    // Another member may have taken the share over.
    if (now - this->verifiedAt >= this->options.viewLease)
        return RateGrant{.granted = 0, .retryAfter = this->options.maxRetry};
    Bucket &bucket = found->second;
    this->refill(bucket, now);
    RateGrant answer{.granted = std::min(wanted, static_cast<std::uint32_t>(bucket.tokens))};
    bucket.tokens -= answer.granted;
    if (answer.granted == wanted)
        return answer;
    // Instances that were denied get different times, one operation apart, so that they do not all repeat their
    // requests for the same operation.
    answer.retryAfter = this->options.maxRetry;
    if (bucket.rate() > 0) {
        const double spacing = std::min(1 / bucket.rate(), toSeconds(this->options.maxRetry));
        bucket.turnAt =
            std::max(bucket.turnAt, now) + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(spacing));
        bucket.turnAt = std::min(bucket.turnAt, now + this->options.maxRetry);
        answer.retryAfter = std::max(bucket.turnAt - now, this->options.minRetry);
    }
    return answer;
}

void RateGrantor::refill(Bucket &bucket, TimePoint now) const
{
    if (!this->mayRaise(bucket, now)) {
        this->refillUntil(bucket, now);
        return;
    }
    this->refillUntil(bucket, std::min(now, std::max(bucket.raiseAt(), bucket.refilledAt)));
    bucket.effectiveShare = bucket.share;
    bucket.effectiveLimit = bucket.limit;
    this->refillUntil(bucket, now);
}

void RateGrantor::refillUntil(Bucket &bucket, TimePoint until) const
{
    if (until <= bucket.refilledAt)
        return;
    const double added = toSeconds(until - bucket.refilledAt) * bucket.rate();
    bucket.tokens = std::min(bucket.tokens + added, this->capacity(bucket));
    bucket.refilledAt = until;
}

double RateGrantor::capacity(const Bucket &bucket) const
{
    // A member without a share has no capacity, so that three buckets at most are in use for an organisation.
    if (bucket.rate() <= 0)
        return 0;
    const double byTime = bucket.rate() * toSeconds(this->options.capacityTime);
    const double byBurst = this->options.minCapacity + bucket.effectiveShare * bucket.burst;
    return std::max(this->options.minCapacity, std::min(byTime, byBurst));
}

double RateGrantor::sustainedRate(const RateLimit &limit) const
{
    return limit.operationsPerSecond + this->options.burstPart * limit.burst / toSeconds(this->options.window);
}

double RateGrantor::shareOf(std::string_view organisation) const
{
    const auto rank = this->ranks.rankOf(organisation, this->options.instance);
    if (!rank)
        return 0;
    // Fleets of one or two members divide the shares of the missing ranks.
    const std::size_t granting = std::min(this->ranks.size(), RateRanks::count);
    double missing = 0;
    for (std::size_t other = granting; other < RateRanks::count; ++other)
        missing += this->options.shares[other];
    return this->options.shares[*rank] + missing / static_cast<double>(granting);
}

} // namespace Jujubekeel
