#include "pool/feedpublisher.h"

#include "leadership/registrationsystem.h"
#include "pool/feedupdate.h"
#include "pool/poolworld.h"

#include <algorithm>
#include <utility>

namespace Jujubekeel {

void FeedPublisher::subscribe(SessionId session, std::string_view requestText)
{
    const auto request = FeedRequest::fromText(requestText);
    if (!request) {
        this->refuse(session, "invalid request for changes");
        return;
    }
    this->history.update();
    std::erase_if(this->held, [&](const Subscription &other) { return other.session == session; });
    const Subscription subscription{.session = session, .request = *request, .since = this->world.now};
    if (this->answer(subscription))
        return;
    this->held.push_back(subscription);
    this->world.timers.add(this->world.now + this->world.options.feedHold, TimerKind::Feed);
}

void FeedPublisher::publish()
{
    this->history.update();
    std::erase_if(this->held, [this](const Subscription &subscription) {
        return !this->world.sessions.contains(subscription.session) || this->answer(subscription);
    });
}

bool FeedPublisher::answer(const Subscription &subscription)
{
    // Before the first verification, and after a lapse, the view may not be kept up to date.
    if (this->registration.verifiedAt().count() == 0) {
        this->refuse(subscription.session, "this instance is not a member at present");
        return true;
    }
    const FleetView &view = this->registration.fleet();
    const FeedRequest &known = subscription.request;
    const std::uint64_t version = this->world.routes ? this->world.routes->version() : 0;
    const std::uint64_t organisationVersion = this->world.organisations ? this->world.organisations->version() : 0;
    const bool newRoutes = version > std::max(known.routeVersion, known.announcedVersion);
    const bool newOrganisations = organisationVersion > std::max(known.organisationVersion, known.announcedVersion);
    const StoreVersion knownMembers{.era = known.memberEra, .revision = known.memberRevision};
    const bool newMembers =
        known.wantsMembers && view.version() > knownMembers && view.memberDigest() != known.memberDigest;
    // An instance that no longer reaches the store says so at once, so that its subscribers can ask another one.
    const bool outdated = this->world.now - this->registration.viewReadAt() > this->world.options.feedMaxAge;
    const bool holdEnded = this->world.now - subscription.since >= this->world.options.feedHold;
    if (!newRoutes && !newOrganisations && !newMembers && !outdated && !holdEnded)
        return false;

    FeedUpdate update{.verifiedAfter = this->registration.viewReadAt() - subscription.since,
                      .routeVersion = version,
                      .organisationVersion = organisationVersion,
                      .memberRevision = view.revision(),
                      .memberEra = view.version().era};
    if (newMembers) {
        update.members.emplace();
        for (const auto &[instance, member] : view.members())
            update.members->push_back(FleetObject{.name = FleetView::memberName(instance),
                                                  .revision = member.version.revision,
                                                  .content = member.record.toText()});
    }
    const std::size_t limit = this->textLimit();
    const FeedHistory::Wanted wanted{.routes = newRoutes, .organisations = newOrganisations};
    std::string text = update.toTextWith(this->history.tablesText(known, wanted, limit));
    if (text.size() > limit && (newRoutes || newOrganisations)) {
        const std::size_t headSize = update.toTextWith({}).size();
        text = update.toTextWith(this->history.tablesText(known, wanted, limit - std::min(limit, headSize)));
    }
    this->world.counters.add("jujubekeel_pool_feed_answers_total");
    this->world.counters.add("jujubekeel_pool_feed_bytes_total", text.size());
    this->world.emit(ReplyToCaller{.session = subscription.session,
                                   .reply = CallerReply{.rows = {std::move(text)}, .digest = {}, .error = {}}});
    return true;
}

std::size_t FeedPublisher::textLimit() const
{
    // A relaying instance that the store rejects has no other source for withdrawn keys.
    const PoolOptions &options = this->world.options;
    return this->world.usesOrganisations() ? options.feedTextLimitWithKeys : options.feedTextLimit;
}

void FeedPublisher::refuse(SessionId session, std::string_view reason)
{
    this->world.emit(ReplyToCaller{
        .session = session,
        .reply = CallerReply{.error = OutcomeError{.code = OutcomeCode::Busy, .text = std::string(reason)}}});
}

} // namespace Jujubekeel
