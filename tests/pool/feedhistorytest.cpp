#include "pool/feedhistory.h"
#include "catalog/tabledigest.h"
#include "pool/feedupdate.h"
#include "pool/keysupport.h"

#include <gtest/gtest.h>

namespace Jujubekeel {

namespace {

constexpr std::size_t limit = 100000;
constexpr FeedHistory::Wanted everything{.routes = true, .organisations = true};

/// A member with 50 routes and one organisation, whose configuration changes.
struct FeedMember
{
    FeedMember() : history(this->world) { this->change(1, {{"guild", {"a"}}}); }

    void change(std::uint64_t version, const KeyLists &lists, std::uint32_t priority = 0)
    {
        auto routes = std::make_shared<RouteTable>(version);
        for (int index = 0; index < 50; ++index)
            routes->addRoute(Route{.name = "r", .database = "d" + std::to_string(index), .service = "s"});
        routes->addRoute(Route{.name = "r", .database = "d7", .service = "s", .priority = priority});
        this->world.organisations = makeOrganisations(version, lists);
        routes->setOrganisations(this->world.organisations);
        this->world.routes = routes;
        this->world.routesDigest = digestOf(*routes);
        this->world.organisationsDigest = digestOf(*this->world.organisations);
        this->history.update();
    }
    /// Request of an instance that has the tables in force here.
    [[nodiscard]] FeedRequest request() const
    {
        return {.routeVersion = this->world.routes->version(),
                .organisationVersion = this->world.organisations->version(),
                .routeDigest = this->world.routesDigest,
                .organisationDigest = this->world.organisationsDigest,
                .acceptsCompressed = true};
    }
    [[nodiscard]] FeedUpdate report(const FeedRequest &known, FeedHistory::Wanted wanted = everything)
    {
        const auto update =
            FeedUpdate::fromText(FeedUpdate{}.toTextWith(this->history.tablesText(known, wanted, limit)));
        EXPECT_TRUE(update);
        return update.value_or(FeedUpdate{});
    }

    PoolWorld world;
    FeedHistory history;
};

// Guards against a configuration being sent whole to subscribers that lack only a few of its entries.
TEST(FeedHistory, ReportsWhatDiffers)
{
    FeedMember member;
    const FeedRequest first = member.request();
    const auto base = member.world.routes;
    member.change(2, {{"guild", {"a", "b"}}}, 1);
    member.change(5, {{"guild", {"b"}}}, 2);
    const FeedUpdate update = member.report(first);
    ASSERT_TRUE(update.routeDifference && update.organisationDifference);
    EXPECT_FALSE(update.routes || update.organisations);
    EXPECT_EQ(update.routeDifference->routes.size(), 1U);
    const auto routes = update.routeDifference->appliedTo(*base);
    ASSERT_TRUE(routes);
    EXPECT_EQ(routes->find("d7")->priority, 2U);
    const auto organisations = update.organisationDifference->appliedTo(*base->organisations());
    ASSERT_TRUE(organisations);
    EXPECT_FALSE(organisations->findByKey(KeyDigest::ofKey("a")));
    EXPECT_TRUE(organisations->findByKey(KeyDigest::ofKey("b")));
}

// Guards against differences being reported to an instance that does not ask for them, as those of an earlier release,
// or whose version has other content or is not known any more.
TEST(FeedHistory, ReportsWholeTablesOtherwise)
{
    FeedMember member;
    const FeedRequest first = member.request();
    for (std::uint64_t version = 2; version <= 17; ++version)
        member.change(version, {{"guild", {"a"}}}, static_cast<std::uint32_t>(version));
    EXPECT_TRUE(member.report(first).routeDifference);

    FeedRequest earlierRelease{.routeVersion = 1, .organisationVersion = 1};
    const std::string whole = member.history.tablesText(earlierRelease, everything, limit);
    EXPECT_EQ(whole.find("compressed"), std::string::npos);
    EXPECT_EQ(member.report(earlierRelease).routes->size(), 50U);
    FeedRequest otherContent = first;
    otherContent.routeDigest += 1;
    EXPECT_TRUE(member.report(otherContent).routes);
    EXPECT_LT(member.history.tablesText(otherContent, everything, limit).size(), whole.size() / 2);

    member.change(18, {{"guild", {"a"}}});
    const FeedUpdate forgotten = member.report(first);
    ASSERT_TRUE(forgotten.routes);
    EXPECT_TRUE(forgotten.routes->organisations());
}

// Guards against routes coming into force by a difference at an instance that lacks the organisations of their version:
// keys that they withdraw would stay valid.
TEST(FeedHistory, RoutesAreNotReportedWithoutTheirOrganisations)
{
    FeedMember member;
    FeedRequest first = member.request();
    KeyLists lists{{"guild", {}}};
    for (int index = 0; index < 2000; ++index)
        lists["guild"].push_back("key-" + std::to_string(index));
    member.change(2, lists, 1);
    EXPECT_EQ(member.history.tablesText(first, everything, limit), "");
    EXPECT_TRUE(member.report(first, {.routes = true}).routes == nullptr);
    EXPECT_FALSE(member.report(first, {.routes = true}).routeDifference);
    // An instance to which they were reported alone needs the routes only.
    first.organisationVersion = 2;
    EXPECT_TRUE(member.report(first, {.routes = true}).routeDifference);
}

// Guards against a history that grows with every change of a large configuration.
TEST(FeedHistory, IsBoundedInBytes)
{
    FeedMember member;
    member.world.options.feedHistoryBytes = 250;
    const FeedRequest first = member.request();
    member.change(2, {{"guild", {"a"}}}, 1);
    const FeedRequest second = member.request();
    EXPECT_TRUE(member.report(first).routeDifference);
    member.change(3, {{"guild", {"a"}}}, 2);
    member.change(4, {{"guild", {"a"}}}, 3);
    EXPECT_TRUE(member.report(first).routes);
    EXPECT_TRUE(member.report(second).routeDifference);
}

} // namespace

} // namespace Jujubekeel
