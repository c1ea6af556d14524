#include "core/proxycore.h"

#include <gtest/gtest.h>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t ownIncarnation = 7;
constexpr InstanceId peer{.index = 1, .generation = 0};
constexpr BackendId primary{.index = 0, .generation = 0};

ProxyCore makeCore()
{
    FleetLayout layout{.user = "test"};
    layout.instances = {{.name = "self", .failureDomain = "a"}, {.name = "peer", .failureDomain = "b"}};
    layout.databases = {{.name = "orders", .backends = {{.index = 0}, {.index = 1}, {.index = 2}}}};
    for (const char *name : {"s1", "s2", "s3"})
        layout.backends.push_back({.name = name, .database = {.index = 0}, .failureDomain = "b"});
    return ProxyCore(ProxyCoreOptions{.layout = layout,
                                      .proxy = {.session = {.tokenKeys = {"test-key"}}},
                                      .self = {.index = 0},
                                      .incarnation = ownIncarnation});
}

/// A heartbeat of the owner of the primary. Its clock is far ahead of the receiver's.
Heartbeat makeHeartbeat(TimePoint echo, std::uint64_t echoIncarnation, std::uint64_t incarnation = 1)
{
    BackendReport report{.backend = primary,
                         .primary = true,
                         .applied = {.term = 1, .position = 10},
                         .received = {.term = 1, .position = 10},
                         .confirmedAge = milliseconds(100)};
    report.history.append({.term = 1, .start = 0});
    return {.incarnation = incarnation,
            .sentAt = seconds(5000),
            .echo = echo,
            .echoIncarnation = echoIncarnation,
            .owned = {report}};
}

void deliver(ProxyCore &core, TimePoint now, const Heartbeat &heartbeat)
{
    Actions actions;
    core.step(now, PeerMessageArrived{.from = peer, .message = heartbeat}, actions);
}

// Guards against data that looks fresher than it is when a report arrives late: its age counts from the echo.
TEST(MembershipSystem, AgeOfALateReportCountsFromTheEcho)
{
    ProxyCore core = makeCore();
    deliver(core, seconds(100), makeHeartbeat(seconds(95), ownIncarnation));
    EXPECT_EQ(core.world().at(primary).confirmedEndAsOf, seconds(95) - milliseconds(100));
}

// Guards against interpreting an echo of an earlier process, which refers to another clock, on the clock of this
// process.
TEST(MembershipSystem, EchoOfAnEarlierIncarnationIsIgnored)
{
    ProxyCore core = makeCore();
    deliver(core, seconds(100), makeHeartbeat(seconds(99), ownIncarnation - 1));
    EXPECT_LE(core.world().at(primary).confirmedEndAsOf, TimePoint{0});
}

// Guards against an echo in the future that makes data look fresh.
TEST(MembershipSystem, EchoInTheFutureIsIgnored)
{
    ProxyCore core = makeCore();
    deliver(core, seconds(100), makeHeartbeat(seconds(101), ownIncarnation));
    EXPECT_LE(core.world().at(primary).confirmedEndAsOf, TimePoint{0});
}

// Guards against a late heartbeat of an ended process that overrides the heartbeat of its successor.
TEST(MembershipSystem, HeartbeatOfAnEarlierIncarnationIsIgnored)
{
    ProxyCore core = makeCore();
    deliver(core, seconds(100), makeHeartbeat(seconds(99), ownIncarnation, 2));
    Heartbeat late = makeHeartbeat(seconds(98), ownIncarnation, 1);
    late.leaving = true;
    deliver(core, seconds(101), late);
    EXPECT_FALSE(core.world().at(peer).leaving);
    EXPECT_EQ(core.world().at(peer).lastHeard, seconds(100));
}

// Guards against treating an instance as live after its heartbeats have stopped.
TEST(MembershipSystem, SilentInstanceIsNotLive)
{
    ProxyCore core = makeCore();
    deliver(core, seconds(100), makeHeartbeat(seconds(99), ownIncarnation));
    EXPECT_TRUE(core.world().at(peer).live);
    Actions actions;
    core.step(seconds(102), Tick{}, actions);
    EXPECT_FALSE(core.world().at(peer).live);
}

} // namespace

} // namespace Jujubekeel
