#include "pool/serverchooser.h"
#include "pool/poolworld.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Jujubekeel {

namespace {

using std::chrono::milliseconds;

/// A relaying instance with six members in its own region, which is one failure domain, and three in another. The
/// largest organisation has half of the sum of all rate limits.
struct RelayingWorld
{
    explicit RelayingWorld(const std::string &instance)
    {
        this->world.now = std::chrono::seconds(100);
        this->world.options.instance = instance;
        this->world.options.failureDomain = "near";
        this->world.options.region = "r0";
        this->world.options.regionOf = {{"near", "r0"}, {"far", "r1"}};
        this->world.options.relayTargets = 9;
        for (int member = 0; member < 9; ++member) {
            const std::string name = "m" + std::to_string(member);
            this->world.memberById[name] = this->world.servers.insert(
                ServerRow{.entry = {.id = name, .failureDomain = member < 6 ? "near" : "far"}, .isMember = true});
        }
        const auto table = std::make_shared<OrganisationTable>(1);
        table->add({.name = "large", .limit = RateLimit{.operationsPerSecond = 100}}, {});
        for (int index = 0; index < 10; ++index)
            table->add({.name = "small" + std::to_string(index), .limit = RateLimit{.operationsPerSecond = 10}}, {});
        this->world.organisations = table;
    }
    [[nodiscard]] std::vector<std::string> order(std::string_view organisation) const
    {
        SessionRow session;
        session.organisation = this->world.organisations->findByName(organisation);
        session.work.emplace();
        std::vector<std::string> names;
        for (const ServerId id : ServerChooser(this->world).relayCandidates(session))
            names.push_back(this->world.servers.at(id).entry.id);
        return names;
    }
    ServerRow &member(const std::string &name) { return this->world.servers.at(this->world.memberById.at(name)); }

    PoolWorld world;
};

std::vector<std::string> firstSorted(std::vector<std::string> names, std::size_t count)
{
    names.resize(count);
    std::sort(names.begin(), names.end());
    return names;
}

// Guards against instances that prefer different members for one organisation, and against all organisations
// preferring the same member.
TEST(ServerChooser, InstancesOfARegionPreferTheSameMembers)
{
    const RelayingWorld left("i1");
    const RelayingWorld right("i2");
    std::vector<std::string> first;
    for (int index = 0; index < 10; ++index) {
        const std::string organisation = "small" + std::to_string(index);
        EXPECT_EQ(left.order(organisation).front(), right.order(organisation).front());
        first.push_back(left.order(organisation).front());
    }
    EXPECT_EQ(firstSorted(left.order("large"), 3), firstSorted(right.order("large"), 3));
    std::sort(first.begin(), first.end());
    EXPECT_GT(std::unique(first.begin(), first.end()) - first.begin(), 3);
}

// Guards against one member carrying an organisation that is larger than its part of the load.
TEST(ServerChooser, NumberOfPreferredMembersFollowsTheRateLimit)
{
    // Half of all limits are the fair part of three of six members. Under load the preferred ones are slower.
    RelayingWorld relaying("i1");
    const std::vector<std::string> usual = relaying.order("large");
    for (std::size_t index = 0; index < 3; ++index)
        relaying.member(usual[index]).responseTime += milliseconds(30);
    EXPECT_EQ(firstSorted(relaying.order("large"), 3), firstSorted(usual, 3));
    relaying.member(usual[3]).responseTime -= milliseconds(6);
    EXPECT_EQ(relaying.order("large").front(), usual[3]);
}

// Guards against work that waits for a preferred member which does not answer, refuses, leaves or is overloaded.
TEST(ServerChooser, NextMemberReplacesAPreferredOneThatIsNotUsable)
{
    RelayingWorld relaying("i1");
    const std::vector<std::string> usual = relaying.order("small1");
    ServerRow &preferred = relaying.member(usual.front());
    const ServerRow healthy = preferred;

    preferred.awaitingAnswerSince = relaying.world.now - milliseconds(600);
    const std::string next = relaying.order("small1").front();
    EXPECT_NE(next, usual.front());
    EXPECT_EQ(relaying.order("small1").back(), usual.front());
    preferred = healthy;
    preferred.refusedAt = relaying.world.now - milliseconds(100);
    EXPECT_EQ(relaying.order("small1").front(), next);
    preferred = healthy;
    preferred.entry.draining = true;
    EXPECT_EQ(relaying.order("small1").front(), next);
    preferred = healthy;
    preferred.running = 2;
    EXPECT_NE(relaying.order("small1").front(), usual.front());
}

// Guards against a change for deployments without organisations.
TEST(ServerChooser, WithoutOrganisationOnlyTheExpectedWaitCounts)
{
    RelayingWorld relaying("i1");
    relaying.member("m4").responseTime -= milliseconds(1);
    EXPECT_EQ(relaying.order("none").front(), "m4");
}

// Guards against reads that stay at a primary in the own region while, in a burst at twice the usual load, all of its
// capacity is needed for the work that only it can do. The replica is in another region; with the factor 2 of the default the
// read goes to the primary.
TEST(ServerChooser, LargerFactorLeavesTheNearPrimaryToItsOwnWorkInABurst)
{
    RelayingWorld member("i1");
    PoolWorld &world = member.world;
    ServiceRow records;
    const ServiceId service = world.services.insert(std::move(records));
    const ServerId primary = world.servers.insert(
        ServerRow{.entry = {.id = "p", .failureDomain = "near"}, .service = service, .responseTime = milliseconds(14)});
    const ServerId replica = world.servers.insert(
        ServerRow{.entry = {.id = "r", .failureDomain = "far"}, .service = service, .responseTime = milliseconds(10)});
    ServiceRow &row = world.services.at(service);
    row.servers = {primary, replica};
    row.primary = primary;
    SessionRow session;
    session.work.emplace();
    const auto first = [&] { return ServerChooser(world).readCandidates(session, service, LogPosition{}).front(); };
    EXPECT_EQ(first(), primary);
    world.options.primaryReadFactor = 3;
    EXPECT_EQ(first(), replica);
    // An idle primary still takes them: 9 ms and no way, against 10 ms and 20 ms for the way.
    world.servers.at(primary).responseTime = milliseconds(9);
    EXPECT_EQ(first(), primary);
}

} // namespace

} // namespace Jujubekeel
