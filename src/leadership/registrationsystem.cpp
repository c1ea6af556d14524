#include "leadership/registrationsystem.h"

#include "pool/poolworld.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

namespace Jujubekeel {

RegistrationSystem::RegistrationSystem(PoolWorld &poolWorld, LeadershipOptions leadershipOptions)
    : world(poolWorld), options(leadershipOptions)
{
}

void RegistrationSystem::start(std::uint64_t incarnation)
{
    this->desired.incarnation = incarnation;
    this->desired.relayAddress = this->world.options.relayAddress;
    this->desired.failureDomain = this->world.options.failureDomain;
    if (this->world.options.relayAddress.empty())
        this->world.role = FleetRole::Member;
}

void RegistrationSystem::fleetUpdated(const FleetUpdate &update)
{
    // An answer that was overtaken by a later one verifies nothing.
    const StoreVersion before = this->view.version();
    // Without a verification within the lease a primary may have been replaced without this instance.
    const bool lapsed = this->world.fleetVerifiedAt.count() == 0
                        || this->world.now - this->world.fleetVerifiedAt > this->world.options.authorityLease;
    const bool lacked = this->mayLackEarlierEra() || lapsed;
    if (!this->view.apply(update, this->world.now))
        return;
    this->readAt = std::max(this->readAt, update.requestedAt);
    if (before.revision != 0 && before.era != this->view.version().era)
        this->eraChanged(before.era, lacked);
    const FleetView::Member *own = this->view.currentMember(this->world.options.instance);
    if (own != nullptr)
        this->ownRevision = std::max(this->ownRevision, own->version.revision);
    const bool registrationLost = own == nullptr ? this->view.revision() >= this->ownRevision
                                                 : own->version.revision >= this->ownRevision
                                                       && own->record.incarnation != this->desired.incarnation;
    if (this->registered && registrationLost) {
        // Without a registration no instance that replaces a primary waits for this one.
        this->registered = false;
        this->resetVerification();
        this->ownRevision = own == nullptr ? 0 : own->version.revision;
    } else if (own == nullptr && !this->registered && this->writeCall == 0) {
        this->ownRevision = 0;
    }
    this->countInstances();
    this->acceptVerification(update.requestedAt);
}

void RegistrationSystem::eraChanged(std::uint64_t earlier, bool lacked)
{
    this->lackedEarlierEra = lacked;
    this->world.log(LogLevel::Warning, "store-era-changed",
                    {{"era", std::to_string(this->view.version().era)},
                     {"earlier", std::to_string(earlier)},
                     {"lacked", lacked ? "true" : "false"},
                     {"revision", std::to_string(this->view.revision())}});
    this->world.counters.add("jujubekeel_pool_store_era_changes_total");
    if (this->unregistering)
        return;
    // The store may have lost the registration, and its revisions have another meaning. What was verified before stays
    // valid until the authority lease expires.
    this->registered = false;
    this->written = MemberRecord{};
    this->writeCall = 0;
    this->ownRevision = 0;
    // The store may have lost the declaration of a candidate that this instance uses, so that the holder may choose
    // another one.
    this->world.services.forEach([this](ServiceId, const ServiceRow &service) {
        if (!service.changing)
            this->clearReleased(service.name);
    });
}

void RegistrationSystem::membersReported(const FleetUpdate &update)
{
    if (this->registered || this->writeCall != 0)
        return;
    if (this->view.apply(update, this->world.now))
        this->countInstances();
}

void RegistrationSystem::countInstances()
{
    const auto &members = this->view.members();
    const auto present = std::count_if(members.begin(), members.end(),
                                       [](const auto &entry) { return !entry.second.record.isEvicted(); });
    this->world.instances = static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(present, 1));
}

void RegistrationSystem::serversListed()
{
    this->world.serversListed = true;
    if (this->world.serversFirstListedAt.count() == 0)
        this->world.serversFirstListedAt = this->world.now;
    this->updateServing();
}

void RegistrationSystem::updateServing()
{
    if (!this->registered || this->world.fleetVerifiedAt.count() == 0 || !this->world.serversListed)
        return;
    // From now on this instance may accept results of primaries, also for relayed work.
    this->world.role = FleetRole::Member;
    if (this->desired.state == MemberState::Joining)
        this->desired.state = MemberState::Serving;
}

void RegistrationSystem::acceptVerification(TimePoint requestedAt)
{
    if (!this->registered || requestedAt < this->registeredAt)
        return;
    // Once the authority lease has expired, others may have stopped waiting for this instance; it registers again
    // before it continues.
    if (this->world.fleetVerifiedAt.count() != 0
        && this->world.now - this->world.fleetVerifiedAt > this->world.options.authorityLease) {
        this->world.log(LogLevel::Warning, "leadership-lapsed",
                        {{"ageMs", std::to_string((this->world.now - this->world.fleetVerifiedAt).count() / 1000)}});
        this->registered = false;
        this->world.fleetVerifiedAt = TimePoint{0};
        this->desired.renewals += 1;
        return;
    }
    if (!this->isEraRecovered() && requestedAt < this->recoveryEnd())
        return;
    this->world.fleetVerifiedAt = std::max(this->world.fleetVerifiedAt, requestedAt);
    this->updateServing();
}

void RegistrationSystem::resetVerification()
{
    this->world.fleetVerifiedAt = TimePoint{0};
    this->world.services.forEach([](ServiceId, ServiceRow &service) { service.leadershipVerifiedAt = TimePoint{0}; });
}

bool RegistrationSystem::writeFinished(const WriteOutcome &outcome)
{
    if (outcome.call == 0 || outcome.call != this->writeCall)
        return false;
    this->writeCall = 0;
    if (this->unregistering) {
        this->unregistered = true;
        return true;
    }
    // A write that took effect in an era that this instance has not seen yet registers it, but under a revision whose
    // history is unknown. It is repeated when the objects have been listed.
    if (outcome.result == WriteResult::Ok && outcome.era == this->view.version().era) {
        this->ownRevision = outcome.revision;
        if (!this->registered) {
            this->registered = true;
            this->vacancyFound = false;
            if (!this->world.isRelaying())
                this->world.role = FleetRole::Member;
            this->registeredAt = this->world.now;
            this->world.log(
                LogLevel::Info, "registered",
                {{"revision", std::to_string(outcome.revision)}, {"renewals", std::to_string(this->written.renewals)}});
        }
    } else {
        this->written = MemberRecord{};
        this->writeAgainAt = this->world.now + this->options.writeRetryDelay;
    }
    this->publish();
    return true;
}

void RegistrationSystem::publish()
{
    if (this->view.revision() == 0 || this->writeCall != 0 || this->unregistering)
        return;
    if (this->world.now < this->writeAgainAt || (this->registered && this->desired == this->written))
        return;
    if (!this->registered && !this->mayRegister()) {
        if (this->hasOtherMembers())
            this->world.role = FleetRole::Relaying;
        return;
    }
    if (!this->desired.knownSince)
        this->desired.knownSince = this->world.options.firstStart ? StoreVersion{} : this->view.version();
    this->desired.era = this->view.version().era;
    this->written = this->desired;
    this->writeCall = this->world.takeCall();
    this->world.emit(WriteFleetObject{.call = this->writeCall,
                                      .name = FleetView::memberName(this->world.options.instance),
                                      .expectedRevision = this->ownRevision,
                                      .content = this->written.toText()});
}

bool RegistrationSystem::mayRegister()
{
    const PoolOptions &pool = this->world.options;
    if (pool.relayAddress.empty() || this->view.member(pool.instance) != nullptr)
        return true;

    // The members are divided among the failure domains, so that a domain that is cut off has members of its own.
    const auto limit = this->world.routes ? this->world.routes->smallestConnectionLimit() : std::nullopt;
    if (!limit)
        return false;
    const std::uint32_t sharedConnections = *limit > pool.spareConnections ? *limit - pool.spareConnections : 1;
    const std::uint32_t memberLimit =
        std::clamp(sharedConnections / pool.linksPerServer, pool.minMembers, pool.maxMembers);
    const auto domains = static_cast<std::uint32_t>(std::max<std::size_t>(pool.regionOf.size(), 1));
    const auto &members = this->view.members();
    const auto present = std::count_if(members.begin(), members.end(), [&](const auto &entry) {
        const MemberRecord &record = entry.second.record;
        return !record.isEvicted() && record.state != MemberState::Leaving && record.failureDomain == pool.failureDomain
               && !this->isTimedOut(entry.first);
    });
    if (static_cast<std::uint32_t>(present) >= std::max<std::uint32_t>(memberLimit / domains, 1)) {
        this->vacancyFound = false;
        return false;
    }
    // Instances that see the same vacancy register in different time slots, so that the later ones see the registration
    // of the first.
    if (!this->vacancyFound)
        this->vacancySince = this->world.now;
    this->vacancyFound = true;
    if (this->isVacancyDue())
        return this->readAt >= this->vacancyDue();
    this->world.timers.add(this->vacancyDue(), TimerKind::Vacancy);
    return false;
}

TimePoint RegistrationSystem::vacancyDue() const
{
    const std::size_t slot = std::hash<std::string>{}(this->world.options.instance) % this->options.registrationSlots;
    return this->vacancySince + this->options.registrationSlotInterval * static_cast<std::int64_t>(slot);
}

bool RegistrationSystem::isVacancyDue() const
{
    return this->vacancyFound && this->world.now >= this->vacancyDue();
}

bool RegistrationSystem::isTimedOut(const std::string &member) const
{
    // The record of a member that has ended for good remains in the store until a primary is replaced.
    const auto found = this->world.memberById.find(member);
    if (found == this->world.memberById.end())
        return false;
    const ServerRow &row = this->world.servers.at(found->second);
    return row.unreachableSince.count() != 0 && this->world.now - row.unreachableSince >= this->options.memberTimeout;
}

bool RegistrationSystem::hasOtherMembers() const
{
    const auto &members = this->view.members();
    return std::any_of(members.begin(), members.end(), [this](const auto &entry) {
        const MemberRecord &record = entry.second.record;
        return entry.first != this->world.options.instance && !record.isEvicted()
               && record.state == MemberState::Serving;
    });
}

void RegistrationSystem::announceLeave()
{
    this->desired.state = MemberState::Leaving;
    if (this->registered)
        this->publish();
}

void RegistrationSystem::unregister()
{
    if (this->unregistering)
        return;
    this->unregistering = true;
    if (this->ownRevision == 0) {
        this->unregistered = true;
        return;
    }
    this->registered = false;
    this->resetVerification();
    this->writeCall = this->world.takeCall();
    this->world.emit(DeleteFleetObject{.call = this->writeCall,
                                       .name = FleetView::memberName(this->world.options.instance),
                                       .expectedRevision = this->ownRevision});
}

TimePoint RegistrationSystem::verifiedAt() const
{
    return this->world.fleetVerifiedAt;
}

bool RegistrationSystem::isFleetViewCurrent() const
{
    return this->world.fleetVerifiedAt.count() != 0
           && this->world.now - this->world.fleetVerifiedAt <= this->options.maxFleetViewAge;
}

bool RegistrationSystem::isEraRecovered() const
{
    return this->view.isEraRecovered() || (this->world.options.firstStart && !this->view.remembersEarlierEra());
}

bool RegistrationSystem::isLeadershipKnown(std::string_view service) const
{
    if (!this->mayLackEarlierEra())
        return true;
    const FleetView::Record *known = this->view.record(service);
    return known != nullptr && known->record.era == this->view.version().era;
}

bool RegistrationSystem::knowsAllCommits(std::optional<StoreVersion> primarySince) const
{
    if (!primarySince || this->view.memberLostAt() > *primarySince)
        return false;
    const auto isCovered = [&](const MemberRecord &record) {
        return record.knownSince && *record.knownSince <= *primarySince;
    };
    const auto &members = this->view.members();
    return isCovered(this->desired) && std::all_of(members.begin(), members.end(), [&](const auto &entry) {
               return entry.first == this->world.options.instance || isCovered(entry.second.record);
           });
}

TimePoint RegistrationSystem::recoveryEnd() const
{
    return this->view.eraSeenAt() + (this->mayLackEarlierEra() ? this->options.entryWait : this->options.recoveryWait);
}

bool RegistrationSystem::isRecovering() const
{
    return !this->isEraRecovered() && this->world.now < this->recoveryEnd();
}

bool RegistrationSystem::awaitsEntries() const
{
    return !this->isEraRecovered() && this->world.now < this->view.eraSeenAt() + this->options.entryWait;
}

bool RegistrationSystem::awaitsVerification() const
{
    if (!this->registered)
        return this->writeCall != 0 && !this->unregistering;
    if (this->isRecovering())
        return false;
    return this->verifiedAt().count() == 0 || (!this->isEraRecovered() && this->verifiedAt() < this->recoveryEnd());
}

Duration RegistrationSystem::leaseExpiryTime() const
{
    return this->world.options.authorityLease + this->options.leaseMargin;
}

void RegistrationSystem::setView(const std::string &service, std::optional<PrimaryView> primaryView)
{
    if (primaryView)
        this->desired.views[service] = *primaryView;
    else
        this->desired.views.erase(service);
}

void RegistrationSystem::setReleased(const std::string &service, std::uint64_t epoch, LogPosition seen)
{
    this->desired.released[service] = epoch;
    if (seen != LogPosition{})
        this->desired.seen[service] = seen;
}

void RegistrationSystem::clearReleased(const std::string &service)
{
    this->desired.released.erase(service);
    this->desired.seen.erase(service);
}

void RegistrationSystem::clearReleasedBefore(const std::string &service, std::uint64_t epoch)
{
    const auto released = this->desired.released.find(service);
    if (released != this->desired.released.end() && released->second < epoch)
        this->clearReleased(service);
}

} // namespace Jujubekeel
