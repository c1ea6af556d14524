#include "membership/candidatetable.h"
#include "core/world.h"
#include "membership/rendezvous.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>

namespace Jujubekeel {

namespace {

constexpr std::uint32_t instanceCount = 40;
constexpr std::uint32_t databaseCount = 12;
constexpr std::uint32_t domainCount = 4;

World makeWorld()
{
    World world;
    world.self = {.index = 3, .generation = 0};
    for (std::uint32_t index = 0; index < instanceCount; ++index) {
        world.layout.instances.push_back({.name = "instance-" + std::to_string(index),
                                          .failureDomain = "domain-" + std::to_string(index % domainCount)});
        world.instances.push_back({.live = true});
    }
    for (std::uint32_t index = 0; index < databaseCount; ++index) {
        world.layout.databases.push_back({.name = "db-" + std::to_string(index)});
        world.layout.backends.push_back({.name = "server-" + std::to_string(index),
                                         .database = {.index = index},
                                         .failureDomain = "domain-" + std::to_string(index % domainCount)});
        world.databases.emplace_back();
        world.backends.emplace_back();
    }
    return world;
}

void expectSameAsFullRanking(const World &world)
{
    for (std::uint32_t index = 0; index < databaseCount; ++index) {
        const BackendSettings &backend = world.layout.backends[index];
        std::vector<InstanceId> ranked = rankInstances(world, backend.name, backend.failureDomain);
        if (ranked.size() > world.options.membership.candidates)
            ranked.resize(world.options.membership.candidates);
        EXPECT_TRUE(std::ranges::equal(world.candidates.forBackend({.index = index}), ranked)) << backend.name;

        const std::vector<InstanceId> coordinators = rankInstances(world, world.layout.databases[index].name, {});
        EXPECT_EQ(world.candidates.coordinator({.index = index}),
                  coordinators.empty() ? InstanceId{} : coordinators.front());
    }
}

// Guards against proxies that rank differently because they saw instances come and go in a different order.
TEST(CandidateTable, IncrementalChangesMatchAFullRanking)
{
    World world = makeWorld();
    std::mt19937 random(20261204); // NOLINT(cert-msc51-cpp): the same sequence in every run
    for (int change = 0; change < 300; ++change) {
        InstanceRow &row = world.instances[random() % instanceCount];
        if (random() % 4 == 0)
            row.leaving = !row.leaving;
        else
            row.live = !row.live;
        world.candidates.refresh(world);
        expectSameAsFullRanking(world);
    }
}

// Guards against a table that stays empty or outdated when all instances leave and one returns.
TEST(CandidateTable, LastInstanceLeavesAndReturns)
{
    World world = makeWorld();
    for (InstanceRow &row : world.instances)
        row.live = false;
    world.candidates.refresh(world);
    EXPECT_TRUE(world.candidates.forBackend({.index = 0}).empty());
    EXPECT_FALSE(world.candidates.coordinator({.index = 0}).isValid());

    world.instances[world.self.index].live = true;
    world.candidates.refresh(world);
    EXPECT_EQ(world.candidates.coordinator({.index = 0}), world.self);
    EXPECT_EQ(world.candidates.ownCandidacies().size(), databaseCount);
}

// Guards against rule watchers and locks that accumulate on a few instances: names that differ in one character must
// spread.
TEST(Rendezvous, KeysSpreadOverInstances)
{
    const World world = makeWorld();
    std::vector<int> first(instanceCount, 0);
    constexpr int keys = 4000;
    for (int key = 0; key < keys; ++key)
        first[rankInstances(world, "key-" + std::to_string(key), {}).front().index] += 1;
    const auto [least, most] = std::ranges::minmax(first);
    EXPECT_GT(least, keys / static_cast<int>(instanceCount) / 2);
    EXPECT_LT(most, keys / static_cast<int>(instanceCount) * 2);
}

} // namespace

} // namespace Jujubekeel
