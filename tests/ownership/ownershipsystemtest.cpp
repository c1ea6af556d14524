#include "membership/rendezvous.h"
#include "support/corefleet.h"

#include <gtest/gtest.h>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void settle(CoreFleet &fleet)
{
    ASSERT_TRUE(fleet.runUntil(seconds(3), [&] { return fleet.allOwned(); }));
    fleet.run(seconds(1));
}

OwnershipStep step(const CoreFleet &fleet, int instance, std::uint32_t server)
{
    return fleet.world(static_cast<std::uint32_t>(instance)).backends[server].ownership.step;
}

/// Number of instances that regard themselves as the owner of a server.
int owners(const CoreFleet &fleet, std::uint32_t server, std::uint32_t instances)
{
    int count = 0;
    for (std::uint32_t index = 0; index < instances; ++index)
        count += step(fleet, static_cast<int>(index), server) == OwnershipStep::Owned ? 1 : 0;
    return count;
}

// Guards against a start at which every proxy ranks itself as the best candidate, so that servers change owners at
// once.
TEST(OwnershipSystem, StartGivesEachServerToItsOwnFailureDomain)
{
    CoreFleet fleet({.instancesPerDomain = 2});
    settle(fleet);
    for (std::uint32_t server = 0; server < 3; ++server)
        EXPECT_EQ(fleet.holder(server) / 2, static_cast<int>(server));
    fleet.run(seconds(10));
    EXPECT_EQ(fleet.counter("jujubekeel_takeovers_total"), 3U);
    EXPECT_EQ(fleet.counter("jujubekeel_handovers_total"), 0U);
    EXPECT_EQ(fleet.counter("jujubekeel_preemptions_total"), 0U);
}

// Guards against a late takeover: the peers of a proxy that ended detect this after the peer timeout at the latest.
TEST(OwnershipSystem, ServerOfAnEndedProxyIsTakenOver)
{
    CoreFleet fleet({.instancesPerDomain = 2});
    settle(fleet);
    const int before = fleet.holder(0);
    fleet.stop(static_cast<std::uint32_t>(before));
    ASSERT_TRUE(fleet.runUntil(milliseconds(2000), [&] { return fleet.holder(0) >= 0; }));
    EXPECT_EQ(fleet.holder(0), 1 - before);
}

// Guards against two owners after a pause: the server closes the silent connection, another instance takes over, and
// the paused one detects this before it uses the server again.
TEST(OwnershipSystem, PausedOwnerEndsItsOwnershipOnResume)
{
    CoreFleet fleet({.instancesPerDomain = 2});
    settle(fleet);
    const int before = fleet.holder(0);
    fleet.pause(static_cast<std::uint32_t>(before));
    ASSERT_TRUE(fleet.runUntil(seconds(4), [&] { return fleet.holder(0) == 1 - before; }));
    EXPECT_EQ(step(fleet, before, 0), OwnershipStep::Owned);
    fleet.resume(static_cast<std::uint32_t>(before));
    fleet.run(milliseconds(20));
    EXPECT_NE(step(fleet, before, 0), OwnershipStep::Owned);
    EXPECT_EQ(fleet.holder(0), 1 - before);
    fleet.run(milliseconds(500));
    EXPECT_EQ(owners(fleet, 0, 6), 1);
}

// Guards against an owner that relies on its lock after a long silence because no request was in progress.
TEST(OwnershipSystem, LongSilenceOfTheServerEndsTheOwnership)
{
    CoreFleet fleet;
    settle(fleet);
    const int owner = fleet.holder(0);
    fleet.cut("i" + std::to_string(owner), "b0");
    fleet.run(milliseconds(1000));
    EXPECT_NE(step(fleet, owner, 0), OwnershipStep::Owned);
    EXPECT_TRUE(fleet.runUntil(seconds(4), [&] { return fleet.holder(0) >= 0 && fleet.holder(0) != owner; }));
}

// Guards against a server that keeps a distant owner although the best candidate is back.
TEST(OwnershipSystem, HandsOverToABetterCandidate)
{
    CoreFleet fleet;
    settle(fleet);
    fleet.pause(0);
    ASSERT_TRUE(fleet.runUntil(seconds(5), [&] { return fleet.holder(0) > 0; }));
    fleet.run(seconds(2));
    fleet.resume(0);
    const TimePoint resumed = fleet.now();
    ASSERT_TRUE(fleet.runUntil(seconds(8), [&] { return fleet.holder(0) == 0; }));
    EXPECT_GE(fleet.now() - resumed, seconds(4));
    fleet.run(seconds(1));
    EXPECT_EQ(fleet.counter("jujubekeel_handovers_total"), 1U);
    EXPECT_EQ(owners(fleet, 0, 3), 1);
}

// Guards against repeated handovers when the better candidate is live but cannot reach the server.
TEST(OwnershipSystem, UnsuccessfulHandoversBackOff)
{
    CoreFleet fleet;
    settle(fleet);
    fleet.cut("i0", "b0");
    ASSERT_TRUE(fleet.runUntil(seconds(5), [&] { return fleet.holder(0) > 0; }));
    fleet.run(seconds(60));
    EXPECT_TRUE(fleet.allOwned());
    EXPECT_LE(fleet.counter("jujubekeel_handovers_total"), 4U);
}

// Guards against a planned stop that leaves servers without an owner until a timeout, or that ends while it owns one.
TEST(OwnershipSystem, StoppingInstanceHandsEverythingOver)
{
    CoreFleet fleet({.instancesPerDomain = 2});
    settle(fleet);
    const int owner = fleet.holder(0);
    fleet.input(static_cast<std::uint32_t>(owner), StopRequested{});
    ASSERT_TRUE(fleet.runUntil(milliseconds(200), [&] { return fleet.holder(0) == 1 - owner; }));
    fleet.run(seconds(3));
    for (std::uint32_t server = 0; server < 3; ++server) {
        EXPECT_EQ(step(fleet, owner, server), OwnershipStep::None);
        EXPECT_NE(fleet.holder(server), owner);
    }
    EXPECT_TRUE(fleet.allOwned());
}

// Guards against a planned stop that waits for an abandoned transaction on a primary that has been replaced.
TEST(OwnershipSystem, TransactionOfAReplacedTermDoesNotDelayAStop)
{
    CoreFleet fleet;
    settle(fleet);
    ASSERT_EQ(fleet.holder(0), 0);
    fleet.input(0, PeerMessageArrived{
                       .from = InstanceId{.index = 1, .generation = 0},
                       .message = RulesUpdate{.version = 1, .text = "no-repeat db pay.* # Keith Joseph: test\n"}});
    fleet.input(0, CallerRequestArrived{.request = {.ticket = 1,
                                                    .id = "r1",
                                                    .database = "db",
                                                    .caller = "c",
                                                    .kind = RequestKind::Begin,
                                                    .timeout = seconds(5)}});
    fleet.run(seconds(6));
    ASSERT_EQ(fleet.world(0).transactions.size(), 1U);
    fleet.cut("b0", "b1");
    fleet.cut("b0", "b2");
    ASSERT_TRUE(fleet.runUntil(seconds(6), [&] { return fleet.knownPrimary(0) > 0; }));
    EXPECT_EQ(fleet.world(0).transactions.size(), 1U);
    fleet.input(0, StopRequested{});
    EXPECT_TRUE(fleet.runUntil(seconds(1), [&] { return fleet.holder(0) > 0; }));
}

// Guards against an owner that reaches its server but no other proxy: no proxy could forward requests to it.
TEST(OwnershipSystem, UnreachableHolderIsPreempted)
{
    CoreFleet fleet;
    settle(fleet);
    ASSERT_EQ(fleet.holder(0), 0);
    fleet.cut("i0", "i1");
    fleet.cut("i0", "i2");
    fleet.run(seconds(3));
    EXPECT_EQ(fleet.holder(0), 0);
    ASSERT_TRUE(fleet.runUntil(seconds(4), [&] { return fleet.holder(0) > 0; }));
    EXPECT_GE(fleet.counter("jujubekeel_preemptions_total"), 1U);
}

// Guards against livelock: two sides that reach the server but not each other preempt each other with growing pauses.
TEST(OwnershipSystem, PreemptionsBackOff)
{
    CoreFleet fleet({.domains = 2});
    settle(fleet);
    fleet.cut("i0", "i1");
    fleet.run(seconds(60));
    const std::uint64_t first = fleet.counter("jujubekeel_preemptions_total");
    fleet.run(seconds(60));
    const std::uint64_t second = fleet.counter("jujubekeel_preemptions_total") - first;
    EXPECT_GE(first, 2U);
    EXPECT_LE(first, 16U);
    EXPECT_LE(second, first / 2);
}

// Guards against a proxy that is cut off from the fleet and takes every server from the proxies that reach each other.
TEST(OwnershipSystem, ProxyCutOffFromTheFleetPreemptsNothing)
{
    CoreFleet fleet;
    settle(fleet);
    fleet.cut("i0", "i1");
    fleet.cut("i0", "i2");
    fleet.run(seconds(30));
    for (std::uint32_t server = 0; server < 3; ++server)
        EXPECT_GT(fleet.holder(server), 0);
    EXPECT_EQ(fleet.counter("jujubekeel_preemptions_total"), 1U);
}

// Guards against preempting a working owner that only one instance cannot reach.
TEST(OwnershipSystem, HolderReachableFromAPeerKeepsTheLock)
{
    CoreFleet fleet;
    settle(fleet);
    ASSERT_EQ(fleet.holder(0), 0);
    fleet.cut("i0", "i1");
    fleet.run(seconds(20));
    EXPECT_EQ(fleet.holder(0), 0);
    EXPECT_EQ(fleet.counter("jujubekeel_preemptions_total"), 0U);
}

// Guards against a takeover that leaves sessions of the previous owner open, which would exceed the connection limit.
TEST(OwnershipSystem, ControlConnectionsFitIntoTheReserve)
{
    CoreFleet fleet({.instancesPerDomain = 2});
    settle(fleet);
    fleet.run(seconds(2));
    for (std::uint32_t server = 0; server < 3; ++server)
        EXPECT_EQ(fleet.status(server).connections, 1U);
    fleet.stop(static_cast<std::uint32_t>(fleet.holder(0)));
    ASSERT_TRUE(fleet.runUntil(seconds(3), [&] { return fleet.holder(0) >= 0; }));
    fleet.run(seconds(2));
    EXPECT_LE(fleet.status(0).connections, 2U);
}

// Guards against a handover that leaves the server unused while peers wait for the next heartbeat or for their rank.
TEST(OwnershipSystem, HandoverMessageLeadsToAnAttemptAtOnce)
{
    CoreFleet fleet({.instancesPerDomain = 2});
    settle(fleet);
    const int owner = fleet.holder(0);
    const int other = 1 - owner;
    fleet.input(static_cast<std::uint32_t>(other),
                PeerMessageArrived{.from = InstanceId{.index = static_cast<std::uint32_t>(owner), .generation = 0},
                                   .message = Handover{.backend = BackendId{.index = 0, .generation = 0}}});
    fleet.run(milliseconds(2));
    EXPECT_NE(step(fleet, other, 0), OwnershipStep::None);
    // The lock is still held, so the attempt ends without harm.
    fleet.run(milliseconds(50));
    EXPECT_EQ(step(fleet, other, 0), OwnershipStep::None);
    EXPECT_EQ(fleet.holder(0), owner);
}

/// One proxy whose control connection to the first server is answered by the test.
class OwnerWithScriptedServer : public testing::Test
{
protected:
    OwnerWithScriptedServer()
    {
        ProxyOptions options;
        options.session.tokenKeys = {"key-for-tests"};
        FleetLayout layout;
        layout.instances.push_back({.name = "i0", .failureDomain = "d0"});
        layout.databases.push_back({.name = "db", .backends = {this->server, this->replica}});
        layout.backends.push_back(
            {.name = "b0", .database = DatabaseId{.index = 0, .generation = 0}, .failureDomain = "d0"});
        layout.backends.push_back(
            {.name = "b1", .database = DatabaseId{.index = 0, .generation = 0}, .failureDomain = "d1"});
        this->core = std::make_unique<ProxyCore>(
            ProxyCoreOptions{.layout = layout, .proxy = options, .self = InstanceId{.index = 0, .generation = 0}});
    }

    /// Advances the clock and passes an input to the core.
    Actions feed(Duration after, const Input &input)
    {
        this->now += after;
        Actions actions;
        this->core->step(this->now, input, actions);
        return actions;
    }

    /// Requests in \a actions that are sent on \a connection.
    static std::vector<SendToBackend> requests(const Actions &actions, ConnectionId connection)
    {
        std::vector<SendToBackend> found;
        for (const Action &action : actions) {
            const auto *request = std::get_if<SendToBackend>(&action);
            if (request != nullptr && request->connection == connection)
                found.push_back(*request);
        }
        return found;
    }

    /// Answers the request \a serial with the status of a primary whose lock this proxy holds.
    Actions answer(Duration after, std::uint64_t serial, BackendStatusCode code = BackendStatusCode::Ok)
    {
        ServerStatus status{.role = BackendRole::Primary, .fencedTerm = 1, .lockHolder = "i0"};
        status.history.append({.term = 1, .start = 0});
        status.received = {.term = 1, .position = 10};
        status.applied = status.received;
        return this->feed(after, BackendAnswered{.connection = this->control,
                                                 .answer = {.serial = serial, .code = code, .status = status}});
    }

    /// Takes the lock and returns the serial of the first ping.
    std::uint64_t takeOwnership()
    {
        for (const Action &action : this->feed(milliseconds(1), Tick{})) {
            const auto *opening = std::get_if<OpenConnection>(&action);
            if (opening != nullptr && opening->backend == this->server)
                this->control = opening->connection;
        }
        const auto lock = requests(
            this->feed(milliseconds(1), ConnectionOpened{.connection = this->control, .ok = true}), this->control);
        EXPECT_EQ(lock.at(0).request.operation, BackendOperation::Lock);
        const auto terminate = requests(this->answer(milliseconds(1), lock.at(0).request.serial), this->control);
        EXPECT_EQ(terminate.at(0).request.operation, BackendOperation::TerminateOthers);
        this->answer(milliseconds(1), terminate.at(0).request.serial);
        const auto ping = requests(this->feed(milliseconds(1), Tick{}), this->control);
        EXPECT_EQ(ping.at(0).request.operation, BackendOperation::Barrier);
        return ping.at(0).request.serial;
    }

    [[nodiscard]] const OwnershipState &ownership() const { return this->core->world().backends[0].ownership; }

    BackendId server{.index = 0, .generation = 0};
    BackendId replica{.index = 1, .generation = 0};
    std::unique_ptr<ProxyCore> core;
    ConnectionId control;
    TimePoint now{0};
};

// Guards against a second request on a busy control connection, and against pings that stop or are sent too often.
TEST_F(OwnerWithScriptedServer, OnePingAtATimeEachInterval)
{
    const std::uint64_t first = this->takeOwnership();
    EXPECT_TRUE(requests(this->feed(milliseconds(300), Tick{}), this->control).empty());
    this->answer(milliseconds(1), first);
    const auto next = requests(this->feed(milliseconds(1), Tick{}), this->control);
    ASSERT_EQ(next.size(), 1U);
    this->answer(milliseconds(1), next[0].request.serial);
    EXPECT_TRUE(requests(this->feed(milliseconds(200), Tick{}), this->control).empty());
    EXPECT_EQ(requests(this->feed(milliseconds(60), Tick{}), this->control).size(), 1U);
}

// Guards against keeping the ownership of a server whose control connection hangs.
TEST_F(OwnerWithScriptedServer, UnansweredPingEndsTheOwnership)
{
    this->takeOwnership();
    const Actions actions = this->feed(milliseconds(601), Tick{});
    EXPECT_EQ(this->ownership().step, OwnershipStep::None);
    EXPECT_TRUE(std::ranges::any_of(actions, [&](const Action &action) {
        const auto *closing = std::get_if<CloseConnection>(&action);
        return closing != nullptr && closing->connection == this->control;
    }));
}

// Guards against accepting an answer to an earlier request as the answer to the current one.
TEST_F(OwnerWithScriptedServer, AnswerWithAnotherSerialEndsTheOwnership)
{
    const std::uint64_t ping = this->takeOwnership();
    this->answer(milliseconds(1), ping + 1000);
    EXPECT_EQ(this->ownership().step, OwnershipStep::None);
}

// Guards against missing that another instance has taken the lock while the control connection stayed open.
TEST_F(OwnerWithScriptedServer, StatusThatNamesAnotherHolderEndsTheOwnership)
{
    const std::uint64_t ping = this->takeOwnership();
    ServerStatus status{.role = BackendRole::Primary, .lockHolder = "i9"};
    this->feed(milliseconds(1),
               BackendAnswered{.connection = this->control, .answer = {.serial = ping, .status = status}});
    EXPECT_EQ(this->ownership().step, OwnershipStep::None);
}

// Guards against a retry storm: the pauses between failed attempts double up to their limit.
TEST_F(OwnerWithScriptedServer, FailedAttemptsBackOff)
{
    std::vector<TimePoint> attempts;
    for (int tick = 0; tick < 1500; ++tick) {
        for (const Action &action : this->feed(milliseconds(10), Tick{})) {
            const auto *opening = std::get_if<OpenConnection>(&action);
            if (opening == nullptr || opening->backend != this->server || !opening->control)
                continue;
            const ConnectionRow &row = this->core->world().connections.at(opening->connection);
            if (row.purpose != ConnectionPurpose::Ownership)
                continue;
            attempts.push_back(this->now);
            this->feed(milliseconds(0), ConnectionOpened{.connection = opening->connection, .ok = false});
        }
    }
    ASSERT_GE(attempts.size(), 8U);
    EXPECT_LE(attempts[1] - attempts[0], milliseconds(120));
    EXPECT_GE(attempts[4] - attempts[3], 2 * (attempts[2] - attempts[1]));
    EXPECT_LE(attempts.back() - attempts[attempts.size() - 2], milliseconds(2020));
}

} // namespace

} // namespace Jujubekeel
