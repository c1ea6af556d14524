#include "catalog/tablechanges.h"
#include "catalog/tabledigest.h"
#include "leadership/fleetview.h"
#include "leadership/memberrecord.h"
#include "pool/feedrequest.h"
#include "pool/feedupdate.h"
#include "pool/keysupport.h"

#include <gtest/gtest.h>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;

std::shared_ptr<const RouteTable> makeRoutes(std::uint64_t version, std::uint32_t priority, const KeyLists &lists)
{
    auto routes = std::make_shared<RouteTable>(version);
    routes->addRoute(Route{.name = "r", .database = "db", .service = "s", .priority = priority});
    routes->setOrganisations(makeOrganisations(version, lists));
    return routes;
}

/// One instance with a configuration of version 4, and a member `m` whose reports the test writes.
struct OneSubscriber
{
    /// Relays its work, because the fleet needs no member beside `m`.
    OneSubscriber()
        : core(
            PoolOptions{.instance = "b", .failureDomain = "d", .relayAddress = "b:1", .minMembers = 1, .maxMembers = 1})
    {
        this->core.start(this->now, 7);
        this->core.routesReceived(this->now, this->base);
        this->core.fleetUpdated(
            this->now,
            FleetUpdate{.complete = true, .objects = {memberObject("m")}, .revision = 2, .requestedAt = this->now});
        for (PoolAction &action : this->core.takeActions()) {
            if (const auto *open = std::get_if<OpenLink>(&action)) {
                this->core.linkConnected(this->now, open->link);
                this->core.linkMessageReceived(this->now, open->link, {.kind = ServerMessageKind::Ready});
            }
        }
    }
    static FleetObject memberObject(const std::string &instance)
    {
        const MemberRecord record{
            .incarnation = 3, .relayAddress = instance + ":1", .failureDomain = "d", .state = MemberState::Serving};
        return {.name = FleetView::memberName(instance), .revision = 2, .content = record.toText()};
    }
    /// Answers the request.
    void report(const FeedUpdate &update)
    {
        this->core.linkMessageReceived(this->now, this->link, {.text = update.toText(100000)});
        this->core.linkMessageReceived(this->now, this->link, {.kind = ServerMessageKind::Done});
        this->core.linkMessageReceived(this->now, this->link, {.kind = ServerMessageKind::Ready});
    }
    /// The request that was sent after the last answer.
    [[nodiscard]] FeedRequest request()
    {
        std::vector<FeedRequest> requests;
        for (PoolAction &action : this->core.takeActions()) {
            const auto *sent = std::get_if<SendCommand>(&action);
            if (sent == nullptr || sent->command.kind != CommandKind::Subscribe)
                continue;
            this->link = sent->link;
            requests.push_back(FeedRequest::fromText(sent->command.argument).value_or(FeedRequest{}));
        }
        EXPECT_EQ(requests.size(), 1U);
        return requests.empty() ? FeedRequest{} : requests.front();
    }
    /// What differs between two tables, as a member reports it.
    static FeedUpdate difference(const RouteTable &earlier, const RouteTable &later)
    {
        const OrganisationTable &before = *earlier.organisations();
        const OrganisationTable &after = *later.organisations();
        return {.routeVersion = later.version(),
                .organisationVersion = after.version(),
                .routeDifference = std::make_shared<const RouteDifference>(RouteDifference::make(
                    earlier.version(), TableChanges::between(earlier, later), later, digestOf(later))),
                .organisationDifference = std::make_shared<const OrganisationDifference>(OrganisationDifference::make(
                    before.version(), TableChanges::between(before, after), after, digestOf(after)))};
    }
    [[nodiscard]] std::uint64_t version() const { return this->core.state().routes->version(); }
    [[nodiscard]] bool isValid(const char *key) const
    {
        return this->core.state().organisations->findByKey(KeyDigest::ofKey(key)) != nullptr;
    }

    std::shared_ptr<const RouteTable> base = makeRoutes(4, 0, {{"guild", {"a"}}});
    TimePoint now{std::chrono::seconds(100)};
    PoolCore core;
    LinkId link; ///< on which the last request was sent
};

// Guards against an instance not naming the version that it knows, and against a difference coming into force in part.
TEST(FeedSubscriber, AppliesDifferences)
{
    OneSubscriber subscriber;
    const FeedRequest first = subscriber.request();
    EXPECT_EQ(first.routeVersion, 4U);
    EXPECT_EQ(first.routeDigest, digestOf(*subscriber.base));
    EXPECT_EQ(first.organisationDigest, digestOf(*subscriber.base->organisations()));
    const auto later = makeRoutes(6, 2, {{"guild", {"b"}}});
    subscriber.report(OneSubscriber::difference(*subscriber.base, *later));
    EXPECT_EQ(subscriber.version(), 6U);
    EXPECT_EQ(subscriber.core.state().routes->find("db")->priority, 2U);
    EXPECT_FALSE(subscriber.isValid("a"));
    EXPECT_TRUE(subscriber.isValid("b"));
    const FeedRequest second = subscriber.request();
    EXPECT_EQ(second.routeVersion, 6U);
    EXPECT_EQ(second.routeDigest, digestOf(*later));
    // An older difference changes nothing.
    subscriber.report(OneSubscriber::difference(*subscriber.base, *makeRoutes(5, 3, {{"guild", {"a"}}})));
    EXPECT_EQ(subscriber.version(), 6U);
    EXPECT_NE(subscriber.request().routeDigest, 0U);
}

// Guards against the next request being sent, because members have changed, before the routes of the same report are in
// force: they would be reported a second time.
TEST(FeedSubscriber, NextRequestNamesTheReportedVersion)
{
    OneSubscriber subscriber;
    ASSERT_TRUE(subscriber.request().wantsMembers);
    FeedUpdate update = OneSubscriber::difference(*subscriber.base, *makeRoutes(6, 2, {{"guild", {"b"}}}));
    update.memberRevision = 9;
    update.members = {OneSubscriber::memberObject("m"), OneSubscriber::memberObject("n")};
    subscriber.report(update);
    EXPECT_EQ(subscriber.core.state().memberById.size(), 2U);
    EXPECT_EQ(subscriber.request().routeVersion, 6U);
}

// Guards against a difference from another configuration being applied, and against the instance then keeping its old
// configuration: it has to ask for the whole tables, and to leave a member that does not send them.
TEST(FeedSubscriber, AsksForWholeTablesIfADifferenceDoesNotApply)
{
    OneSubscriber subscriber;
    static_cast<void>(subscriber.request());
    const auto later = makeRoutes(6, 2, {{"guild", {"b"}}});
    std::vector<FeedUpdate> refused{
        OneSubscriber::difference(*makeRoutes(3, 1, {{"guild", {"a"}}}), *later), // another version
        OneSubscriber::difference(*makeRoutes(4, 2, {{"guild", {"a"}}}), *later), // other routes
        OneSubscriber::difference(*makeRoutes(4, 0, {{"guild", {"b"}}}), *later), // other keys
        OneSubscriber::difference(*subscriber.base, *later)};                     // organisations are missing
    refused.back().organisationDifference = nullptr;
    for (const FeedUpdate &update : refused) {
        subscriber.report(update);
        EXPECT_EQ(subscriber.version(), 4U);
        EXPECT_TRUE(subscriber.isValid("a"));
        const FeedRequest request = subscriber.request();
        EXPECT_EQ(request.routeVersion, 4U);
        EXPECT_EQ(request.announcedVersion, 0U);
        EXPECT_EQ(request.routeDigest, 0U);
        EXPECT_EQ(request.organisationDigest, 0U);
        EXPECT_FALSE(request.acceptsCompressed);
        // A whole table ends this.
        const auto whole = makeRoutes(4, 0, {{"guild", {"a"}}});
        subscriber.report({.routeVersion = 4, .routes = whole, .organisationVersion = 4});
        EXPECT_NE(subscriber.request().routeDigest, 0U);
    }
    subscriber.report(refused.front());
    static_cast<void>(subscriber.request());
    EXPECT_EQ(subscriber.core.state().counters.value("jujubekeel_pool_feed_sources_left_total"), 0U);
    subscriber.report(refused.front());
    EXPECT_EQ(subscriber.core.state().counters.value("jujubekeel_pool_feed_sources_left_total"), 1U);
}

} // namespace

} // namespace Jujubekeel
