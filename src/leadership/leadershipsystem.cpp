#include "leadership/leadershipsystem.h"

#include "leadership/registrationsystem.h"
#include "pool/dispatchsystem.h"
#include "pool/poolworld.h"
#include "pool/resultsystem.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace Jujubekeel {

LeadershipSystem::LeadershipSystem(PoolWorld &poolWorld, DispatchSystem &dispatchSystem, ResultSystem &resultSystem,
                                   RegistrationSystem &registrationSystem, LeadershipOptions leadershipOptions)
    : world(poolWorld), dispatch(dispatchSystem), results(resultSystem), registration(registrationSystem),
      options(leadershipOptions)
{
}

void LeadershipSystem::start()
{
    this->scheduleCheck();
}

void LeadershipSystem::fleetUpdated()
{
    if (this->world.role == FleetRole::Member && this->nextCheck <= this->world.now)
        this->scheduleCheck();
    this->world.forEachDatabase([this](ServiceId id, ServiceRow &) { this->refresh(id); });
    this->registration.publish();
}

void LeadershipSystem::scheduleCheck()
{
    this->nextCheck = this->world.now + this->options.checkInterval;
    this->world.timers.add(this->nextCheck, TimerKind::Leadership);
}

void LeadershipSystem::serversChanged()
{
    this->world.forEachDatabase([this](ServiceId id, ServiceRow &) { this->refresh(id); });
}

void LeadershipSystem::refresh(ServiceId id)
{
    if (this->registration.fleet().revision() == 0)
        return;
    ServiceRow &service = this->world.services.at(id);
    const FleetView::Record *known = this->registration.fleet().record(service.name);
    // Epochs decrease only if this instance learned of a restored store after its recovery.
    if (service.epoch > (known == nullptr ? 0 : known->record.epoch))
        this->discardLeadership(id);
    // What the store may have lost is not known from what it still shows: a server that was replaced may not have heard of
    // that, and its entry and an earlier record may name it.
    const bool isKnown = this->registration.isLeadershipKnown(service.name);
    if (isKnown && known != nullptr)
        this->adoptRecord(id, *known);
    else if (isKnown)
        this->adoptReportedPrimary(id);
    if (service.changing && service.released)
        this->adoptCandidate(id);

    // The directory entry of the primary may have appeared or disappeared.
    const auto found = this->world.serverById.find(service.primaryId);
    service.primary = found == this->world.serverById.end() ? ServerId{} : found->second;
    if (service.primary.isValid())
        service.missingSince = TimePoint{0};
    else if (service.missingSince.count() == 0)
        service.missingSince = this->world.now;
    if (isKnown && !service.changing && this->registration.verifiedAt() > service.leadershipVerifiedAt) {
        service.leadershipVerifiedAt = this->registration.verifiedAt();
        this->results.reviewWithheld(id);
    }
    if (!service.queue.empty())
        this->dispatch.dispatchQueued(id);
}

void LeadershipSystem::adoptRecord(ServiceId id, const FleetView::Record &stored)
{
    ServiceRow &service = this->world.services.at(id);
    const LeadershipRecord &record = stored.record;
    if (record.changing) {
        if (service.epoch == record.epoch)
            this->checkCandidate(id, record);
        if (service.epoch >= record.epoch)
            return;
        service.epoch = record.epoch;
        service.changing = true;
        service.released = false;
        service.planned = record.planned;
        service.changingSince = this->world.now;
        if (service.primaryId.empty())
            service.primaryId = record.primary;
        service.candidates.clear();
        for (const ServerId server : service.servers) {
            const ServerEntry &entry = this->world.servers.at(server).entry;
            if (!entry.claimsPrimary && entry.id != record.primary)
                service.candidates.push_back(entry.id);
        }
        this->world.log(LogLevel::Info, "replacement-seen",
                        {{"service", service.name},
                         {"primary", record.primary},
                         {"epoch", std::to_string(record.epoch)},
                         {"holder", record.holder},
                         {"planned", record.planned ? "true" : "false"}});
        this->releaseIfIdle(id);
        return;
    }
    const bool known = service.epoch == record.epoch && !service.changing && service.primaryId == record.primary;
    if (service.epoch > record.epoch || known)
        return;
    this->setPrimary(id, record.primary, record.epoch, record.term);
}

void LeadershipSystem::checkCandidate(ServiceId id, const LeadershipRecord &record)
{
    // An epoch has one candidate. If the record names another one than this instance has adopted, the holder runs a
    // version that chooses again within an epoch, or the store has lost the declaration.
    ServiceRow &service = this->world.services.at(id);
    if (service.changing || !record.declared || record.candidate == service.primaryId)
        return;
    this->world.log(LogLevel::Error, "candidate-contradicted",
                    {{"service", service.name},
                     {"adopted", service.primaryId},
                     {"declared", record.candidate},
                     {"epoch", std::to_string(record.epoch)},
                     {"holder", record.holder}});
    this->world.counters.add("jujubekeel_pool_candidates_contradicted_total");
    service.changing = true;
    service.planned = false;
    service.changingSince = this->world.now;
    this->release(id);
}

void LeadershipSystem::discardLeadership(ServiceId id)
{
    const ServiceRow &service = this->world.services.at(id);
    this->world.log(
        LogLevel::Warning, "leadership-discarded",
        {{"service", service.name}, {"primary", service.primaryId}, {"epoch", std::to_string(service.epoch)}});
    this->setPrimary(id, {}, 0, 0);
    // Epochs start again, and a release of a higher one must not be taken for a release of the next.
    this->registration.clearReleased(service.name);
}

void LeadershipSystem::adoptCandidate(ServiceId id)
{
    // The holder may be unable to record the result. If the declared candidate was a replica at the announcement and
    // now reports itself as primary, it was promoted in this epoch, because promoting another server needs a new
    // announcement. Entries of a store that has just returned from an older copy may be those of before.
    if (this->registration.awaitsEntries())
        return;
    const ServiceRow &service = this->world.services.at(id);
    const FleetView::Record *known = this->registration.fleet().record(service.name);
    if (known == nullptr || known->record.epoch != service.epoch || !known->record.declared)
        return;
    const std::string &candidate = known->record.candidate;
    const auto server = this->world.serverById.find(candidate);
    const bool wasReplica =
        std::find(service.candidates.begin(), service.candidates.end(), candidate) != service.candidates.end();
    if (wasReplica && server != this->world.serverById.end()
        && this->world.servers.at(server->second).entry.claimsPrimary)
        this->setPrimary(id, std::string(candidate), service.epoch, known->record.termAbove + 1);
}

void LeadershipSystem::adoptReportedPrimary(ServiceId id)
{
    // Without a record no primary has ever been replaced, so the roles that the servers report are valid.
    ServiceRow &service = this->world.services.at(id);
    if (!service.primaryId.empty())
        return;
    for (const ServerId server : service.servers) {
        const ServerEntry &entry = this->world.servers.at(server).entry;
        if (entry.claimsPrimary) {
            this->setPrimary(id, entry.id, 0, 0);
            return;
        }
    }
}

void LeadershipSystem::setPrimary(ServiceId id, const std::string &server, std::uint64_t epoch, std::uint64_t term)
{
    ServiceRow &service = this->world.services.at(id);
    this->world.log(LogLevel::Info, "primary-known",
                    {{"service", service.name},
                     {"primary", server},
                     {"earlier", service.primaryId},
                     {"epoch", std::to_string(epoch)}});
    if (!service.released && !service.primaryId.empty())
        this->release(id);
    service.primaryId = server;
    service.epoch = epoch;
    service.term = term;
    service.leadershipGeneration += 1;
    service.changing = false;
    service.released = false;
    service.positions.clear();
    service.primarySeen = LogPosition{};
    service.leadershipVerifiedAt = TimePoint{0};
    this->suspicions.erase(service.name);
    this->drainingSince.erase(service.name);
    this->registration.setView(service.name, std::nullopt);
    // A release of this epoch stays visible, so that a holder that resumes the replacement need not wait for it again.
    this->registration.clearReleasedBefore(service.name, epoch);
}

void LeadershipSystem::releaseIfIdle(ServiceId id)
{
    const ServiceRow &service = this->world.services.at(id);
    if (!service.changing || service.released)
        return;
    const ServerRow *primary = this->world.servers.find(service.primary);
    const bool busy = primary != nullptr && primary->running > 0;
    const bool mayWait = service.planned && this->world.now - service.changingSince < this->options.plannedDrainTimeout;
    if (busy && mayWait)
        return;
    this->release(id);
}

void LeadershipSystem::release(ServiceId id)
{
    ServiceRow &service = this->world.services.at(id);
    service.released = true;
    this->registration.setReleased(service.name, service.epoch, service.primarySeen);
    if (this->world.servers.contains(service.primary)) {
        // Results of statements that still run there can no longer be accepted.
        const std::vector<LinkId> open = this->world.servers.at(service.primary).links;
        for (const LinkId link : open) {
            if (this->world.links.contains(link) && this->world.links.at(link).user.isValid())
                this->results.linkLost(link, LinkEnd::Closed);
        }
    }
    this->results.reviewWithheld(id);
    this->world.log(LogLevel::Info, "primary-released",
                    {{"service", service.name}, {"epoch", std::to_string(service.epoch)}});
}

void LeadershipSystem::check()
{
    if (this->world.now < this->nextCheck)
        return;
    // Relaying instances leave the checks to the members.
    if (this->world.isRelaying())
        return;
    this->scheduleCheck();
    // Entries that lapsed in an outage of the store are back some time after its end.
    if (!this->registration.isFleetViewCurrent())
        this->viewCurrentSince = TimePoint{0};
    else if (this->viewCurrentSince.count() == 0)
        this->viewCurrentSince = this->world.now;
    std::vector<ServiceId> all;
    this->world.forEachDatabase([&](ServiceId id, ServiceRow &) { all.push_back(id); });
    for (const ServiceId id : all) {
        this->releaseIfIdle(id);
        this->checkView(id);
    }
    this->registration.publish();
}

bool LeadershipSystem::isUnreachable(const ServiceRow &service) const
{
    const ServerRow *primary = this->world.servers.find(service.primary);
    const TimePoint now = this->world.now;
    if (primary == nullptr)
        return now - service.missingSince >= this->options.missingLimit;
    if (primary->unreachableSince.count() != 0 && now - primary->unreachableSince >= this->options.connectFailureLimit)
        return true;
    const Duration silence = primary->silence(this->world.now);
    if (silence < this->options.probeAfter)
        return false;
    // A server that is only slow still accepts a connection and answers a position request, which takes no slot.
    const bool connectHangs = std::any_of(primary->links.begin(), primary->links.end(), [&](LinkId id) {
        const LinkRow &link = this->world.links.at(id);
        return !link.connected && now - link.openedAt >= this->options.probeTimeout;
    });
    const bool probeHangs =
        service.positionRequestedAt.count() != 0
        && now - std::max(service.positionRequestedAt, primary->lastAnswerAt) >= this->options.probeTimeout;
    return silence >= this->options.silenceLimit || connectHangs || probeHangs;
}

bool LeadershipSystem::lacksFirstPrimary(const ServiceRow &service) const
{
    if (!service.primaryId.empty() || service.changing || this->viewCurrentSince.count() == 0)
        return false;
    const Duration wait = service.isNew ? this->options.newServicePrimaryWait : this->options.firstPrimaryWait;
    return this->registration.fleet().record(service.name) == nullptr
           && this->world.now - std::max(service.serverAddedAt, this->viewCurrentSince) >= wait;
}

void LeadershipSystem::checkVacancy(const ServiceRow &service)
{
    const bool isKnown = this->registration.isLeadershipKnown(service.name);
    const bool mustBeFound = !isKnown ? !this->registration.isRecovering() : this->lacksFirstPrimary(service);
    if (mustBeFound && !service.servers.empty())
        this->unknownSince.try_emplace(service.name, this->world.now);
    else
        this->unknownSince.erase(service.name);

    const bool isLed = isKnown && !service.primaryId.empty() && !service.changing;
    if (isLed || service.servers.empty()) {
        this->vacancies.erase(service.name);
        return;
    }
    Vacancy &vacancy = this->vacancies.try_emplace(service.name, Vacancy{.since = this->world.now}).first->second;
    if (this->world.now - std::max(vacancy.since, vacancy.loggedAt) < this->options.waitLogInterval)
        return;
    vacancy.loggedAt = this->world.now;
    const FleetView::Record *known = this->registration.fleet().record(service.name);
    this->world.log(LogLevel::Error, "service-without-primary",
                    {{"service", service.name},
                     {"servers", std::to_string(service.servers.size())},
                     {"recorded", known == nullptr ? "" : known->record.primary},
                     {"known", isKnown ? "true" : "false"},
                     {"changing", service.changing ? "true" : "false"},
                     {"holder", known == nullptr ? "" : known->record.holder},
                     {"waitedMs", std::to_string((this->world.now - vacancy.since).count() / 1000)}});
    this->world.counters.add("jujubekeel_pool_vacancies_total");
}

void LeadershipSystem::checkView(ServiceId id)
{
    const ServiceRow &service = this->world.services.at(id);
    this->checkVacancy(service);
    if (service.primaryId.empty() || service.changing) {
        this->suspicions.erase(service.name);
        this->registration.setView(service.name, std::nullopt);
        return;
    }
    const ServerRow *primary = this->world.servers.find(service.primary);
    if (primary != nullptr && primary->entry.draining)
        this->drainingSince.try_emplace(service.name, this->world.now);
    else
        this->drainingSince.erase(service.name);

    if (primary != nullptr && primary->silence(this->world.now) >= this->options.probeAfter)
        this->dispatch.probePrimary(id);

    // This instance publishes its view if it or another instance finds the primary unreachable.
    const bool unreachableHere = this->isUnreachable(service);
    bool unreachableElsewhere = false;
    for (const auto &[instance, member] : this->registration.fleet().members()) {
        const auto seen = member.record.views.find(service.name);
        unreachableElsewhere = unreachableElsewhere
                               || (instance != this->world.options.instance && seen != member.record.views.end()
                                   && seen->second == PrimaryView::Unreachable);
    }
    if (!unreachableHere && !unreachableElsewhere) {
        this->suspicions.erase(service.name);
        this->registration.setView(service.name, std::nullopt);
        return;
    }
    Suspicion &suspicion =
        this->suspicions.try_emplace(service.name, Suspicion{.since = this->world.now}).first->second;
    if (unreachableHere != suspicion.own)
        this->world.log(LogLevel::Warning, unreachableHere ? "primary-unreachable" : "primary-reachable",
                        {{"service", service.name}, {"primary", service.primaryId}});
    suspicion.own = unreachableHere;
    if (unreachableHere) {
        this->registration.setView(service.name, PrimaryView::Unreachable);
    } else if (primary != nullptr && primary->lastAnswerAt > suspicion.since) {
        this->registration.setView(service.name, PrimaryView::Reachable);
    } else {
        // Without recent traffic this instance has no view of its own; a probe provides one.
        this->registration.setView(service.name, std::nullopt);
        this->dispatch.probePrimary(id);
    }
}

std::uint32_t LeadershipSystem::rank(const std::string &service) const
{
    // The instance that last replaced a primary comes first, so that this role rarely moves; then those that have
    // published a view of this primary, which shows that they are running; then the others. Equal ones are ordered by
    // name.
    const std::string holder = this->registration.fleet().lastHolder();
    const std::string &self = this->world.options.instance;
    const auto order = [&](const std::string &instance, const FleetView::Member &member) {
        if (instance == holder)
            return 0;
        return member.record.views.contains(service) ? 1 : 2;
    };
    const FleetView::Member *own = this->registration.fleet().member(self);
    if (own == nullptr)
        return static_cast<std::uint32_t>(this->registration.fleet().members().size());
    const int ownOrder = order(self, *own);
    std::uint32_t before = 0;
    for (const auto &[instance, member] : this->registration.fleet().members()) {
        if (member.record.isEvicted())
            continue;
        const int other = order(instance, member);
        if (other < ownOrder || (other == ownOrder && instance < self))
            before += 1;
    }
    return before;
}

Duration LeadershipSystem::rankedDelay(const std::string &service) const
{
    return this->options.rankDelay * this->rank(service);
}

bool LeadershipSystem::shouldFindPrimary(ServiceId id) const
{
    const ServiceRow &service = this->world.services.at(id);
    const auto unknown = this->unknownSince.find(service.name);
    return unknown != this->unknownSince.end() && this->registration.isRegistered() && !this->world.stopping
           && this->registration.isFleetViewCurrent()
           && this->world.now - unknown->second >= this->rankedDelay(service.name);
}

bool LeadershipSystem::isPausedAfterAbandonment(const ServiceRow &service) const
{
    const FleetView::Record *known = this->registration.fleet().record(service.name);
    return known != nullptr && known->record.abandoned
           && this->world.now - known->seenAt < this->options.plannedRetryDelay + this->rankedDelay(service.name);
}

bool LeadershipSystem::shouldReplace(ServiceId id, bool &planned) const
{
    const ServiceRow &service = this->world.services.at(id);
    planned = !this->isUnreachable(service);
    if (!this->registration.isRegistered() || this->world.stopping)
        return false;
    // Without the store a replacement cannot be announced, and the fleet view may be out of date.
    if (!this->registration.isFleetViewCurrent())
        return false;
    if (service.changing) {
        const FleetView::Record *known = this->registration.fleet().record(service.name);
        return known != nullptr && known->record.changing
               && this->world.now - known->seenAt >= this->options.takeOverAfter + this->rankedDelay(service.name);
    }
    if (service.primaryId.empty())
        return false;
    const auto draining = this->drainingSince.find(service.name);
    if (draining != this->drainingSince.end() && !this->isPausedAfterAbandonment(service)
        && this->world.now - draining->second >= this->rankedDelay(service.name))
        return true;

    // The primary is replaced if more instances find it unreachable than reachable.
    const auto suspicion = this->suspicions.find(service.name);
    if (suspicion == this->suspicions.end())
        return false;
    int balance = 0;
    const auto count = [&](const MemberRecord &record) {
        const auto seen = record.views.find(service.name);
        if (seen != record.views.end())
            balance += seen->second == PrimaryView::Unreachable ? 1 : -1;
    };
    count(this->registration.own());
    for (const auto &[instance, member] : this->registration.fleet().members()) {
        if (instance != this->world.options.instance)
            count(member.record);
    }
    return balance > 0
           && this->world.now - suspicion->second.since >= this->options.viewWait + this->rankedDelay(service.name);
}

} // namespace Jujubekeel
