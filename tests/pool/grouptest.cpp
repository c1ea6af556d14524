#include "virtualpool/unevenload.h"
#include "virtualpool/virtualpool.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace Jujubekeel {

namespace {

using std::chrono::seconds;

// Guards against work that runs in another group than that of its database, and against faults that hit a server of
// another group. The second group has its primary in d1.
TEST(SeveralGroups, WorkAndFaultsReachTheirGroup)
{
    VirtualPoolOptions options{.instances = 3};
    options.furtherGroups.push_back(options.group);
    options.furtherGroups.front().service = "other";
    options.furtherGroups.front().domains = {"d1", "d2", "d0"};
    VirtualPool pool(options);
    UnevenLoad load(pool, {.rate = 100, .swing = 0.5});
    pool.run(seconds(2));
    load.start(pool.now() + seconds(3));
    pool.run(seconds(1));
    pool.stopServer(4); // the second server of the second group
    pool.run(seconds(3));

    EXPECT_TRUE(pool.group(0).isRunning(1));
    EXPECT_FALSE(pool.group(1).isRunning(1));
    for (std::size_t group = 0; group < 2; ++group) {
        EXPECT_GT(pool.group(group).history().runs.size(), 100U);
        for (const GroupHistory::Run &run : pool.group(group).history().runs) {
            ASSERT_NE(load.find(run.id), nullptr);
            EXPECT_EQ(load.find(run.id)->group, group);
        }
        EXPECT_TRUE(pool.group(group).history().misuse.empty());
    }
    EXPECT_GT(std::count_if(load.operations().begin(), load.operations().end(),
                            [](const auto &operation) { return operation.endedAt.count() != 0 && !operation.error; }),
              static_cast<std::ptrdiff_t>(load.operations().size() * 9 / 10));
}

} // namespace

} // namespace Jujubekeel
