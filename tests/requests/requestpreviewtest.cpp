#include "requests/requestpreview.h"
#include "core/proxycore.h"

#include <gtest/gtest.h>

namespace Jujubekeel {

namespace {

using std::chrono::seconds;

/// A proxy that has received the reports of a primary and a replica from the peer that owns them.
ProxyCore makeCore(bool withRules)
{
    FleetLayout layout{.user = "test"};
    layout.instances = {{.name = "self", .failureDomain = "a"}, {.name = "peer", .failureDomain = "b"}};
    layout.databases = {{.name = "orders", .backends = {{.index = 0}, {.index = 1}}}};
    for (const char *name : {"s1", "s2"})
        layout.backends.push_back({.name = name, .database = {.index = 0}, .failureDomain = "b"});
    ProxyCore core(ProxyCoreOptions{
        .layout = layout, .proxy = {.session = {.tokenKeys = {"test-key"}}}, .self = {.index = 0}, .incarnation = 1});

    Heartbeat heartbeat{.incarnation = 1, .sentAt = seconds(1), .echo = seconds(1), .echoIncarnation = 1};
    for (std::uint32_t index : {0U, 1U}) {
        BackendReport report{.backend = {.index = index},
                             .primary = index == 0,
                             .applied = {.term = 1, .position = 10},
                             .received = {.term = 1, .position = 10}};
        report.confirmedAge = index == 0 ? Duration{0} : Duration{-1};
        report.history.append({.term = 1, .start = 0});
        heartbeat.owned.push_back(report);
    }
    const InstanceId peer{.index = 1, .generation = 0};
    Actions actions;
    core.step(seconds(1), PeerMessageArrived{.from = peer, .message = heartbeat}, actions);
    if (withRules) {
        const std::string text =
            "read-age orders stock.* 30s # Jón: may be old\nno-repeat orders booking.* # Jón: once\n";
        core.step(seconds(1), PeerMessageArrived{.from = peer, .message = RulesUpdate{.version = 3, .text = text}},
                  actions);
    }
    core.step(seconds(2), Tick{}, actions);
    return core;
}

// Guards against a preview that shows another rule line or server than a request would get.
TEST(RequestPreview, NamesRuleRequesterServerAndPositions)
{
    const ProxyCore core = makeCore(true);
    FailureReason reason;
    const auto read = RequestPreview::decide(core.world(), {.database = "orders", .operation = "stock.lookup"}, reason);
    ASSERT_TRUE(read.has_value()) << reason.text();
    EXPECT_EQ(read->ruleLine, 1U);
    EXPECT_EQ(read->requester, "Jón");
    EXPECT_EQ(read->backend, "s2");
    EXPECT_EQ(read->owner, "peer");
    EXPECT_EQ(read->rulesVersion, 3U);
    EXPECT_NE(read->reason.find("s2 at 1/10"), std::string::npos) << read->reason;

    const auto write = RequestPreview::decide(
        core.world(), {.database = "orders", .operation = "booking.create", .kind = RequestKind::Write}, reason);
    ASSERT_TRUE(write.has_value()) << reason.text();
    EXPECT_EQ(write->ruleLine, 2U);
    EXPECT_EQ(write->backend, "s1");
}

// Guards against a preview that succeeds although the request would be rejected.
TEST(RequestPreview, FailsWithTheReasonOfTheRejection)
{
    FailureReason reason;
    const ProxyCore core = makeCore(true);
    EXPECT_FALSE(RequestPreview::decide(core.world(), {.database = "nowhere", .operation = "x"}, reason).has_value());
    EXPECT_EQ(reason.code(), ResultCode::UnknownDatabase);
    const ProxyCore withoutRules = makeCore(false);
    EXPECT_FALSE(
        RequestPreview::decide(withoutRules.world(), {.database = "orders", .operation = "x"}, reason).has_value());
    EXPECT_EQ(reason.code(), ResultCode::NoRules);
}

} // namespace

} // namespace Jujubekeel
