#include "leadership/fleetview.h"
#include "leadership/memberrecord.h"
#include "pool/feedupdate.h"
#include "pool/poolsupport.h"
#include "virtualpool/poolfaults.h"

#include <algorithm>
#include <set>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::set<std::string> allDatabases{VirtualPool::primaryRoute, VirtualPool::boundedRoute, VirtualPool::ownRoute};

/// A fleet with one member in each of three failure domains; the other instances relay.
struct FeedFleet
{
    explicit FeedFleet(std::uint32_t instances = 9, std::uint64_t seed = 1) : pool(optionsFor(instances, seed))
    {
        this->pool.run(seconds(5));
        for (std::size_t instance = 0; instance < instances; ++instance)
            (this->pool.core(instance)->state().isRelaying() ? this->relaying : this->members).push_back(instance);
    }
    static VirtualPoolOptions optionsFor(std::uint32_t instances, std::uint64_t seed)
    {
        VirtualPoolOptions options = largeFleetOptions(seed);
        options.instances = instances;
        return options;
    }
    [[nodiscard]] std::uint64_t version(std::size_t instance) const
    {
        return this->pool.core(instance)->state().routes->version();
    }
    [[nodiscard]] bool everyoneHas(std::uint64_t wanted) const
    {
        return std::all_of(this->relaying.begin(), this->relaying.end(),
                           [&](std::size_t instance) { return this->version(instance) == wanted; });
    }
    [[nodiscard]] std::uint64_t callsIn(Duration duration)
    {
        const std::uint64_t before = this->pool.store().calls;
        this->pool.run(duration);
        return this->pool.store().calls - before;
    }

    void restartWithoutStore(std::size_t instance)
    {
        this->pool.killInstance(instance);
        this->pool.setStoreReachable(instance, false);
        this->pool.startInstance(instance);
    }

    VirtualPool pool;
    std::vector<std::size_t> members;
    std::vector<std::size_t> relaying;
};

// Guards against calls to the store that grow with the number of instances: 95 instances that each watched the store
// made 4,600 calls on a quiet day.
TEST(Feed, StoreCallsDependOnTheMembersOnly)
{
    FeedFleet small(12);
    FeedFleet large(60);
    EXPECT_EQ(large.members.size(), small.members.size());
    const std::uint64_t callsOfSmall = small.callsIn(seconds(10));
    EXPECT_EQ(large.callsIn(seconds(10)), callsOfSmall);
    EXPECT_LE(callsOfSmall, 11 * small.members.size());
}

// Guards against a start of many instances making several calls for each registration that the others see.
TEST(Feed, StartOfManyInstancesMakesFewCallsForEach)
{
    VirtualPool pool(FeedFleet::optionsFor(60, 3));
    pool.run(seconds(3));
    // Each lists the configuration, the fleet at its start, and the fleet again when its time slot has come.
    EXPECT_LE(pool.store().calls, 60U * 4 + 3 * 40);
}

// Guards against a relaying instance that does not watch the store missing a new configuration.
TEST(Feed, ConfigurationReachesRelayingInstancesThroughTheMembers)
{
    FeedFleet fleet;
    const std::uint64_t before = fleet.pool.store().calls;
    fleet.pool.publishRoutes(2, allDatabases);
    fleet.pool.run(milliseconds(100));
    EXPECT_TRUE(fleet.everyoneHas(2));
    EXPECT_LE(fleet.pool.store().calls - before, 2 * fleet.members.size());
}

// Guards against a member that no longer reaches the store keeping its subscribers at an old configuration.
TEST(Feed, SubscribersLeaveAMemberThatDoesNotReachTheStore)
{
    FeedFleet fleet;
    fleet.pool.setStoreReachable(fleet.members.at(0), false);
    fleet.pool.setStoreReachable(fleet.members.at(1), false);
    fleet.pool.publishRoutes(2, allDatabases);
    fleet.pool.run(milliseconds(3000));
    EXPECT_TRUE(fleet.everyoneHas(2));
}

// Guards against a frozen member holding up the configuration of those that wait for its answer.
TEST(Feed, SubscribersLeaveAFrozenMember)
{
    FeedFleet fleet;
    fleet.pool.freezeInstance(fleet.members.at(0), seconds(20));
    fleet.pool.freezeInstance(fleet.members.at(1), seconds(20));
    fleet.pool.publishRoutes(2, allDatabases);
    fleet.pool.run(milliseconds(3000));
    EXPECT_TRUE(fleet.everyoneHas(2));
}

// Guards against a configuration not coming into force at relaying instances that reach the store while no member does.
TEST(Feed, StoreIsReadDirectlyIfNoMemberReachesIt)
{
    FeedFleet fleet;
    for (const std::size_t member : fleet.members)
        fleet.pool.setStoreReachable(member, false);
    fleet.pool.run(milliseconds(100));
    fleet.pool.publishRoutes(2, allDatabases);
    fleet.pool.run(milliseconds(3200));
    EXPECT_TRUE(fleet.everyoneHas(2));

    // Once a member reaches the store again, the instances return to its reports.
    for (const std::size_t member : fleet.members)
        fleet.pool.setStoreReachable(member, true);
    fleet.pool.run(seconds(40));
    EXPECT_LE(fleet.callsIn(seconds(10)), 11 * fleet.members.size());
}

// Guards against a configuration going back to an older version when an instance changes to a member that is behind.
TEST(Feed, ConfigurationNeverGoesBack)
{
    FeedFleet fleet;
    fleet.pool.setStoreReachable(fleet.members.at(0), false);
    fleet.pool.publishRoutes(2, allDatabases);
    std::vector<std::uint64_t> highest(9, 0);
    for (int step = 0; step < 6000; ++step) {
        fleet.pool.run(milliseconds(1));
        if (step == 1000) {
            fleet.pool.freezeInstance(fleet.members.at(1), seconds(3));
            fleet.pool.freezeInstance(fleet.members.at(2), seconds(3));
        }
        for (const std::size_t instance : fleet.relaying) {
            ASSERT_GE(fleet.version(instance), highest.at(instance));
            highest.at(instance) = fleet.version(instance);
        }
    }
    EXPECT_TRUE(fleet.everyoneHas(2));
}

// Guards against the links of all instances being told each route again after every change of the configuration: the
// statements behind the announcements wait for them.
TEST(Feed, LinksAreNotToldAnUnchangedRouteAgain)
{
    FeedFleet fleet;
    const std::size_t instance = fleet.relaying.front();
    const auto announced = [&] {
        return fleet.pool.core(instance)->state().counters.value("jujubekeel_pool_routes_announced_total");
    };
    const auto caller = *fleet.pool.openCaller(instance, VirtualPool::boundedRoute);
    const auto read = [&](const std::string &id) {
        EXPECT_FALSE(runStatement(fleet.pool, caller, StatementKind::Read, id, "READ item").error);
    };
    // Requests for reports take turns on the links, so that several of them carry the reads.
    for (int round = 0; round < 10; ++round) {
        read("r1-" + std::to_string(round));
        fleet.pool.run(milliseconds(300));
    }
    const std::uint64_t before = announced();
    EXPECT_GT(before, 0U);
    // Another database is removed; first as a difference, then in a table that is read from the store.
    fleet.pool.publishRoutes(2, {VirtualPool::boundedRoute, VirtualPool::ownRoute});
    fleet.pool.run(milliseconds(100));
    ASSERT_EQ(fleet.version(instance), 2U);
    read("r2");
    EXPECT_EQ(announced(), before);
    for (const std::size_t member : fleet.members)
        fleet.pool.setStoreReachable(member, false);
    fleet.pool.run(milliseconds(100));
    fleet.pool.publishRoutes(3, {VirtualPool::boundedRoute});
    fleet.pool.run(milliseconds(3200));
    ASSERT_EQ(fleet.version(instance), 3U);
    read("r3");
    EXPECT_EQ(announced(), before);
}

// Guards against a session being refused because it was opened before the first configuration was read: after a loss
// of power callers return as soon as the machines accept connections.
TEST(Feed, SessionOpenedBeforeTheConfigurationIsServed)
{
    FeedFleet fleet;
    const std::size_t instance = fleet.relaying.front();
    fleet.restartWithoutStore(instance);
    const auto caller = fleet.pool.openCaller(instance, VirtualPool::ownRoute);
    fleet.pool.run(milliseconds(400));
    fleet.pool.setStoreReachable(instance, true);
    fleet.pool.run(milliseconds(500));
    EXPECT_TRUE(fleet.pool.caller(*caller).greeted);
    EXPECT_FALSE(runStatement(fleet.pool, *caller, StatementKind::Read, "r1", "READ 1a4").error);
}

// Guards against a session waiting for a configuration longer than its caller waits for the greeting (2 s).
TEST(Feed, SessionIsRefusedIfNoConfigurationArrives)
{
    FeedFleet fleet;
    const std::size_t instance = fleet.relaying.front();
    fleet.restartWithoutStore(instance);
    const auto caller = fleet.pool.openCaller(instance, VirtualPool::ownRoute);
    fleet.pool.run(milliseconds(1900));
    ASSERT_TRUE(fleet.pool.caller(*caller).refusal);
    EXPECT_EQ(fleet.pool.caller(*caller).refusal->code, OutcomeCode::Busy);
}

FleetObject memberObject(const std::string &instance, std::uint64_t revision)
{
    return FleetObject{.name = FleetView::memberName(instance),
                       .revision = revision,
                       .content = MemberRecord{.incarnation = 7, .relayAddress = "a:1", .failureDomain = "d"}.toText()};
}

// Guards against a report that raises the view's revision: a change of a leadership record that the store delivers
// afterwards would be taken for an old one and ignored.
TEST(FleetView, ReportDoesNotHideLaterChangesOfRecords)
{
    FleetView view;
    const TimePoint now{1};
    EXPECT_TRUE(view.apply({.complete = true, .objects = {memberObject("a", 5)}, .revision = 10}, now));
    EXPECT_TRUE(
        view.apply({.complete = true, .reported = true, .objects = {memberObject("b", 19)}, .revision = 20}, now));
    EXPECT_EQ(view.member("a"), nullptr);
    ASSERT_NE(view.member("b"), nullptr);
    const FleetObject record{
        .name = FleetView::recordName("s"), .revision = 15, .content = LeadershipRecord{.epoch = 3}.toText()};
    EXPECT_TRUE(view.apply({.objects = {record}, .revision = 16}, now));
    ASSERT_NE(view.record("s"), nullptr);
    EXPECT_EQ(view.record("s")->record.epoch, 3U);
}

// Guards against a member that is behind bringing back another one that has left.
TEST(FleetView, OlderReportIsIgnored)
{
    FleetView view;
    const TimePoint now{1};
    EXPECT_TRUE(
        view.apply({.complete = true, .reported = true, .objects = {memberObject("b", 19)}, .revision = 20}, now));
    EXPECT_FALSE(view.apply(
        {.complete = true, .reported = true, .objects = {memberObject("a", 5), memberObject("b", 5)}, .revision = 12},
        now));
    EXPECT_EQ(view.member("a"), nullptr);
    EXPECT_EQ(view.memberRevision(), 20U);
}

// Guards against a report losing fields on its way, and against a large configuration exceeding the limit of a message.
TEST(FeedUpdate, TextKeepsAllFields)
{
    auto routes = std::make_shared<RouteTable>(12);
    routes->addRoute(Route{.name = "r",
                           .database = "db",
                           .service = "s",
                           .consistency = ReadConsistency::BoundedStale,
                           .maxStaleness = milliseconds(1500),
                           .priority = 2});
    routes->addService("s", {.maxConnections = 57, .syncReplicas = 1});
    routes->setTransactionIdleLimit(milliseconds(1234));
    const FeedUpdate update{.verifiedAfter = milliseconds(-40),
                            .routeVersion = 12,
                            .routes = routes,
                            .memberRevision = 99,
                            .members = {{memberObject("a", 5)}}};
    const auto decoded = FeedUpdate::fromText(update.toText(100000));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->verifiedAfter, milliseconds(-40));
    EXPECT_EQ(decoded->memberRevision, 99U);
    ASSERT_TRUE(decoded->routes);
    EXPECT_EQ(decoded->routes->version(), 12U);
    EXPECT_EQ(decoded->routes->maxConnections("s"), 57U);
    EXPECT_EQ(decoded->routes->syncReplicas("s"), 1U);
    EXPECT_EQ(decoded->routes->transactionIdleLimit(), milliseconds(1234));
    ASSERT_TRUE(decoded->routes->find("db"));
    EXPECT_EQ(decoded->routes->find("db")->maxStaleness, milliseconds(1500));
    EXPECT_EQ(decoded->routes->find("db")->version, 12U);
    ASSERT_TRUE(decoded->members);
    EXPECT_EQ(decoded->members->front().content, memberObject("a", 5).content);

    const auto shortened = FeedUpdate::fromText(update.toText(300));
    ASSERT_TRUE(shortened);
    EXPECT_EQ(shortened->routes, nullptr);
    EXPECT_EQ(shortened->routeVersion, 12U);
}

} // namespace

} // namespace Jujubekeel
