#include "leadership/replacementsystem.h"

#include "leadership/groupsystem.h"
#include "leadership/leadershipsystem.h"
#include "leadership/registrationsystem.h"
#include "pool/linksystem.h"
#include "pool/poolworld.h"

#include <algorithm>
#include <vector>

namespace Jujubekeel {

namespace {

/// A status request that is not answered within this time is sent again on another connection. The answer of a busy
/// server may take longer, as the request takes a slot.
constexpr Duration statusRepeat = std::chrono::milliseconds(400);
/// Timeout of a status request.
constexpr Duration statusTimeout = std::chrono::milliseconds(2000);

/// Bits of a fencing token that hold the revision.
constexpr unsigned revisionBits = 40;

/// Rises with each announcement also when the store has returned from an older copy and gives out revisions again.
std::uint64_t fencingToken(StoreVersion announced)
{
    return (announced.era << revisionBits) + announced.revision;
}

/// Bits of an epoch below the era.
constexpr unsigned epochBits = 32;

bool hasReleased(const FleetView::Member &member, const ServiceRow &service, std::uint64_t epoch)
{
    return member.record.hasReleased(service.name, epoch);
}

} // namespace

ReplacementSystem::ReplacementSystem(PoolWorld &poolWorld, LinkSystem &linkSystem, LeadershipSystem &leadershipSystem,
                                     RegistrationSystem &registrationSystem, const GroupSystem &groupSystem,
                                     LeadershipOptions leadershipOptions)
    : world(poolWorld), links(linkSystem), leadership(leadershipSystem), registration(registrationSystem),
      group(groupSystem), options(leadershipOptions)
{
}

void ReplacementSystem::check()
{
    // Without a configuration it is not known which services have synchronous replicas.
    if (this->registration.isRecovering() || !this->world.routes)
        return;
    std::vector<std::pair<ServiceId, bool>> due;
    std::vector<ServiceId> unfinished;
    std::vector<ServiceId> unknown;
    this->world.forEachDatabase([&](ServiceId id, ServiceRow &service) {
        if (this->replacements.contains(id))
            return;
        const FleetView::Record *known = this->registration.fleet().record(service.name);
        // Without leadership that is known the servers are asked, also about a replacement that an earlier record shows.
        if (this->leadership.shouldFindPrimary(id)) {
            unknown.push_back(id);
            return;
        }
        if (!this->registration.isLeadershipKnown(service.name))
            return;
        // The announcement would be conditional on a record that is about to be written again.
        if (known != nullptr && known->lost)
            return;
        const bool own = known != nullptr && known->record.holder == this->world.options.instance;
        bool planned = false;
        if (own && known->record.changing)
            unfinished.push_back(id);
        else if (this->leadership.shouldReplace(id, planned) && this->hasCandidate(service, planned))
            due.emplace_back(id, planned);
    });
    for (const ServiceId id : unfinished)
        this->resume(id);
    for (const auto &[id, planned] : due)
        this->begin(id, planned);
    for (const ServiceId id : unknown)
        this->findPrimary(id);
}

bool ReplacementSystem::hasCandidate(const ServiceRow &service, bool planned) const
{
    // A server that leaves too is no reason to interrupt the work of a primary that serves.
    return std::any_of(service.servers.begin(), service.servers.end(), [&](ServerId server) {
        return server != service.primary && !(planned && this->world.servers.at(server).entry.draining);
    });
}

void ReplacementSystem::resume(ServiceId id)
{
    // This instance announced the replacement, but the answer to the write was lost or the process has been restarted.
    const FleetView::Record &known = *this->registration.fleet().record(this->world.services.at(id).name);
    Replacement replacement{.step = Step::AwaitRelease,
                            .record = known.record,
                            .expectedRevision = known.version.revision,
                            .announced = known.version,
                            .startedAt = this->world.now,
                            .announcedAt = this->world.now,
                            .stepAt = this->world.now};
    this->world.log(LogLevel::Warning, "replacement-resumed",
                    {{"service", this->world.services.at(id).name},
                     {"epoch", std::to_string(known.record.epoch)},
                     {"candidate", known.record.candidate},
                     {"declared", known.record.declared ? "true" : "false"}});
    this->replacements.emplace(id, std::move(replacement));
    this->scheduleAdvance(this->options.stepInterval);
}

ReplacementSystem::Replacement ReplacementSystem::prepare(const ServiceRow &service, std::string_view primary) const
{
    const FleetView::Record *known = this->registration.fleet().record(service.name);
    Replacement replacement{.startedAt = this->world.now, .stepAt = this->world.now};
    replacement.expectedRevision = known == nullptr ? 0 : known->version.revision;
    std::uint64_t epoch = (known == nullptr ? 0 : known->record.epoch) + 1;
    // The store may have lost later epochs, which other instances still know.
    if (this->registration.mayLackEarlierEra())
        epoch = std::max(epoch, this->registration.fleet().version().era << epochBits);
    replacement.record =
        LeadershipRecord{.epoch = epoch,
                         .term = std::max(service.term, known == nullptr ? 0 : known->record.term),
                         .primary = std::string(primary),
                         .primarySince = known == nullptr ? StoreVersion{} : known->record.primarySince,
                         .changing = true,
                         .holder = this->world.options.instance};
    if (known != nullptr && known->record.changing) {
        // An earlier holder may have promoted its candidate already. In this epoch another one may be chosen.
        replacement.record.candidate = known->record.candidate;
        replacement.record.termAbove = known->record.termAbove;
    }
    return replacement;
}

void ReplacementSystem::findPrimary(ServiceId id)
{
    const ServiceRow &service = this->world.services.at(id);
    Replacement replacement = this->prepare(service, {});
    replacement.step = Step::Examine;
    this->world.log(LogLevel::Warning, "primary-unknown",
                    {{"service", service.name},
                     {"servers", std::to_string(service.servers.size())},
                     {"epoch", std::to_string(replacement.record.epoch)},
                     {"era", std::to_string(this->registration.fleet().version().era)}});
    this->world.counters.add("jujubekeel_pool_primaries_unknown_total");
    this->replacements.emplace(id, std::move(replacement));
    this->scheduleAdvance(Duration{0});
}

void ReplacementSystem::begin(ServiceId id, bool planned)
{
    const ServiceRow &service = this->world.services.at(id);
    Replacement replacement = this->prepare(service, service.primaryId);
    replacement.record.planned = planned;
    this->world.log(
        LogLevel::Warning, "replacement-started",
        {{"service", service.name},
         {"primary", service.primaryId},
         {"planned", planned ? "true" : "false"},
         {"epoch", std::to_string(replacement.record.epoch)},
         {"knowledgeAgeMs", std::to_string((this->world.now - this->registration.verifiedAt()).count() / 1000)}});
    this->world.counters.add("jujubekeel_pool_replacements_total");
    Replacement &row = this->replacements.emplace(id, std::move(replacement)).first->second;
    this->writeRecord(id, row, row.record);
    this->scheduleAdvance(this->options.stepInterval);
}

void ReplacementSystem::writeRecord(ServiceId id, Replacement &replacement, const LeadershipRecord &record)
{
    LeadershipRecord written = record;
    written.era = this->registration.fleet().version().era;
    replacement.call = this->world.takeCall();
    this->world.emit(WriteFleetObject{.call = replacement.call,
                                      .name = FleetView::recordName(this->world.services.at(id).name),
                                      .expectedRevision = replacement.expectedRevision,
                                      .content = written.toText()});
}

void ReplacementSystem::enter(Replacement &replacement, Step step)
{
    replacement.step = step;
    replacement.stepAt = this->world.now;
    replacement.retryAt = TimePoint{0};
    replacement.statuses.clear();
    replacement.statusReceivedAt.clear();
    replacement.waitLoggedAt = TimePoint{0};
    this->scheduleAdvance(Duration{0});
}

void ReplacementSystem::scheduleAdvance(Duration delay)
{
    const TimePoint due = this->world.now + delay;
    if (this->advanceAt > this->world.now && this->advanceAt <= due)
        return;
    this->advanceAt = due;
    this->world.timers.add(due, TimerKind::Replacement);
}

void ReplacementSystem::eraChanged()
{
    // A replacement whose record this instance still knows is resumed under the revisions of the new era.
    this->replacements.clear();
    this->evictionCalls.clear();
}

bool ReplacementSystem::writeFinished(const WriteOutcome &outcome)
{
    if (this->evictionCalls.erase(outcome.call) > 0)
        return true;
    for (auto &[id, replacement] : this->replacements) {
        if (replacement.call != outcome.call)
            continue;
        replacement.call = 0;
        const StoreVersion written{.era = outcome.era, .revision = outcome.revision};
        const bool succeeded = outcome.result == WriteResult::Ok;
        const bool inAnotherEra = succeeded && written.era != this->registration.fleet().version().era;
        const bool unannounced = !succeeded && replacement.step == Step::Announce;
        if (inAnotherEra || unannounced || outcome.result == WriteResult::Conflict) {
            // Another instance was first, the store is unavailable, or it has returned from an older copy that this
            // instance has not read yet. If the write took effect nevertheless, the record will show it and the
            // replacement is resumed.
            this->replacements.erase(id);
        } else if (succeeded && replacement.step == Step::Announce) {
            replacement.announced = written;
            replacement.expectedRevision = outcome.revision;
            replacement.announcedAt = this->world.now;
            this->enter(replacement, Step::AwaitRelease);
        } else if (succeeded && replacement.step == Step::Declare) {
            replacement.expectedRevision = outcome.revision;
            this->enter(replacement, Step::Promote);
        } else if (succeeded) {
            if (replacement.step == Step::Record)
                this->world.log(LogLevel::Info, "replacement-finished",
                                {{"service", this->world.services.at(id).name},
                                 {"primary", replacement.record.candidate},
                                 {"tookMs", std::to_string((this->world.now - replacement.startedAt).count() / 1000)}});
            this->replacements.erase(id);
        } else {
            replacement.retryAt = this->world.now + this->options.callRetryDelay;
        }
        return true;
    }
    return false;
}

bool ReplacementSystem::promotionFinished(const PromotionOutcome &outcome)
{
    for (auto &[id, replacement] : this->replacements) {
        if (replacement.call != outcome.call)
            continue;
        replacement.call = 0;
        switch (outcome.result) {
        case PromotionResult::Ok:
            this->enter(replacement, Step::AwaitPromotion);
            break;
        case PromotionResult::NotRunning:
            this->announceAgain(id, replacement);
            break;
        case PromotionResult::Unavailable:
            replacement.retryAt = this->world.now + this->options.callRetryDelay;
            break;
        }
        return true;
    }
    return false;
}

void ReplacementSystem::advance()
{
    std::vector<ServiceId> ids;
    for (const auto &[id, replacement] : this->replacements)
        ids.push_back(id);
    for (const ServiceId id : ids) {
        if (!this->advanceOne(id, this->replacements.at(id)))
            this->replacements.erase(id);
    }
    if (!this->replacements.empty())
        this->scheduleAdvance(this->options.stepInterval);
}

bool ReplacementSystem::isSuperseded(const ServiceRow &service, const Replacement &replacement) const
{
    const FleetView::Record *known = this->registration.fleet().record(service.name);
    return known != nullptr && known->version.revision > replacement.expectedRevision;
}

bool ReplacementSystem::advanceOne(ServiceId id, Replacement &replacement)
{
    const ServiceRow &service = this->world.services.at(id);
    if (replacement.step != Step::Announce && this->isSuperseded(service, replacement))
        return replacement.call != 0;
    if (replacement.call != 0 || this->world.now < replacement.retryAt)
        return true;
    switch (replacement.step) {
    case Step::Announce:
        return false;
    case Step::Examine:
        return this->examine(id, replacement);
    case Step::AwaitRelease:
        // The view of the members must be at least as recent as the announcement.
        if (this->registration.fleet().version() < replacement.announced || !this->allReleased(service, replacement))
            return true;
        this->evictSilentMembers(service, replacement);
        // A candidate that was declared before this instance resumed the replacement may be in use already.
        this->enter(replacement, replacement.record.declared ? Step::Promote : Step::Choose);
        return true;
    case Step::Abandon:
        this->writeAbandonment(id, replacement);
        return true;
    case Step::Choose:
        if (this->choose(id, replacement)) {
            this->enter(replacement, Step::Declare);
            this->writeRecord(id, replacement, replacement.record);
        }
        return true;
    case Step::Declare:
        this->writeRecord(id, replacement, replacement.record);
        return true;
    case Step::Promote:
        this->promote(id, replacement);
        return true;
    case Step::AwaitPromotion: {
        const auto known = replacement.statuses.find(replacement.record.candidate);
        const bool isPromoted = known != replacement.statuses.end() && known->second.isPrimary
                                && known->second.term > replacement.record.termAbove;
        if (isPromoted) {
            replacement.record.term = known->second.term;
            this->enter(replacement, Step::Record);
            this->writeResult(id, replacement);
        } else if (this->world.now - replacement.stepAt > this->options.promotionTimeout) {
            this->announceAgain(id, replacement);
        } else if (!this->isStatusCurrent(replacement, replacement.record.candidate, this->options.stepInterval)) {
            this->requestStatus(replacement, replacement.record.candidate);
        }
        return true;
    }
    case Step::Record:
        this->writeResult(id, replacement);
        return true;
    }
    return true;
}

bool ReplacementSystem::examine(ServiceId id, Replacement &replacement)
{
    const ServiceRow &service = this->world.services.at(id);
    // The first primary has registered after all.
    if (this->registration.isLeadershipKnown(service.name) && !service.primaryId.empty())
        return false;
    const std::vector<CandidateState> candidates = this->collectCandidates(service, replacement);
    this->requestStatuses(service, replacement, candidates);
    const bool allAnswered =
        std::all_of(candidates.begin(), candidates.end(), [](const auto &candidate) { return candidate.status; });
    if (!allAnswered && this->world.now - replacement.stepAt < this->options.evidenceWait)
        return true;
    // A server that leads the newest term of all replaced the others. One that does not answer may lead a newer term, also
    // one that is not listed; which ones there are is known only with synchronous replicas.
    const bool isAnyUnlisted =
        this->world.syncReplicas(service.name) > 0 && this->group.countUnlisted(id, std::string_view()) > 0;
    const auto leads = [](const CandidateState &candidate) { return candidate.hasTakenOver; };
    const auto leader = std::find_if(candidates.begin(), candidates.end(), leads);
    if (allAnswered && !isAnyUnlisted && leader != candidates.end()) {
        this->world.log(LogLevel::Info, "primary-found",
                        {{"service", service.name},
                         {"primary", leader->id},
                         {"term", std::to_string(leader->status->term)},
                         {"answered", std::to_string(candidates.size())}});
        replacement.record.candidate = leader->id;
        replacement.record.term = leader->status->term;
        this->enter(replacement, Step::Record);
        this->writeResult(id, replacement);
        return true;
    }
    this->enter(replacement, Step::Announce);
    this->writeRecord(id, replacement, replacement.record);
    return true;
}

void ReplacementSystem::announceAgain(ServiceId id, Replacement &replacement)
{
    // The candidate may still become primary, and other instances would use it: an earlier promotion call whose answer
    // was lost may have taken effect. They have to release it before another server is chosen.
    this->world.log(LogLevel::Warning, "candidate-refused",
                    {{"service", this->world.services.at(id).name},
                     {"candidate", replacement.record.candidate},
                     {"epoch", std::to_string(replacement.record.epoch)}});
    replacement.refused.insert(replacement.record.candidate);
    replacement.record.epoch += 1;
    replacement.record.declared = false;
    this->enter(replacement, Step::Announce);
    this->writeRecord(id, replacement, replacement.record);
}

bool ReplacementSystem::allReleased(const ServiceRow &service, const Replacement &replacement) const
{
    // An instance whose authority lease has expired accepts no results of the old primary any more.
    const Duration expiry = this->registration.leaseExpiryTime();
    if (this->world.now - replacement.announcedAt >= expiry)
        return true;
    const FleetView &fleet = this->registration.fleet();
    const bool earlierLeasesExpired = this->world.now - fleet.eraSeenAt() >= expiry;
    // The store may have lost registrations that this instance has never read.
    if (this->registration.mayLackEarlierEra() && !earlierLeasesExpired)
        return false;
    const auto &members = fleet.members();
    return std::all_of(members.begin(), members.end(), [&](const auto &entry) {
        if (entry.first == this->world.options.instance)
            return service.epoch >= replacement.record.epoch && (service.released || !service.changing);
        const bool registered =
            entry.second.version.era == fleet.version().era && !entry.second.record.isOutdated(fleet.version().era);
        if (!registered && earlierLeasesExpired)
            return true;
        // It may use a candidate whose declaration the store has lost.
        if (!registered && !replacement.record.declared)
            return false;
        // An evicted instance may act on its old fleet view until its authority lease expires.
        if (entry.second.record.isEvicted())
            return this->world.now - entry.second.seenAt >= expiry;
        return hasReleased(entry.second, service, replacement.record.epoch);
    });
}

void ReplacementSystem::evictSilentMembers(const ServiceRow &service, const Replacement &replacement)
{
    const Duration expiry = this->registration.leaseExpiryTime();
    for (const auto &[instance, member] : this->registration.fleet().members()) {
        if (instance == this->world.options.instance || hasReleased(member, service, replacement.record.epoch))
            continue;
        // A registration that the store has lost cannot be evicted.
        if (member.version.era != this->registration.fleet().version().era)
            continue;
        const bool evicted = member.record.isEvicted();
        if (evicted && this->world.now - member.seenAt < expiry)
            continue;
        // An instance that is still running registers again. If it has just done so, the expected revision prevents the
        // eviction.
        const std::uint64_t call = this->world.takeCall();
        this->evictionCalls.insert(call);
        const std::string name = FleetView::memberName(instance);
        if (evicted) {
            this->world.emit(
                DeleteFleetObject{.call = call, .name = name, .expectedRevision = member.version.revision});
            continue;
        }
        this->world.emit(WriteFleetObject{.call = call,
                                          .name = name,
                                          .expectedRevision = member.version.revision,
                                          .content = MemberRecord{}.toText()});
        this->world.log(LogLevel::Warning, "member-struck-off", {{"member", instance}, {"service", service.name}});
    }
}

void ReplacementSystem::requestStatus(Replacement &replacement, const std::string &server)
{
    const auto found = this->world.serverById.find(server);
    if (found == this->world.serverById.end())
        return;
    const auto requested = replacement.statusRequestedAt.find(server);
    if (requested != replacement.statusRequestedAt.end() && this->world.now - requested->second < statusRepeat)
        return;
    const LinkId link = this->links.findFree(found->second, SessionId{});
    ServerRow &row = this->world.servers.at(found->second);
    if (!link.isValid()) {
        row.reservedUntil = this->world.now + 2 * this->options.stepInterval;
        this->links.ensureOpening(found->second, LinkPurpose::Control);
        return;
    }
    row.reservedUntil = TimePoint{0};
    replacement.statusRequestedAt[server] = this->world.now;
    this->links.send(link, ExchangeKind::Status, ServerCommand{.kind = CommandKind::Status});
    this->links.setDeadline(link, this->world.now + statusTimeout);
}

void ReplacementSystem::statusReceived(ServerId server, const std::optional<ReplicationStatus> &status)
{
    const ServerRow &row = this->world.servers.at(server);
    const auto found = this->replacements.find(row.service);
    if (found == this->replacements.end())
        return;
    found->second.statusRequestedAt.erase(row.entry.id);
    if (!status)
        return;
    found->second.statuses[row.entry.id] = *status;
    found->second.statusReceivedAt[row.entry.id] = this->world.now;
    this->scheduleAdvance(Duration{0});
}

bool ReplacementSystem::choose(ServiceId id, Replacement &replacement)
{
    const ServiceRow &service = this->world.services.at(id);
    const CandidateConditions conditions = this->conditions(id, replacement);
    std::vector<CandidateState> candidates = this->collectCandidates(service, replacement);
    // A server that refused may be running again, and may be the only one that holds all commits.
    const bool waitsLong = conditions.waited >= this->options.evidenceWait;
    if (candidates.empty() || (waitsLong && !replacement.refused.empty())) {
        replacement.refused.clear();
        return false;
    }
    this->requestStatuses(service, replacement, candidates);
    const bool isCatchUpOver = conditions.waited >= this->options.catchUpWait;
    const bool canAbandon = this->canAbandon(replacement);
    const bool needsWholeLog = this->oldPrimaryAnswers(service, replacement) && (canAbandon || !isCatchUpOver);
    const CandidateChoice choice =
        needsWholeLog ? this->chooseCaughtUp(replacement, candidates) : chooseCandidate(candidates, conditions);
    const CandidateState *best = choice.candidate;
    if (best == nullptr) {
        if (needsWholeLog && isCatchUpOver)
            this->abandon(id, replacement, candidates);
        else
            this->logWait(service, replacement, candidates, conditions);
        return false;
    }

    if (best->hasTakenOver) {
        replacement.record.termAbove = best->status->term - 1;
    } else {
        replacement.record.termAbove = replacement.record.term;
        for (const auto &[server, status] : replacement.statuses)
            replacement.record.termAbove = std::max(replacement.record.termAbove, status.term);
    }
    replacement.record.candidate = best->id;
    replacement.record.declared = true;
    // One that has taken over before may have been used since then.
    replacement.candidateSince = best->hasTakenOver ? std::nullopt : std::optional(replacement.announced);
    const auto answered = std::count_if(candidates.begin(), candidates.end(),
                                        [](const CandidateState &candidate) { return candidate.status.has_value(); });
    this->world.log(LogLevel::Info, "candidate-chosen",
                    {{"service", service.name},
                     {"candidate", best->id},
                     {"proof", std::string(toText(choice.proof))},
                     {"received", toText(best->status->received)},
                     {"seen", toText(conditions.seen)},
                     {"seenByAll", conditions.seenByAll ? "true" : "false"},
                     {"syncReplicas", std::to_string(conditions.syncReplicas)},
                     {"answered", std::to_string(answered)},
                     {"of", std::to_string(candidates.size())},
                     {"unlisted", std::to_string(conditions.unlisted)},
                     {"waitedMs", std::to_string(conditions.waited.count() / 1000)},
                     {"token", std::to_string(fencingToken(replacement.announced))}});
    return true;
}

std::vector<CandidateState> ReplacementSystem::collectCandidates(const ServiceRow &service,
                                                                 const Replacement &replacement) const
{
    const std::uint64_t term = this->newestTerm(replacement);
    std::vector<CandidateState> candidates;
    for (const ServerId server : service.servers) {
        const ServerRow &row = this->world.servers.at(server);
        const std::string &name = row.entry.id;
        if (name == replacement.record.primary)
            continue;
        CandidateState candidate{.id = name,
                                 .applied = row.applied,
                                 .isDraining = row.entry.draining,
                                 .isUnreachable = row.unreachableSince.count() != 0 || row.missingSince.count() != 0,
                                 .isRefused = replacement.refused.contains(name)};
        const auto status = replacement.statuses.find(name);
        if (status != replacement.statuses.end() && !candidate.isRefused) {
            candidate.status = status->second;
            candidate.hasTakenOver = this->hasTakenOver(replacement, name);
            candidate.isFound =
                candidate.hasTakenOver && replacement.record.primary.empty() && name != replacement.record.candidate;
            candidate.isStalePrimary = this->isStalePrimary(replacement, name);
            candidate.isOutdated = !candidate.hasTakenOver && status->second.term < term;
        }
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

std::uint64_t ReplacementSystem::newestTerm(const Replacement &replacement) const
{
    std::uint64_t term = replacement.record.term;
    for (const auto &[server, status] : replacement.statuses)
        term = std::max(term, status.term);
    return term;
}

CandidateConditions ReplacementSystem::conditions(ServiceId id, const Replacement &replacement) const
{
    const ServiceRow &service = this->world.services.at(id);
    CandidateConditions conditions{.syncReplicas = this->world.syncReplicas(service.name),
                                   .seen = service.primarySeen,
                                   .seenByAll = this->registration.knowsAllCommits(replacement.record.primarySince),
                                   .waited = this->world.now - replacement.stepAt,
                                   .elapsed = this->world.now - replacement.startedAt,
                                   .statusWait = this->options.statusWait,
                                   .evidenceWait = this->options.evidenceWait,
                                   .absentWait = this->options.absentWait};
    // What was seen before an abandoned replacement, or before a candidate that was refused, still counts.
    const auto &seenBefore = this->registration.own().seen;
    if (const auto seen = seenBefore.find(service.name); seen != seenBefore.end())
        conditions.seen = std::max(conditions.seen, seen->second);
    for (const auto &[instance, member] : this->registration.fleet().members()) {
        if (instance == this->world.options.instance)
            continue;
        conditions.seenByAll = conditions.seenByAll && hasReleased(member, service, replacement.record.epoch);
        const auto seen = member.record.seen.find(service.name);
        if (seen != member.record.seen.end())
            conditions.seen = std::max(conditions.seen, seen->second);
    }
    conditions.countsPrimary = replacement.record.primary.empty() && this->group.isRecorded(id);
    conditions.unlisted = this->group.countUnlisted(id, replacement.record.primary);
    return conditions;
}

bool ReplacementSystem::oldPrimaryAnswers(const ServiceRow &service, const Replacement &replacement) const
{
    const ServerRow *oldRow = this->world.servers.find(service.primary);
    if (!replacement.record.planned || oldRow == nullptr || service.primaryId != replacement.record.primary)
        return false;
    if (oldRow->unreachableSince.count() != 0 || oldRow->silence(this->world.now) >= this->options.silenceLimit)
        return false;
    const auto status = replacement.statuses.find(replacement.record.primary);
    return status == replacement.statuses.end()
           || (status->second.isPrimary && status->second.term >= this->newestTerm(replacement));
}

CandidateChoice ReplacementSystem::chooseCaughtUp(const Replacement &replacement,
                                                  std::span<const CandidateState> candidates) const
{
    const auto source = replacement.statuses.find(replacement.record.primary);
    return source == replacement.statuses.end() ? CandidateChoice{} : findCaughtUpCandidate(candidates, source->second);
}

bool ReplacementSystem::canAbandon(const Replacement &replacement) const
{
    // The candidate of an earlier epoch may have been promoted.
    return !replacement.record.declared && replacement.record.candidate.empty();
}

void ReplacementSystem::abandon(ServiceId id, Replacement &replacement, std::span<const CandidateState> candidates)
{
    const CandidateState *best = bestCandidate(candidates, true);
    const auto source = replacement.statuses.find(replacement.record.primary);
    this->world.log(LogLevel::Error, "replacement-abandoned",
                    {{"service", this->world.services.at(id).name},
                     {"primary", replacement.record.primary},
                     {"epoch", std::to_string(replacement.record.epoch)},
                     {"primaryReceived", source == replacement.statuses.end() ? "" : toText(source->second.received)},
                     {"best", best == nullptr ? "" : best->id},
                     {"bestReceived", best == nullptr ? "" : toText(best->status->received)}});
    this->world.counters.add("jujubekeel_pool_replacements_abandoned_total");
    this->enter(replacement, Step::Abandon);
    this->writeAbandonment(id, replacement);
}

void ReplacementSystem::writeAbandonment(ServiceId id, Replacement &replacement)
{
    LeadershipRecord record = replacement.record;
    record.changing = false;
    record.planned = false;
    record.abandoned = true;
    this->writeRecord(id, replacement, record);
}

bool ReplacementSystem::isStatusCurrent(const Replacement &replacement, const std::string &server,
                                        Duration maxAge) const
{
    const auto received = replacement.statusReceivedAt.find(server);
    return received != replacement.statusReceivedAt.end() && this->world.now - received->second < maxAge;
}

void ReplacementSystem::requestStatuses(const ServiceRow &service, Replacement &replacement,
                                        std::span<const CandidateState> candidates)
{
    const std::string &old = replacement.record.primary;
    const bool isPlanned = this->oldPrimaryAnswers(service, replacement);
    if (isPlanned && !replacement.statuses.contains(old))
        this->requestStatus(replacement, old);
    // A candidate may have received more, or be primary, since it answered.
    const Duration refresh = isPlanned ? this->options.stepInterval : this->options.statusRefresh;
    for (const CandidateState &candidate : candidates) {
        if (!candidate.isRefused && !this->isStatusCurrent(replacement, candidate.id, refresh))
            this->requestStatus(replacement, candidate.id);
    }
}

void ReplacementSystem::logWait(const ServiceRow &service, Replacement &replacement,
                                std::span<const CandidateState> candidates, const CandidateConditions &conditions)
{
    if (conditions.waited < this->options.evidenceWait
        || this->world.now - replacement.waitLoggedAt < this->options.waitLogInterval)
        return;
    replacement.waitLoggedAt = this->world.now;
    std::string missing;
    for (const CandidateState &candidate : candidates) {
        if (!candidate.status)
            missing += (missing.empty() ? "" : " ") + candidate.id;
    }
    const CandidateState *best = bestCandidate(candidates, true);
    this->world.log(LogLevel::Error, "candidates-awaited",
                    {{"service", service.name},
                     {"best", best == nullptr ? "" : best->id},
                     {"received", best == nullptr ? "" : toText(best->status->received)},
                     {"seen", toText(conditions.seen)},
                     {"seenByAll", conditions.seenByAll ? "true" : "false"},
                     {"syncReplicas", std::to_string(conditions.syncReplicas)},
                     {"missing", missing},
                     {"unlisted", std::to_string(conditions.unlisted)},
                     {"waitedMs", std::to_string(conditions.waited.count() / 1000)}});
}

bool ReplacementSystem::isStalePrimary(const Replacement &replacement, const std::string &server) const
{
    // A former primary that has not learned of its replacement; it lacks what its successors have committed.
    return replacement.statuses.at(server).isPrimary && !this->hasTakenOver(replacement, server);
}

bool ReplacementSystem::hasTakenOver(const Replacement &replacement, const std::string &server) const
{
    const ReplicationStatus &status = replacement.statuses.at(server);
    if (!status.isPrimary || server == replacement.record.primary || status.term < this->newestTerm(replacement))
        return false;
    // Promoted by an earlier holder that did not record the result, or by a replacement whose record the store has lost.
    const bool isCandidate = server == replacement.record.candidate && status.term > replacement.record.termAbove;
    return isCandidate || replacement.record.primary.empty();
}

void ReplacementSystem::promote(ServiceId id, Replacement &replacement)
{
    // After a suspension of this process another instance may have become the holder.
    if (!this->registration.isFleetViewCurrent())
        return;
    replacement.call = this->world.takeCall();
    this->world.emit(PromoteServer{.call = replacement.call,
                                   .service = this->world.services.at(id).name,
                                   .server = replacement.record.candidate,
                                   .holder = this->world.options.instance,
                                   .fencingToken = fencingToken(replacement.announced)});
}

void ReplacementSystem::writeResult(ServiceId id, Replacement &replacement)
{
    LeadershipRecord record = replacement.record;
    record.primary = record.candidate;
    record.primarySince = replacement.candidateSince;
    record.candidate.clear();
    record.declared = false;
    record.termAbove = 0;
    record.changing = false;
    record.planned = false;
    record.abandoned = false;
    this->writeRecord(id, replacement, record);
}

} // namespace Jujubekeel
