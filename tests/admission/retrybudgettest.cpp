#include "admission/retrybudget.h"

#include <gtest/gtest.h>

namespace Jujubekeel {

namespace {

// Guards against retries that multiply the load after a failover.
TEST(RetryBudget, AttemptsBeyondFloorAndShareAreRefused)
{
    RetryBudget budget;
    for (int request = 0; request < 100; ++request)
        budget.deposit(10);

    int allowed = 0;
    for (int attempt = 0; attempt < 100; ++attempt)
        allowed += budget.tryWithdraw(std::chrono::seconds(1), 5) ? 1 : 0;
    EXPECT_EQ(allowed, 15);
}

// Guards against a proxy with few requests never being allowed a retry.
TEST(RetryBudget, FloorIsRenewedEachSecond)
{
    RetryBudget budget;
    EXPECT_TRUE(budget.tryWithdraw(std::chrono::milliseconds(100), 1));
    EXPECT_FALSE(budget.tryWithdraw(std::chrono::milliseconds(200), 1));
    EXPECT_TRUE(budget.tryWithdraw(std::chrono::milliseconds(1100), 1));
}

} // namespace

} // namespace Jujubekeel
