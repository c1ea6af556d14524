#include "pool/ratelimitsystem.h"

#include "leadership/memberview.h"
#include "membership/rendezvous.h"
#include "pool/linksystem.h"
#include "pool/poolworld.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Jujubekeel {

namespace {

/// A member that has not answered a request by then is passed over. The longest round trip between regions is 20 ms.
constexpr Duration answerTimeout = std::chrono::milliseconds(150);
/// An operation that has waited for so long is refused.
constexpr Duration waitLimit = std::chrono::milliseconds(500);
/// A link whose oldest request has no answer after this time is closed.
constexpr Duration linkSilence = std::chrono::milliseconds(1000);
/// A timer that is overdue by this much shows that the process was suspended. Busy instances are late by 100 ms.
constexpr Duration suspensionLateness = std::chrono::milliseconds(1000);
/// Most operations of one request; more than an instance can run within the validity of a grant.
constexpr std::uint32_t maxWanted = 100'000;

template <typename Number>
std::optional<Number> toNumber(std::string_view text)
{
    Number number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

/// Two numbers with a space between them.
template <typename Number>
std::optional<std::pair<Number, Number>> toNumbers(std::string_view text)
{
    const std::size_t space = text.find(' ');
    if (space == std::string_view::npos)
        return std::nullopt;
    const auto first = toNumber<Number>(text.substr(0, space));
    const auto second = toNumber<Number>(text.substr(space + 1));
    return first && second ? std::optional(std::pair(*first, *second)) : std::nullopt;
}

/// In place of a number of operations: the member is asked for the version of its view of the members.
constexpr std::string_view confirmationWord = "MEMBERS";
constexpr std::string_view anyOrganisation = "-";
/// Between two requests for a confirmation.
constexpr Duration confirmationRetry = std::chrono::milliseconds(300);

std::optional<StoreVersion> toVersion(std::string_view text)
{
    const auto numbers = toNumbers<std::uint64_t>(text);
    if (!numbers)
        return std::nullopt;
    return StoreVersion{.era = numbers->first, .revision = numbers->second};
}

/// Answer of a member: the number of operations and the time after which to retry, in milliseconds.
std::string toText(const RateGrant &grant)
{
    // Rounded up, as a request that comes too early is denied again.
    const auto retry = std::chrono::ceil<std::chrono::milliseconds>(grant.retryAfter);
    return std::to_string(grant.granted) + ' ' + std::to_string(retry.count());
}

std::optional<RateGrant> toGrant(std::string_view text)
{
    const auto numbers = toNumbers<std::uint32_t>(text);
    if (!numbers)
        return std::nullopt;
    return RateGrant{.granted = numbers->first, .retryAfter = std::chrono::milliseconds(numbers->second)};
}

} // namespace

RateLimitSystem::RateLimitSystem(PoolWorld &poolWorld, LinkSystem &linkSystem, Decided onDecision)
    : world(poolWorld), links(linkSystem), decided(std::move(onDecision)), grantor(RateGrantorOptions{})
{
}

void RateLimitSystem::start(std::uint64_t processIncarnation)
{
    this->incarnation = processIncarnation;
    const std::string &instance = this->world.options.instance;
    this->grantor = RateGrantor(RateGrantorOptions{.instance = instance,
                                                   .viewLease = this->world.options.authorityLease,
                                                   .isFirstStart = this->world.options.firstStart});
    this->spender = RateSpender();
    this->self = RateMember{.name = instance, .region = this->world.options.region};
}

bool RateLimitSystem::isLimited(const SessionRow &session)
{
    return !session.relayed && session.organisation && session.organisation->limit;
}

RateDecision RateLimitSystem::admit(SessionId id)
{
    const std::string &organisation = this->world.sessions.at(id).organisation->name;
    const RateDecision first = this->spender.tryTake(organisation, this->world.now);
    this->count(first);
    if (first.verdict != RateVerdict::Wait) {
        this->sendRequests();
        return first;
    }
    std::deque<Waiting> &queue = this->waiting[organisation];
    queue.push_back(Waiting{.session = id, .deadline = this->world.now + waitLimit});
    this->sendRequests();
    // This instance may have granted the operation itself. Earlier ones are decided first, outside this call.
    if (queue.size() > 1 || this->ranks.isEmpty()) {
        this->armTimer(this->answered.empty() ? queue.front().deadline : this->world.now);
        return first;
    }
    std::erase(this->answered, organisation);
    const RateDecision second = this->spender.takeWaiting(organisation, this->world.now);
    this->count(second);
    if (second.verdict == RateVerdict::Wait)
        this->armTimer(queue.front().deadline);
    else
        this->waiting.erase(organisation);
    return second;
}

void RateLimitSystem::count(const RateDecision &decision)
{
    if (decision.verdict == RateVerdict::Taken)
        this->world.counters.add("jujubekeel_pool_rate_taken_total");
}

void RateLimitSystem::giveBack(const SessionRow &session)
{
    if (!isLimited(session))
        return;
    const std::string &organisation = session.organisation->name;
    this->spender.giveBack(organisation, this->world.now);
    this->world.counters.add("jujubekeel_pool_rate_given_back_total");
    if (!this->waiting.contains(organisation))
        return;
    // The operation that waits is decided outside this call.
    this->answered.push_back(organisation);
    this->armTimer(this->world.now);
}

void RateLimitSystem::removeWaiting(SessionId id, std::string_view organisation)
{
    const auto found = this->waiting.find(organisation);
    if (found == this->waiting.end())
        return;
    const std::size_t removed =
        std::erase_if(found->second, [&](const Waiting &operation) { return operation.session == id; });
    if (removed > 0)
        this->spender.removeWaiting(organisation);
    if (found->second.empty())
        this->waiting.erase(found);
}

void RateLimitSystem::sendRequests()
{
    // Before the members are known, operations wait.
    if (this->ranks.isEmpty())
        return;
    while (const auto request = this->spender.nextRequest(this->world.now))
        this->sendRequest(*request);
}

void RateLimitSystem::sendRequest(const RateRequest &request)
{
    const std::string member(this->ranks.askOrder(request.organisation, this->self)[request.place]);
    if (member == this->world.options.instance) {
        this->checkSuspension();
        this->spender.granted(request, this->grantor.grant(request.organisation, request.wanted, this->world.now),
                              this->world.now);
        this->answered.push_back(request.organisation);
        return;
    }
    const LinkId link = this->requestLink(member);
    if (!link.isValid()) {
        this->spender.unanswered(request, this->world.now);
        this->answered.push_back(request.organisation);
        return;
    }
    this->world.counters.add("jujubekeel_pool_rate_requests_total");
    this->links.send(link, ExchangeKind::Allowance,
                     ServerCommand{.kind = CommandKind::Allowance,
                                   .name = request.organisation,
                                   .argument = std::to_string(request.wanted)});
    const TimePoint deadline = this->world.now + answerTimeout;
    this->outstanding[link.packed()].push_back(Outstanding{.request = request, .link = link, .deadline = deadline});
    this->armTimer(deadline);
}

LinkId RateLimitSystem::requestLink(const std::string &member)
{
    const auto known = this->linkOf.find(member);
    if (known != this->linkOf.end() && this->world.links.contains(known->second))
        return known->second;
    const auto server = this->world.memberById.find(member);
    if (server == this->world.memberById.end())
        return LinkId{};
    const LinkId link = this->links.openForRequests(server->second);
    if (link.isValid())
        this->linkOf.insert_or_assign(member, link);
    return link;
}

void RateLimitSystem::requestConfirmations()
{
    if (!this->grantor.awaitsConfirmation(this->world.now) || this->world.now < this->confirmAgainAt)
        return;
    this->confirmAgainAt = this->world.now + confirmationRetry;
    this->armTimer(this->confirmAgainAt);
    for (const std::string &member : this->unconfirmed) {
        if (this->confirming.contains(member))
            continue;
        const LinkId link = this->requestLink(member);
        if (!link.isValid())
            continue;
        this->confirming.insert(member);
        this->links.send(link, ExchangeKind::Allowance,
                         ServerCommand{.kind = CommandKind::Allowance,
                                       .name = std::string(anyOrganisation),
                                       .argument = std::string(confirmationWord)});
        const TimePoint deadline = this->world.now + answerTimeout;
        this->outstanding[link.packed()].push_back(Outstanding{
            .request = {.sentAt = this->world.now}, .link = link, .deadline = deadline, .confirming = member});
        this->armTimer(deadline);
    }
}

void RateLimitSystem::confirmationReceived(const std::string &member, std::string_view answer)
{
    const auto version = toVersion(answer);
    if (!version || *version < this->joinedVersion)
        return;
    this->unconfirmed.erase(member);
    if (!this->unconfirmed.empty() || !this->grantor.awaitsConfirmation(this->world.now))
        return;
    this->grantor.changeConfirmed(this->world.now);
    this->world.log(LogLevel::Info, "rate-change-confirmed",
                    {{"revision", std::to_string(this->joinedVersion.revision)},
                     {"members", std::to_string(this->members.size())}});
}

void RateLimitSystem::reportUnanswered(const Outstanding &entry)
{
    if (!entry.confirming.empty()) {
        this->confirming.erase(entry.confirming);
        return;
    }
    this->spender.unanswered(entry.request, this->world.now);
    this->answered.push_back(entry.request.organisation);
}

void RateLimitSystem::requestReceived(SessionId session, std::string_view organisation, std::string_view wanted)
{
    if (wanted == confirmationWord) {
        this->world.emit(
            ReplyToCaller{.session = session,
                          .reply = CallerReply{.digest = std::to_string(this->membersVersion.era) + ' '
                                                         + std::to_string(this->membersVersion.revision)}});
        return;
    }
    const auto count = toNumber<std::uint32_t>(wanted);
    if (organisation.empty() || !count || this->world.role != FleetRole::Member) {
        const bool isInvalid = organisation.empty() || !count;
        this->world.emit(ReplyToCaller{
            .session = session,
            .reply =
                CallerReply{.error = OutcomeError{.code = isInvalid ? OutcomeCode::Malformed : OutcomeCode::Busy,
                                                  .text = isInvalid ? "invalid request for operations"
                                                                    : "this instance is not a member at present"}}});
        return;
    }
    this->checkSuspension();
    const RateGrant grant = this->grantor.grant(organisation, std::min(*count, maxWanted), this->world.now);
    this->world.counters.add(grant.granted > 0 ? "jujubekeel_pool_rate_grants_total{result=\"granted\"}"
                                               : "jujubekeel_pool_rate_grants_total{result=\"denied\"}");
    this->world.emit(ReplyToCaller{.session = session, .reply = CallerReply{.digest = toText(grant)}});
}

void RateLimitSystem::answerReceived(LinkId link, const CompletedExchange &completed)
{
    const auto found = this->outstanding.find(link.packed());
    if (found == this->outstanding.end() || found->second.empty())
        return;
    // A link answers in the order of the requests.
    const Outstanding entry = std::move(found->second.front());
    found->second.pop_front();
    if (found->second.empty())
        this->outstanding.erase(found);
    if (!entry.confirming.empty()) {
        this->confirming.erase(entry.confirming);
        if (!completed.exchange.error)
            this->confirmationReceived(entry.confirming, completed.exchange.digest);
        return;
    }
    const auto grant = completed.exchange.error ? std::nullopt : toGrant(completed.exchange.digest);
    if (grant)
        this->spender.granted(entry.request, *grant, this->world.now);
    else if (!entry.expired)
        this->spender.unanswered(entry.request, this->world.now);
    this->answered.push_back(entry.request.organisation);
    this->sendRequests();
    this->decideAnswered();
}

void RateLimitSystem::linkEnded()
{
    if (this->outstanding.empty())
        return;
    std::vector<Outstanding> lost;
    std::erase_if(this->outstanding, [&](const auto &entry) {
        if (this->world.links.contains(entry.second.front().link))
            return false;
        lost.insert(lost.end(), entry.second.begin(), entry.second.end());
        return true;
    });
    for (const Outstanding &entry : lost) {
        if (!entry.expired)
            this->reportUnanswered(entry);
        else if (entry.confirming.empty())
            this->answered.push_back(entry.request.organisation);
    }
    this->sendRequests();
    this->decideAnswered();
}

void RateLimitSystem::organisationsChanged()
{
    if (!this->world.organisations)
        return;
    const OrganisationTable &table = *this->world.organisations;
    this->grantor.setTable(table, this->world.now);
    // Operations of organisations that are no longer limited run at once.
    std::vector<SessionId> freed;
    std::erase_if(this->waiting, [&](const auto &entry) {
        const auto organisation = table.findByName(entry.first);
        if (organisation && organisation->limit)
            return false;
        for (const Waiting &operation : entry.second) {
            this->spender.removeWaiting(entry.first);
            freed.push_back(operation.session);
        }
        return true;
    });
    this->spender.setTable(table);
    for (const SessionId session : freed)
        this->decided(session, RateDecision{.verdict = RateVerdict::Taken});
}

void RateLimitSystem::membersChanged(const MemberView &memberView)
{
    const FleetView &view = memberView.fleet();
    if (view.revision() == 0)
        return;
    this->grantor.viewVerified(memberView.verifiedAt());
    this->membersVersion = view.memberVersion();
    std::vector<RateMember> serving;
    for (const auto &[instance, member] : view.members()) {
        // A member that restarts keeps its ranks meanwhile, so that those of the others don't change twice.
        if (member.record.state != MemberState::Leaving && !member.record.isEvicted())
            serving.push_back(RateMember{
                .name = instance, .region = std::string(this->world.options.findRegion(member.record.failureDomain))});
    }
    if (serving == this->members)
        return;
    this->unconfirmed.clear();
    for (const RateMember &member : serving) {
        if (member.name != this->world.options.instance)
            this->unconfirmed.insert(member.name);
        if (std::find(this->members.begin(), this->members.end(), member) == this->members.end())
            this->joinedVersion = std::max(this->joinedVersion, view.member(member.name)->version);
    }
    this->confirmAgainAt = TimePoint{0};
    this->members = std::move(serving);
    this->ranks.setMembers(this->members);
    const FleetView::Member *own = view.member(this->world.options.instance);
    const bool isListedFromBefore = own != nullptr && own->record.incarnation != this->incarnation;
    this->grantor.setMembers(this->members, isListedFromBefore, this->world.now);
    this->spender.membersChanged();
    this->requestConfirmations();
    // A member that leaves or has left gets no more requests.
    for (auto entry = this->linkOf.begin(); entry != this->linkOf.end();) {
        const bool serves = std::any_of(this->members.begin(), this->members.end(),
                                        [&](const RateMember &member) { return member.name == entry->first; });
        const bool isOpen = this->world.links.contains(entry->second);
        if (!serves && isOpen)
            this->links.close(entry->second, LinkEnd::Closed);
        entry = serves && isOpen ? std::next(entry) : this->linkOf.erase(entry);
    }
    this->linkEnded();
    this->sendRequests();
    this->decideAnswered();
}

void RateLimitSystem::checkTimeouts()
{
    // Timers are not cancelled: one that was replaced by an earlier one must not arm another, or they would add up.
    if (!this->timerDue || this->world.now < *this->timerDue)
        return;
    this->timerDue.reset();
    this->expireRequests();
    this->refuseLate();
    this->requestConfirmations();
    this->armNextTimeout();
}

void RateLimitSystem::expireRequests()
{
    std::vector<LinkId> silent;
    for (auto &[packed, requests] : this->outstanding) {
        if (this->world.now - requests.front().request.sentAt >= linkSilence)
            silent.push_back(requests.front().link);
        for (Outstanding &entry : requests) {
            if (entry.expired || entry.deadline > this->world.now)
                continue;
            entry.expired = true;
            this->world.counters.add("jujubekeel_pool_rate_unanswered_total");
            this->reportUnanswered(entry);
        }
    }
    for (const LinkId link : silent) {
        if (this->world.links.contains(link))
            this->links.close(link, LinkEnd::Silent);
    }
    this->linkEnded();
    this->sendRequests();
    this->decideAnswered();
}

void RateLimitSystem::refuseLate()
{
    std::vector<std::pair<SessionId, RateDecision>> late;
    for (auto entry = this->waiting.begin(); entry != this->waiting.end();) {
        while (!entry->second.empty() && entry->second.front().deadline <= this->world.now) {
            this->spender.removeWaiting(entry->first);
            late.emplace_back(entry->second.front().session,
                              RateDecision{.verdict = RateVerdict::Refused,
                                           .retryAfter = this->spender.retryAfter(entry->first, this->world.now)});
            entry->second.pop_front();
        }
        entry = entry->second.empty() ? this->waiting.erase(entry) : std::next(entry);
    }
    for (const auto &[session, decision] : late)
        this->decided(session, decision);
}

void RateLimitSystem::armNextTimeout()
{
    if (this->grantor.awaitsConfirmation(this->world.now))
        this->armTimer(std::max(this->confirmAgainAt, this->world.now));
    for (const auto &[organisation, operations] : this->waiting)
        this->armTimer(operations.front().deadline);
    for (const auto &[packed, requests] : this->outstanding) {
        const Outstanding &oldest = requests.front();
        const auto next =
            std::find_if(requests.begin(), requests.end(), [](const auto &entry) { return !entry.expired; });
        this->armTimer(next != requests.end() ? next->deadline : oldest.request.sentAt + linkSilence);
    }
}

void RateLimitSystem::checkSuspension()
{
    if (this->world.role != FleetRole::Member || !this->world.organisations)
        return;
    const auto due = this->world.timers.next();
    if (!due || this->world.now - *due < suspensionLateness || this->resumedAt == this->world.now)
        return;
    this->resumedAt = this->world.now;
    this->grantor.resumed(this->world.now);
}

void RateLimitSystem::decideAnswered()
{
    while (!this->answered.empty()) {
        const std::vector<std::string> organisations = std::exchange(this->answered, {});
        for (const std::string &organisation : organisations)
            this->decideWaiting(organisation);
        this->sendRequests();
    }
}

void RateLimitSystem::decideWaiting(const std::string &organisation)
{
    // A session that goes on may end others, and add operations, so that the queue is looked up each time.
    for (auto found = this->waiting.find(organisation); found != this->waiting.end();
         found = this->waiting.find(organisation)) {
        const RateDecision decision = this->spender.takeWaiting(organisation, this->world.now);
        if (decision.verdict == RateVerdict::Wait)
            return;
        this->count(decision);
        const SessionId session = found->second.front().session;
        found->second.pop_front();
        if (found->second.empty())
            this->waiting.erase(found);
        this->decided(session, decision);
    }
}

void RateLimitSystem::armTimer(TimePoint due)
{
    // One timer at a time: a request that was answered needs none any more.
    if (this->timerDue && *this->timerDue <= due)
        return;
    this->timerDue = due;
    this->world.timers.add(due, TimerKind::RateLimit);
}

} // namespace Jujubekeel
