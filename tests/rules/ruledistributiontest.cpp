#include "support/corefleet.h"

#include <gtest/gtest.h>

namespace Jujubekeel {

namespace {

using std::chrono::seconds;

void sendRules(CoreFleet &fleet, std::uint32_t instance, std::uint64_t version)
{
    fleet.input(instance,
                PeerMessageArrived{.from = InstanceId{.index = (instance + 1) % 3, .generation = 0},
                                   .message = RulesUpdate{.version = version, .text = "no-repeat db pay.* # test\n"}});
}

std::uint64_t versionAt(const CoreFleet &fleet, std::uint32_t instance)
{
    const World &world = fleet.world(instance);
    return world.rules ? world.rules->version() : 0;
}

// Guards against rules that revert to an older version because an update from a peer arrives late.
TEST(RuleDistribution, LateUpdateDoesNotRevertTheRules)
{
    CoreFleet fleet;
    fleet.run(seconds(1));
    sendRules(fleet, 0, 2);
    fleet.run(seconds(1));
    ASSERT_EQ(versionAt(fleet, 0), 2U);
    sendRules(fleet, 0, 1);
    fleet.run(std::chrono::milliseconds(1));
    EXPECT_EQ(versionAt(fleet, 0), 2U);
}

// Guards against rules that reach only the watchers and the peers they send to. While the platform is unreachable, a
// proxy must fetch a newer version from the peer whose heartbeat announces it.
TEST(RuleDistribution, ProxiesFetchAnnouncedRulesWithoutThePlatform)
{
    CoreFleet fleet;
    fleet.run(seconds(1));
    for (const std::string name : {"i0", "i1", "i2"})
        fleet.cut("platform", name);
    sendRules(fleet, 0, 1);
    EXPECT_TRUE(fleet.runUntil(seconds(8), [&] { return versionAt(fleet, 1) == 1 && versionAt(fleet, 2) == 1; }));
}

} // namespace

} // namespace Jujubekeel
