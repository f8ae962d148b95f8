#include <LibPlatform/call_budget.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace merlinpier {

namespace {

constexpr time_point start {};

} // namespace

TEST(CallBudget, AllowsTheBurstAndThenTheRate)
{
    call_budget budget(60, 3, start);
    for (int i = 0; i < 3; ++i)
        EXPECT_TRUE(budget.tryTake(start));
    EXPECT_FALSE(budget.tryTake(start));
    EXPECT_FALSE(budget.tryTake(start + milliseconds(900)));
    EXPECT_TRUE(budget.tryTake(start + milliseconds(1001)));
    EXPECT_FALSE(budget.tryTake(start + milliseconds(1002)));
}

TEST(CallBudget, SavesUpNoMoreThanTheBurst)
{
    call_budget budget(600, 2, start);
    auto const later = start + seconds(3600);
    EXPECT_TRUE(budget.tryTake(later));
    EXPECT_TRUE(budget.tryTake(later));
    EXPECT_FALSE(budget.tryTake(later));
}

TEST(CallBudget, AllowsTheNextCallAfterTheTimeUntilAvailable)
{
    EXPECT_TRUE(rc::check([] {
        auto const callsPerMinute = *rc::gen::inRange(1, 10'000);
        call_budget budget(callsPerMinute, *rc::gen::inRange(1, 10), start);
        auto now = start;
        for (int i = 0; i < 50; ++i) {
            now += budget.timeUntilAvailable(now);
            RC_ASSERT(budget.timeUntilAvailable(now) == duration::zero());
            RC_ASSERT(budget.tryTake(now));
        }
    }));
}

TEST(CallBudget, AddsNoCallsForATimeThatGoesBack)
{
    call_budget budget(60, 1, start + seconds(10));
    EXPECT_TRUE(budget.tryTake(start + seconds(10)));
    EXPECT_FALSE(budget.tryTake(start));
    EXPECT_FALSE(budget.tryTake(start + seconds(10)));
}

} // namespace merlinpier
