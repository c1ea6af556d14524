#include "admission/fairqueue.h"

#include <gtest/gtest.h>

namespace Jujubekeel {

namespace {

ExecutionId execution(std::uint32_t index)
{
    return {.index = index, .generation = 0};
}

const auto acceptAll = [](ExecutionId) { return true; };

// Guards against a caller with many requests delaying all others.
TEST(FairQueue, CallersTakeTurns)
{
    FairQueue queue;
    for (std::uint32_t index = 0; index < 3; ++index)
        queue.push("busy", execution(index));
    queue.push("quiet", execution(9));

    EXPECT_EQ(queue.take(acceptAll), execution(0));
    EXPECT_EQ(queue.take(acceptAll), execution(9));
    EXPECT_EQ(queue.take(acceptAll), execution(1));
    EXPECT_EQ(queue.take(acceptAll), execution(2));
    EXPECT_FALSE(queue.take(acceptAll).isValid());
}

// Guards against a paused write at the head of its caller's queue blocking the reads of other callers.
TEST(FairQueue, ACallerWhoseFirstExecutionIsNotAcceptedIsSkipped)
{
    FairQueue queue;
    queue.push("writer", execution(1));
    queue.push("reader", execution(2));
    EXPECT_EQ(queue.take([](ExecutionId id) { return id.index == 2; }), execution(2));
    EXPECT_EQ(queue.size(), 1U);
}

// Guards against executing a request that has expired and was already answered.
TEST(FairQueue, ARemovedExecutionIsNotTaken)
{
    FairQueue queue;
    queue.push("a", execution(1));
    queue.push("a", execution(2));
    EXPECT_TRUE(queue.remove("a", execution(1)));
    EXPECT_FALSE(queue.remove("a", execution(1)));
    EXPECT_EQ(queue.take(acceptAll), execution(2));
    EXPECT_EQ(queue.sizeOf("a"), 0U);
}

} // namespace

} // namespace Jujubekeel
