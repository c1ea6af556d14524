#include "pool/feedrequest.h"
#include "pool/feedupdate.h"
#include "pool/keysupport.h"
#include "virtualpool/poolfaults.h"

#include <algorithm>
#include <utility>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longest time until a withdrawn key is out of use at every instance (RevokeMs of the platform).
constexpr Duration revocationLimit = seconds(5);
/// Number of further routes that makes a route table larger than a message of the change feed.
constexpr std::size_t manyRoutes = 6000;

const KeyLists parishOnly{{"guild", {}}, {"parish", {KeyPool::parishKey}}};

/// Nine instances in three failure domains; one in each domain is a member, the others relay.
struct KeyFleet : KeyPool
{
    explicit KeyFleet(std::size_t fillerRoutes = 0, bool differences = true) : KeyPool(optionsWith(differences))
    {
        this->pool.setFillerRoutes(fillerRoutes);
        this->run(seconds(5));
        for (std::size_t instance = 0; instance < this->pool.instanceCount(); ++instance)
            (this->pool.core(instance)->state().isRelaying() ? this->relaying : this->members).push_back(instance);
        EXPECT_EQ(this->members.size(), 3U);
    }
    static VirtualPoolOptions optionsWith(bool differences)
    {
        VirtualPoolOptions options = largeFleetOptions(1);
        options.pool.feedDifferences = differences;
        return options;
    }
    void setStoreReachable(const std::vector<std::size_t> &instances, bool reachable)
    {
        for (const std::size_t instance : instances)
            this->pool.setStoreReachable(instance, reachable);
    }
    /// Sessions with the guild's key, one at each instance.
    std::vector<VirtualPool::CallerId> openEverywhere()
    {
        std::vector<VirtualPool::CallerId> callers;
        for (std::size_t instance = 0; instance < this->pool.instanceCount(); ++instance)
            callers.push_back(this->open(guildKey, instance));
        return callers;
    }
    void expectEnded(const std::vector<VirtualPool::CallerId> &callers)
    {
        for (const auto caller : callers) {
            EXPECT_TRUE(this->hasEnded(caller)) << "at instance " << this->caller(caller).instance;
            EXPECT_TRUE(this->isDenied(this->open(guildKey, this->caller(caller).instance)));
        }
    }
    [[nodiscard]] std::uint64_t feedAnswers() const
    {
        std::uint64_t answers = 0;
        for (std::size_t instance = 0; instance < this->pool.instanceCount(); ++instance)
            answers += this->counter(instance, "jujubekeel_pool_feed_answers_total");
        return answers;
    }

    std::vector<std::size_t> members;
    std::vector<std::size_t> relaying;
};

// Guards against a withdrawn key staying in use at instances that hear of the configuration from members only.
TEST(KeyFeed, InstancesThatTheStoreRejectsLearnOfAWithdrawnKey)
{
    KeyFleet fleet;
    const auto callers = fleet.openEverywhere();
    fleet.setStoreReachable(fleet.relaying, false);
    fleet.setStoreReachable({fleet.members[0], fleet.members[1]}, false);
    fleet.publish(2, parishOnly);
    fleet.run(revocationLimit);
    fleet.expectEnded(callers);
}

// Guards against the same where the routes do not fit into a message.
TEST(KeyFeed, OrganisationsPassWithoutRoutesThatAreTooLarge)
{
    KeyFleet fleet(manyRoutes, false);
    const auto callers = fleet.openEverywhere();
    fleet.setStoreReachable(fleet.relaying, false);
    fleet.setStoreReachable({fleet.members[0], fleet.members[1]}, false);
    fleet.publish(2, parishOnly);
    fleet.run(revocationLimit);
    fleet.expectEnded(callers);
    EXPECT_EQ(fleet.pool.core(fleet.relaying[0])->state().routes->version(), 1U);
    EXPECT_EQ(fleet.organisationVersion(fleet.relaying[0]), 2U);
    // Instances that read the routes later continue with the newest.
    fleet.setStoreReachable(fleet.relaying, true);
    fleet.run(seconds(4));
    EXPECT_EQ(fleet.pool.core(fleet.relaying[0])->state().routes->version(), 2U);
}

// Guards against an instance keeping a configuration for which a report of differences was not made: a member reads one
// version itself while another member reports what differs from the version before.
TEST(KeyFeed, DifferenceFromAnotherVersionIsReplacedByTheWholeTable)
{
    KeyFleet fleet(50);
    const auto refused = [&](std::size_t instance) {
        return fleet.counter(instance, "jujubekeel_pool_feed_differences_refused_total");
    };
    const auto callers = fleet.openEverywhere();
    const std::size_t ahead = fleet.members[0];
    fleet.setStoreReachable({fleet.members[1], fleet.members[2]}, false);
    fleet.publish(2, {{"guild", {KeyPool::guildKey}}});
    fleet.run(milliseconds(2));
    fleet.setStoreReachable({ahead}, false);
    fleet.setStoreReachable({fleet.members[1], fleet.members[2]}, true);
    fleet.publish(3, parishOnly);
    fleet.run(milliseconds(100));
    EXPECT_EQ(refused(ahead), 1U);
    EXPECT_EQ(fleet.pool.core(ahead)->state().routes->version(), 3U);
    EXPECT_EQ(fleet.organisationVersion(ahead), 3U);
    fleet.run(revocationLimit);
    fleet.expectEnded(callers);
    EXPECT_EQ(refused(ahead), 1U);
}

// Guards against work being denied on a link because its organisation, which was announced there, had been out of the
// configuration meanwhile.
TEST(KeyFeed, OrganisationThatReturnsIsServedOnTheSameLink)
{
    KeyFleet fleet;
    const auto readOften = [&](const std::string &id) {
        // Requests for reports take turns on the links, so that several of them carry the reads.
        const auto caller = fleet.open(KeyPool::guildKey, fleet.relaying[0]);
        for (int round = 0; round < 10; ++round) {
            EXPECT_FALSE(fleet.read(caller, id + std::to_string(round)).error) << round;
            fleet.run(milliseconds(300));
        }
        return caller;
    };
    const auto first = readOften("a");
    fleet.publish(2, {{"parish", {KeyPool::parishKey}}});
    fleet.run(seconds(1));
    EXPECT_TRUE(fleet.hasEnded(first));
    fleet.publish(3, KeyPool::bothOrganisations());
    fleet.run(seconds(1));
    static_cast<void>(readOften("b"));
}

// Guards against a member denying the work of an organisation that a newer configuration has added, which the relaying
// instance knows already: the route is older than the organisation.
TEST(KeyFeed, NewOrganisationIsServedByAMemberThatIsBehind)
{
    KeyFleet fleet;
    for (const std::size_t member : fleet.members)
        fleet.pool.setStoreReachable(member, false);
    fleet.pool.run(milliseconds(100));
    KeyLists lists = KeyPool::bothOrganisations();
    lists["abbey"] = {"k3ysecret-abbey"};
    fleet.publish(2, lists);
    std::optional<VirtualPool::CallerId> caller;
    for (int step = 0; step < 4000 && !caller; ++step) {
        fleet.run(milliseconds(1));
        if (fleet.organisationVersion(fleet.relaying[0]) == 2 && fleet.organisationVersion(fleet.members[0]) == 1)
            caller = fleet.open("k3ysecret-abbey", fleet.relaying[0]);
    }
    ASSERT_TRUE(caller);
    EXPECT_FALSE(fleet.read(*caller, "r1").error);
}

// Guards against a member that has learnt of organisations from another one not passing them on: the only instance that
// has read the configuration may be out of reach for most others.
TEST(KeyFeed, MembersPassOnWhatTheyWereTold)
{
    for (const auto &[fillers, differences] :
         {std::pair{std::size_t{0}, true}, {std::size_t{0}, false}, {manyRoutes, true}, {manyRoutes, false}}) {
        KeyFleet fleet(fillers, differences);
        const auto callers = fleet.openEverywhere();
        fleet.setStoreReachable(fleet.relaying, false);
        fleet.setStoreReachable({fleet.members[1], fleet.members[2]}, false);
        fleet.publish(2, parishOnly);
        for (std::size_t instance = 0; instance < fleet.pool.instanceCount(); ++instance) {
            if (instance != fleet.members[0] && instance != fleet.members[1])
                fleet.pool.isolateInstances(fleet.members[0], instance, true);
        }
        fleet.run(milliseconds(20));
        EXPECT_EQ(fleet.organisationVersion(fleet.members[0]), 2U);
        fleet.pool.setStoreReachable(fleet.members[0], false);
        fleet.run(revocationLimit);
        fleet.expectEnded(callers);
    }
}

// Guards against a key coming back at an instance that restarts and reads an older configuration, from a store that was
// restored from a copy or answers with an old state.
TEST(KeyFeed, RestartedInstanceLearnsWhatTheStoreHasLost)
{
    KeyFleet fleet;
    fleet.publish(3, parishOnly);
    fleet.run(seconds(1));
    fleet.publish(2, KeyPool::bothOrganisations());
    fleet.run(seconds(1));
    const std::vector<std::size_t> restarted{fleet.relaying[0], fleet.members[0]};
    for (const std::size_t instance : restarted) {
        fleet.pool.killInstance(instance);
        fleet.pool.startInstance(instance);
    }
    std::vector<VirtualPool::CallerId> callers;
    for (int step = 0; step < 100; ++step) {
        fleet.run(milliseconds(10));
        for (const std::size_t instance : restarted)
            callers.push_back(fleet.open(KeyPool::guildKey, instance));
    }
    fleet.run(seconds(1));
    const auto served =
        std::count_if(callers.begin(), callers.end(), [&](const auto caller) { return fleet.caller(caller).greeted; });
    EXPECT_EQ(served, 0) << "of " << callers.size() << " sessions, one every 10 ms at each instance";
    for (const std::size_t instance : restarted) {
        EXPECT_EQ(fleet.organisationVersion(instance), 3U);
        EXPECT_TRUE(fleet.isDenied(fleet.open(KeyPool::guildKey, instance)));
    }
}

// Guards against a result that is withheld being delivered, or called not run, because the key of its session was
// withdrawn meanwhile.
TEST(KeyFeed, WithheldResultOfAWithdrawnKeyIsInDoubt)
{
    KeyFleet fleet;
    const std::size_t member = fleet.members[0];
    const auto caller = fleet.open(KeyPool::guildKey, member);
    EXPECT_FALSE(fleet.write(caller, "w0").error);
    fleet.begin(caller);
    EXPECT_FALSE(fleet.write(caller, "w1").error);
    fleet.pool.setStoreReachable(member, false);
    // The transaction stays in use, so that it is not ended as idle, until the leadership that the member knows lapses.
    for (int round = 0; round < 3; ++round) {
        fleet.run(milliseconds(1600));
        fleet.send(caller, StatementKind::Read, "r" + std::to_string(round), "READ item");
    }
    fleet.run(milliseconds(1600));
    ASSERT_TRUE(fleet.isOpen(caller));
    ASSERT_TRUE(fleet.pool.core(member)->state().hasLapsed());
    const std::size_t replies = fleet.caller(caller).replies.size();
    fleet.send(caller, StatementKind::Commit, "c1", "COMMIT");
    fleet.run(milliseconds(100));
    const bool withheld = fleet.caller(caller).replies.size() == replies;
    fleet.publish(2, parishOnly);
    fleet.run(milliseconds(1300));
    EXPECT_TRUE(fleet.hasEnded(caller));
    ASSERT_TRUE(fleet.caller(caller).replies.back().error);
    EXPECT_TRUE(withheld);
    EXPECT_EQ(fleet.caller(caller).replies.back().error->code, OutcomeCode::InDoubt);
}

// Guards against callers waiting for a report that nobody can give: after a restart of all instances, or of the only one.
TEST(KeyFeed, InstanceWithoutReportsServesAfterAShortWait)
{
    KeyFleet fleet;
    for (std::size_t instance = 0; instance < fleet.pool.instanceCount(); ++instance)
        fleet.pool.killInstance(instance);
    for (std::size_t instance = 0; instance < fleet.pool.instanceCount(); ++instance)
        fleet.pool.startInstance(instance);
    const auto callers = fleet.openEverywhere();
    fleet.run(milliseconds(400));
    for (const auto caller : callers)
        EXPECT_TRUE(fleet.isOpen(caller)) << caller;

    KeyPool alone(VirtualPoolOptions{.instances = 1, .relays = true});
    const auto first = alone.open(KeyPool::guildKey);
    alone.run(milliseconds(400));
    EXPECT_TRUE(alone.isOpen(first));
}

// Guards against work of an organisation that a member no longer knows, sent by an instance that has not heard of the
// new configuration yet, over a connection on which the organisation was known before.
TEST(KeyFeed, MemberDeniesRelayedWorkOfAnOrganisationThatItNoLongerKnows)
{
    KeyFleet fleet;
    const auto caller = fleet.open(KeyPool::guildKey, fleet.relaying[0]);
    const auto inTransaction = fleet.open(KeyPool::guildKey, fleet.relaying[0]);
    const auto other = fleet.open(KeyPool::parishKey, fleet.relaying[0]);
    EXPECT_FALSE(fleet.write(caller, "w1").error);
    fleet.begin(inTransaction);
    EXPECT_FALSE(fleet.write(inTransaction, "t1").error);
    const std::size_t rollbacks = fleet.rollbacks;
    // The members read the configuration after 2 ms, the statements reach them after 3 ms, and the relaying instance is
    // told after 5 ms.
    fleet.publish(2, {{"parish", {KeyPool::parishKey}}});
    fleet.sendWrite(caller, "w2");
    fleet.sendWrite(inTransaction, "t2");
    fleet.run(seconds(1));
    for (const auto id : {caller, inTransaction}) {
        EXPECT_TRUE(fleet.hasEnded(id));
        EXPECT_TRUE(fleet.caller(id).replies.back().error);
    }
    EXPECT_EQ(fleet.caller(caller).replies.back().error->code, OutcomeCode::Denied);
    EXPECT_EQ(fleet.ranAs.at("w1"), "guild");
    EXPECT_FALSE(fleet.hasRun("w2"));
    EXPECT_FALSE(fleet.hasRun("t2"));
    EXPECT_FALSE(fleet.isCommitted("t1"));
    EXPECT_EQ(fleet.rollbacks, rollbacks + 1);
    EXPECT_FALSE(fleet.write(other, "w3").error);
    EXPECT_EQ(fleet.ranAs.at("w3"), "parish");
}

// Guards against work in no organisation's name, relayed by an instance that has no configuration with organisations yet.
TEST(KeyFeed, MemberDeniesRelayedWorkInNoName)
{
    KeyFleet fleet;
    fleet.pool.publishOrganisations(2, nullptr);
    fleet.run(seconds(1));
    for (std::size_t instance = 0; instance < fleet.pool.instanceCount(); ++instance)
        fleet.pool.killInstance(instance);
    for (std::size_t instance = 0; instance < fleet.pool.instanceCount(); ++instance)
        fleet.pool.startInstance(instance);
    fleet.run(seconds(12));
    const std::size_t relaying =
        fleet.pool.core(fleet.relaying[0])->state().isRelaying() ? fleet.relaying[0] : fleet.relaying[1];
    const auto caller = *fleet.pool.openCaller(relaying, VirtualPool::primaryRoute);
    EXPECT_FALSE(fleet.write(caller, "w1").error);
    fleet.publish(3, KeyPool::bothOrganisations());
    fleet.sendWrite(caller, "w2");
    fleet.run(seconds(1));
    EXPECT_FALSE(fleet.hasRun("w2"));
    EXPECT_TRUE(fleet.hasEnded(caller));
}

// Guards against an instance being sent the same report again at once after each answer: its links and the member would
// be busy with nothing else.
TEST(KeyFeed, ReportsThatBringNothingNewAreHeld)
{
    const auto answersIn = [](KeyFleet &fleet, Duration duration) {
        const std::uint64_t before = fleet.feedAnswers();
        fleet.run(duration);
        return fleet.feedAnswers() - before;
    };
    KeyFleet quiet;
    // Nine instances with one request each, which is held for 700 ms.
    EXPECT_LE(answersIn(quiet, seconds(7)), 9U * 10 + 9);

    // A member is cut off from the store, and another instance leaves, of which it does not know.
    KeyFleet cutOff;
    cutOff.pool.setStoreReachable(cutOff.members[0], false);
    cutOff.run(milliseconds(100));
    cutOff.pool.killInstance(cutOff.members[1]);
    cutOff.pool.startInstance(cutOff.members[1]);
    cutOff.run(milliseconds(1900));
    EXPECT_LE(answersIn(cutOff, milliseconds(3500)), 9U * 5 + 9 + 20);

    // Neither the routes nor the organisations fit into a message.
    KeyFleet large(manyRoutes);
    large.setStoreReachable(large.relaying, false);
    constexpr int keyCount = 20000;
    std::vector<std::string> keys;
    keys.reserve(keyCount);
    for (int index = 0; index < keyCount; ++index)
        keys.push_back("key-" + std::to_string(index));
    large.publish(2, {{"guild", keys}});
    large.run(milliseconds(500));
    EXPECT_LE(answersIn(large, seconds(7)), 9U * 10 + 9);
}

std::shared_ptr<RouteTable> routesWithOrganisations()
{
    auto routes = std::make_shared<RouteTable>(12);
    routes->addRoute(Route{.name = "r", .database = "db", .service = "s", .isPublic = true});
    auto table = std::make_shared<OrganisationTable>(12);
    const KeyDigest shared = KeyDigest::ofKey("shared");
    static_cast<void>(
        table->add({.name = "guild", .priority = 3, .limit = RateLimit{.operationsPerSecond = 0.5, .burst = 7}},
                   std::vector{KeyDigest::ofKey("a"), KeyDigest::ofKey("b"), shared}));
    static_cast<void>(table->add({.name = "parish"}, std::vector{shared}));
    routes->setOrganisations(table);
    return routes;
}

void expectSameOrganisations(const OrganisationTable *table)
{
    ASSERT_NE(table, nullptr);
    EXPECT_EQ(table->version(), 12U);
    EXPECT_EQ(table->size(), 2U);
    ASSERT_NE(table->findByKey(KeyDigest::ofKey("b")), nullptr);
    EXPECT_EQ(
        *table->findByKey(KeyDigest::ofKey("b")),
        (Organisation{.name = "guild", .priority = 3, .limit = RateLimit{.operationsPerSecond = 0.5, .burst = 7}}));
    EXPECT_EQ(table->findByKey(KeyDigest::ofKey("shared")), nullptr);
    ASSERT_NE(table->findByName("parish"), nullptr);
    EXPECT_FALSE(table->findByName("parish")->limit);
}

// Guards against organisations losing fields or keys on their way to another instance, and against keys of two
// organisations becoming valid there.
TEST(KeyFeed, TextKeepsOrganisations)
{
    const auto routes = routesWithOrganisations();
    const FeedUpdate update{.routeVersion = 12, .routes = routes};
    const auto decoded = FeedUpdate::fromText(update.toText(100000));
    ASSERT_TRUE(decoded && decoded->routes);
    EXPECT_TRUE(decoded->routes->find("db")->isPublic);
    expectSameOrganisations(decoded->routes->organisations().get());

    auto large = routesWithOrganisations();
    for (int index = 0; index < 100; ++index)
        large->addRoute(Route{.name = "r" + std::to_string(index), .database = "d" + std::to_string(index)});
    const auto partial = FeedUpdate::fromText(FeedUpdate{.routeVersion = 12, .routes = large}.toText(1000));
    ASSERT_TRUE(partial);
    EXPECT_EQ(partial->routes, nullptr);
    expectSameOrganisations(partial->organisations.get());

    const auto alone =
        FeedUpdate::fromText(FeedUpdate{.routeVersion = 7, .organisations = routes->organisations()}.toText(100000));
    ASSERT_TRUE(alone);
    expectSameOrganisations(alone->organisations.get());

    const auto nothing = FeedUpdate::fromText(update.toText(100));
    ASSERT_TRUE(nothing);
    EXPECT_EQ(nothing->routes, nullptr);
    EXPECT_EQ(nothing->organisations, nullptr);
    EXPECT_EQ(nothing->routeVersion, 12U);
    EXPECT_EQ(update.toText(100000).find('\n'), std::string::npos);
}

// Guards against a damaged report being applied in part, with organisations that lack keys or limits.
TEST(KeyFeed, DamagedOrganisationsMakeTheReportInvalid)
{
    const std::string good =
        FeedUpdate{.routeVersion = 7, .organisations = routesWithOrganisations()->organisations()}.toText(100000);
    ASSERT_TRUE(FeedUpdate::fromText(good));
    const std::vector<std::pair<std::string, std::string>> damages{{KeyDigest::ofKey("a").toHex(), "zz"},
                                                                   {"\"keys\":[", "\"keys\":[7,"},
                                                                   {"\"keys\":[", "\"other\":["},
                                                                   {"\"name\":\"guild\"", "\"name\":7"},
                                                                   {"\"burst\":7.0", "\"burst\":null"},
                                                                   {"\"priority\":3", "\"priority\":\"3\""},
                                                                   {"\"organisations\":[", "\"organisations\":[7,"}};
    for (const auto &[from, to] : damages) {
        std::string text = good;
        ASSERT_NE(text.find(from), std::string::npos) << from << " in " << good;
        text.replace(text.find(from), from.size(), to);
        EXPECT_FALSE(FeedUpdate::fromText(text)) << text;
    }
}

// Guards against requests of the release before being rejected, or answered as if they knew of organisations.
TEST(KeyFeed, RequestsKeepTheirFields)
{
    const FeedRequest request{.routeVersion = 3, .organisationVersion = 4, .memberRevision = 5};
    const auto decoded = FeedRequest::fromText(request.toText());
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->routeVersion, 3U);
    EXPECT_EQ(decoded->organisationVersion, 4U);
    EXPECT_EQ(decoded->memberRevision, 5U);
    const auto earlier = FeedRequest::fromText(R"({"routeVersion":3,"memberRevision":5,"memberDigest":6})");
    ASSERT_TRUE(earlier);
    EXPECT_EQ(earlier->organisationVersion, 0U);
}

} // namespace

} // namespace Jujubekeel
