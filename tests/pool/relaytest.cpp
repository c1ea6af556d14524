#include "pool/poolsupport.h"
#include "pool/relayedroute.h"
#include "virtualpool/poolfaults.h"

#include <algorithm>
#include <rapidcheck.h>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t instanceCount = 9;

/// Nine instances in three failure domains; one in each domain is a member, the others relay.
class RelayedPool
{
public:
    explicit RelayedPool(std::uint64_t seed = 1)
        : pool(largeFleetOptions(seed)), workload(this->pool, {.callers = 18, .seed = seed})
    {
        this->pool.run(seconds(3));
        for (std::size_t instance = 0; instance < instanceCount; ++instance)
            (this->pool.core(instance)->state().isRelaying() ? this->relaying : this->members).push_back(instance);
    }

    void load()
    {
        this->end = this->pool.now() + seconds(12);
        this->workload.start(this->end);
    }
    void finish()
    {
        this->pool.run(seconds(20));
        EXPECT_EQ(joined(findViolations(this->pool.group(), this->workload)), "");
        EXPECT_EQ(this->workload.unanswered(), 0U);
    }
    /// A member to which the instance has links, if possible one at which it has work in progress.
    [[nodiscard]] std::size_t memberOf(std::size_t instance) const
    {
        std::size_t found = instanceCount;
        bool busy = false;
        this->pool.core(instance)->state().servers.forEach([&](ServerId, const ServerRow &row) {
            if (!row.isMember || row.links.empty() || busy)
                return;
            busy = row.running > 0;
            found = std::stoul(row.entry.id.substr(1));
        });
        return found;
    }

    VirtualPool pool;
    PoolWorkload workload;
    std::vector<std::size_t> members;
    std::vector<std::size_t> relaying;
    TimePoint end{0};
};

std::size_t linksToServers(const PoolCore &core)
{
    std::size_t links = 0;
    core.state().servers.forEach([&](ServerId, const ServerRow &row) { links += row.isMember ? 0 : row.links.size(); });
    return links;
}

// Guards against a fleet with more instances than a server has connections exceeding the server's limit, or some of its
// instances not serving callers.
TEST(Relay, OnlyMembersOfALargeFleetConnectToServers)
{
    RelayedPool run;
    EXPECT_EQ(run.members.size(), 3U);
    run.load();
    run.pool.run(seconds(6));
    for (const std::size_t instance : run.relaying)
        EXPECT_EQ(linksToServers(*run.pool.core(instance)), 0U);
    for (std::size_t server = 0; server < run.pool.group().size(); ++server)
        EXPECT_LE(run.pool.group().connectionCount(server), run.pool.group().settings().connectionLimit);
    run.finish();
    const auto &all = run.workload.operations();
    EXPECT_TRUE(std::all_of(all.begin(), all.end(), [](const PoolOperation &entry) { return entry.answered; }));
}

// Guards against too many members: instances that start together register before they have seen the others' records.
TEST(Relay, InstancesThatStartTogetherDoNotAllBecomeMembers)
{
    VirtualPoolOptions options = largeFleetOptions(1);
    options.instances = 66;
    VirtualPool pool(options);
    pool.run(seconds(4));
    std::size_t members = 0;
    for (std::size_t instance = 0; instance < options.instances; ++instance)
        members += pool.core(instance)->state().isRelaying() ? 0 : 1;
    EXPECT_GE(members, 3U);
    EXPECT_LE(members, 6U);
}

// Guards against a relayed session not seeing its own commits on a replica that lags.
TEST(Relay, SessionSeesItsOwnCommitsThroughAMember)
{
    RelayedPool run;
    run.pool.group().setApplyLag(1, milliseconds(800));
    run.pool.group().setApplyLag(2, milliseconds(800));
    run.load();
    run.finish();
}

// Guards against values or prepared statements of one relayed session being in force for another one on the same link.
TEST(Relay, RelayedSessionsDoNotShareState)
{
    RelayedPool run;
    const std::size_t instance = run.relaying.front();
    const auto first = *run.pool.openCaller(instance, VirtualPool::ownRoute);
    const auto second = *run.pool.openCaller(instance, VirtualPool::ownRoute);
    runStatement(run.pool, first, StatementKind::SetValue, "s1", "SET who first", "who", "first");
    EXPECT_FALSE(runStatement(run.pool, first, StatementKind::Read, "r1", "READ 1a4").error);
    EXPECT_FALSE(runStatement(run.pool, second, StatementKind::Read, "r2", "READ 1a4").error);
    const auto &history = run.pool.group().history();
    EXPECT_EQ(joined(history.misuse), "");
    EXPECT_EQ(runStatement(run.pool, second, StatementKind::Execute, "e1", "EXECUTE p a", "p", "a").error->code,
              OutcomeCode::UnknownName);
}

// Guards against a write being reported as not run although a member had it when it was killed.
TEST(Relay, WriteIsInDoubtWhenItsMemberIsKilled)
{
    RelayedPool run;
    const std::size_t instance = run.relaying.front();
    const auto writer = *run.pool.openCaller(instance, VirtualPool::primaryRoute);
    EXPECT_FALSE(runStatement(run.pool, writer, StatementKind::Write, "w1", "WRITE 1a5 x").error);
    run.pool.send(writer, Statement{.kind = StatementKind::Write, .id = "w2", .text = "WRITE 1a5 y"});
    run.pool.run(milliseconds(4));
    const std::size_t member = run.memberOf(instance);
    ASSERT_LT(member, instanceCount);
    run.pool.killInstance(member);
    run.pool.run(seconds(2));
    ASSERT_EQ(run.pool.caller(writer).replies.size(), 2U);
    ASSERT_TRUE(run.pool.caller(writer).replies.back().error);
    EXPECT_EQ(run.pool.caller(writer).replies.back().error->code, OutcomeCode::InDoubt);
    // The next write goes to another member.
    EXPECT_FALSE(runStatement(run.pool, writer, StatementKind::Write, "w3", "WRITE 1a6 z").error);
}

// Guards against a transaction being reported as in doubt although its COMMIT was not sent before its member was
// killed.
TEST(Relay, OpenTransactionIsAbortedWhenItsMemberIsKilled)
{
    RelayedPool run;
    const std::size_t instance = run.relaying.front();
    const auto caller = *run.pool.openCaller(instance, VirtualPool::primaryRoute);
    runStatement(run.pool, caller, StatementKind::Begin, "b1", "BEGIN");
    EXPECT_FALSE(runStatement(run.pool, caller, StatementKind::Write, "w1", "WRITE 1a4 x").error);
    const std::size_t member = run.memberOf(instance);
    ASSERT_LT(member, instanceCount);
    run.pool.killInstance(member);
    run.pool.run(milliseconds(20));
    const CallerReply reply = runStatement(run.pool, caller, StatementKind::Commit, "c1", "COMMIT");
    ASSERT_TRUE(reply.error);
    EXPECT_EQ(reply.error->code, OutcomeCode::Aborted);
    EXPECT_EQ(reply.state, SessionState::Idle);
}

// Guards against the planned stop of a member failing work that other instances relay to it.
TEST(Relay, PlannedStopOfAMemberFailsNoRelayedWork)
{
    RelayedPool run;
    run.load();
    run.pool.run(seconds(2));
    const std::size_t member = run.members.front();
    run.pool.requestStop(member);
    run.pool.run(seconds(8));
    EXPECT_EQ(run.pool.core(member), nullptr);
    run.pool.startInstance(member);
    run.finish();
    // Busy is allowed, as sessions of the member's own callers end with it. Relayed sessions are not affected.
    const auto &all = run.workload.operations();
    std::vector<std::string> failed;
    for (const PoolOperation &entry : all) {
        if (entry.error && entry.error != OutcomeCode::Busy)
            failed.push_back("code " + std::to_string(static_cast<int>(*entry.error)) + " of " + entry.commit + " at "
                             + std::to_string(entry.endedAt.count()));
    }
    EXPECT_EQ(joined(failed), "");
}

// Guards against the fleet having too few members after one has left.
TEST(Relay, MemberThatLeftIsReplaced)
{
    RelayedPool run;
    const std::size_t member = run.members.front();
    run.pool.requestStop(member);
    run.pool.run(seconds(8));
    std::size_t members = 0;
    for (std::size_t instance = 0; instance < instanceCount; ++instance)
        members += run.pool.core(instance) != nullptr && !run.pool.core(instance)->state().isRelaying() ? 1 : 0;
    EXPECT_EQ(members, 3U);
    run.pool.startInstance(member);
    run.pool.run(seconds(2));
    EXPECT_TRUE(run.pool.core(member)->state().isRelaying());
}

// Guards against the fleet running out of members, because the records of members that were killed still count.
TEST(Relay, KilledMemberIsReplaced)
{
    RelayedPool run;
    const std::size_t killed = run.members.front();
    run.load();
    run.pool.run(seconds(2));
    run.pool.killInstance(killed);
    // Callers of the killed instance get no reply, so that unanswered operations are not counted.
    run.pool.run(seconds(20));
    EXPECT_EQ(joined(findViolations(run.pool.group(), run.workload)), "");
    std::size_t members = 0;
    for (std::size_t instance = 0; instance < instanceCount; ++instance)
        members += run.pool.core(instance) != nullptr && !run.pool.core(instance)->state().isRelaying() ? 1 : 0;
    EXPECT_GE(members, 3U);
}

// Guards against work waiting for a member that no longer answers while other members do.
TEST(Relay, WorkMovesAwayFromASilentMember)
{
    RelayedPool run;
    const std::size_t instance = run.relaying.front();
    const auto caller = *run.pool.openCaller(instance, VirtualPool::boundedRoute);
    EXPECT_FALSE(runStatement(run.pool, caller, StatementKind::Read, "r1", "READ 1a4").error);
    run.pool.isolateInstances(instance, run.memberOf(instance), true);
    EXPECT_FALSE(runStatement(run.pool, caller, StatementKind::Read, "r2", "READ 1a4").error);
    const TimePoint before = run.pool.now();
    EXPECT_FALSE(runStatement(run.pool, caller, StatementKind::Read, "r3", "READ 1a4").error);
    EXPECT_LT(run.pool.now() - before, milliseconds(200));
}

// Guards against a member that has lost the store holding up work that other members can run: with relayed work it
// refused writes after a wait of 1.8 s for as long as it was cut off.
TEST(Relay, WorkLeavesAMemberThatHasLapsed)
{
    RelayedPool run;
    const std::size_t cutOff = run.members.front();
    run.pool.setStoreReachable(cutOff, false);
    run.pool.run(milliseconds(6500));
    const std::size_t served = run.relaying.front();
    for (const std::size_t instance : {cutOff, served}) {
        const auto caller = *run.pool.openCaller(instance, VirtualPool::primaryRoute);
        const std::string name = std::to_string(instance);
        for (int round = 0; round < 5; ++round) {
            const TimePoint before = run.pool.now();
            const std::string id = name + "w" + std::to_string(round);
            EXPECT_FALSE(runStatement(run.pool, caller, StatementKind::Write, id, "WRITE 1a4 x").error) << id;
            EXPECT_LT(run.pool.now() - before, milliseconds(150)) << id;
        }
        EXPECT_FALSE(runStatement(run.pool, caller, StatementKind::Begin, name + "b", "BEGIN").error);
        EXPECT_FALSE(runStatement(run.pool, caller, StatementKind::Write, name + "t", "WRITE 1a4 y").error);
        EXPECT_FALSE(runStatement(run.pool, caller, StatementKind::Commit, name + "c", "COMMIT").error);
    }
    // Its own callers return to its connections once it reaches the store again.
    run.pool.setStoreReachable(cutOff, true);
    run.pool.run(seconds(2));
    EXPECT_FALSE(run.pool.core(cutOff)->state().hasLapsed());
    const auto caller = *run.pool.openCaller(cutOff, VirtualPool::primaryRoute);
    EXPECT_FALSE(runStatement(run.pool, caller, StatementKind::Write, "last", "WRITE 1a4 z").error);
    EXPECT_EQ(joined(run.pool.group().history().misuse), "");
}

// Guards against work staying queued after its caller has disconnected. Its service was unknown when it was queued and
// has become known since, so that the work was looked for in the wrong queue.
TEST(Relay, QueuedWorkIsRemovedWithItsCallerWhenItsServiceBecameKnown)
{
    PoolCore core(PoolOptions{.instance = "i1", .failureDomain = "d0", .relayAddress = "relay:1"});
    core.start(seconds(1), 1);
    auto routes = std::make_shared<RouteTable>(1);
    routes->addService("records", {.maxConnections = 21});
    routes->addRoute(Route{.name = "r", .database = "db", .service = "records"});
    core.routesReceived(seconds(1), routes);
    FleetUpdate update{.complete = true, .revision = 9, .requestedAt = seconds(1)};
    for (int member = 2; member < 12; ++member) {
        const std::string name = "i" + std::to_string(member);
        const MemberRecord record{.incarnation = 1,
                                  .relayAddress = "relay:" + std::to_string(member),
                                  .failureDomain = "d0",
                                  .state = MemberState::Serving};
        update.objects.push_back(
            FleetObject{.name = FleetView::memberName(name), .revision = 9, .content = record.toText()});
    }
    core.fleetUpdated(seconds(1), update);
    ASSERT_TRUE(core.state().isRelaying());

    const SessionId session = core.callerConnected(seconds(1));
    core.callerOpenedSession(seconds(1), session, "db");
    core.statementReceived(seconds(1), session, Statement{.kind = StatementKind::Read, .id = "r1", .text = "READ a"});
    core.entriesListed(seconds(1), {ServerEntry{.id = "s1", .service = "records", .address = "s1"}});
    core.callerDisconnected(seconds(1), session);
    update.revision = 10;
    core.fleetUpdated(seconds(1), update);
    core.state().services.forEach([](ServiceId, const ServiceRow &service) { EXPECT_TRUE(service.queue.empty()); });
}

// Guards against relayed work running at an instance that has taken over the address of the one it is meant for.
TEST(Relay, MemberRefusesASessionMeantForAnotherInstance)
{
    PoolCore core(PoolOptions{.instance = "i1", .relayAddress = "relay:1"});
    core.start(seconds(1), 1);
    const SessionId session = core.callerConnected(seconds(1));
    core.relayOpenedSession(seconds(1), session, "i2");
    const PoolActions actions = core.takeActions();
    const auto refusal = std::find_if(actions.begin(), actions.end(), [](const PoolAction &action) {
        return std::holds_alternative<RefuseCaller>(action);
    });
    ASSERT_NE(refusal, actions.end());
    EXPECT_EQ(std::get<RefuseCaller>(*refusal).error.code, OutcomeCode::Misrouted);
}

// Guards against callers choosing a route or resetting a session with statements that are reserved for other instances.
TEST(Relay, CallersCannotUseStatementsReservedForInstances)
{
    RelayedPool run;
    const auto caller = *run.pool.openCaller(run.members.front(), VirtualPool::boundedRoute);
    for (const StatementKind kind : {StatementKind::UseRoute, StatementKind::ResetSession})
        EXPECT_EQ(runStatement(run.pool, caller, kind, "x", "ROUTE {}", {}, "{}").error->code, OutcomeCode::Malformed);
}

// Guards against a route being changed by encoding and decoding.
TEST(Relay, RelayedRouteIsDecodedAsEncoded)
{
    EXPECT_TRUE(rc::check([] {
        // Names come from JSON, so they are valid text; limited to ASCII here.
        const auto name = rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
        RelayedRoute sent{
            .route = Route{.name = *name,
                           .database = *name,
                           .service = *name,
                           .consistency = *rc::gen::element(ReadConsistency::Primary, ReadConsistency::BoundedStale,
                                                            ReadConsistency::ReadYourWrites),
                           .maxStaleness = Duration(*rc::gen::positive<std::int64_t>()),
                           .statementTimeout = Duration(*rc::gen::positive<std::int64_t>()),
                           .priority = *rc::gen::arbitrary<std::uint32_t>(),
                           .version = *rc::gen::arbitrary<std::uint64_t>()}};
        if (*rc::gen::arbitrary<bool>())
            sent.mark = LogPosition{.term = *rc::gen::arbitrary<std::uint64_t>(),
                                    .position = *rc::gen::arbitrary<std::uint64_t>()};
        const std::string text = sent.toText();
        RC_ASSERT(text.find('\n') == std::string::npos && text.find('\r') == std::string::npos);
        const auto received = RelayedRoute::fromText(text);
        RC_ASSERT(received.has_value());
        RC_ASSERT(received->toText() == text);
        RC_ASSERT(received->mark == sent.mark);
    }));
    EXPECT_FALSE(RelayedRoute::fromText("{\"name\":1}"));
    EXPECT_FALSE(RelayedRoute::fromText("no table"));
}

class RelayedFaults : public testing::TestWithParam<std::uint64_t>
{
};

// Guards against overlapping faults breaking any of the guarantees while work is relayed.
TEST_P(RelayedFaults, KeepTheGuarantees)
{
    EXPECT_EQ(joined(runRandomFaults(GetParam(), largeFleetOptions(GetParam())).violations), "");
}

INSTANTIATE_TEST_SUITE_P(Seeds, RelayedFaults, testing::Range<std::uint64_t>(1, 61));

} // namespace

} // namespace Jujubekeel
