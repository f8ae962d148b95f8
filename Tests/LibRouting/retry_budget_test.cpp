#include <LibRouting/retry_budget.h>

#include <gtest/gtest.h>

namespace merlinpier {

TEST(RetryBudget, AllowsItsShareOfCallsAndTheFloorOfAnIdleService)
{
    retry_budget budget(100, 1);
    auto now = time_point(seconds(100));
    int taken = 0;
    for (int call = 0; call < 1000; ++call) {
        now += milliseconds(1);
        budget.didStartCall(now);
        taken += budget.tryTake(now);
    }
    // 100 from the share and the initial balance of 10; the floor adds at most one token per second.
    EXPECT_GE(taken, 109);
    EXPECT_LE(taken, 111);
    EXPECT_FALSE(budget.tryTake(now));
    EXPECT_TRUE(budget.tryTake(now + seconds(1)));
    EXPECT_FALSE(budget.tryTake(now + seconds(1)));
}

TEST(RetryBudget, SavesUpNoMoreThanTheMaximumBalance)
{
    retry_budget budget(1000, 1);
    auto const now = time_point(seconds(100));
    for (int call = 0; call < 1000; ++call)
        budget.didStartCall(now);
    EXPECT_DOUBLE_EQ(budget.available(now + seconds(3600)), 20);
}

} // namespace merlinpier
