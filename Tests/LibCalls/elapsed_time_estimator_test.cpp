#include <LibCalls/elapsed_time_estimator.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

// Records first attempts of callers that allow 1.7 s to 2 s.
void receiveFirstAttempts(elapsed_time_estimator& deadlines, int count)
{
    for (int i = 0; i < count; ++i)
        EXPECT_EQ(deadlines.didReceive("list", milliseconds(1700 + (i * 37) % 300)), duration::zero());
}

} // namespace

TEST(ElapsedTimeEstimator, ReportsNoElapsedTimeBeforeEnoughRequests)
{
    elapsed_time_estimator deadlines;
    receiveFirstAttempts(deadlines, 10);
    EXPECT_EQ(deadlines.didReceive("list", milliseconds(500)), duration::zero());
}

TEST(ElapsedTimeEstimator, EstimatesTheTimeThatARetryingCallerHasSpent)
{
    elapsed_time_estimator deadlines;
    receiveFirstAttempts(deadlines, 200);
    auto const spent = deadlines.didReceive("list", milliseconds(1200));
    EXPECT_GE(spent, milliseconds(500));
    EXPECT_LE(spent, milliseconds(800));
    EXPECT_EQ(deadlines.didReceive("list", milliseconds(1700)), duration::zero());
    EXPECT_EQ(deadlines.didReceive("page", milliseconds(1200)), duration::zero()) << "kinds are estimated separately";
}

// Load pattern: most requests are retries after an outage, and some callers allow far more time than the others.
TEST(ElapsedTimeEstimator, TracksFirstAttemptsWhenMostRequestsAreRetries)
{
    elapsed_time_estimator deadlines;
    receiveFirstAttempts(deadlines, 200);
    for (int i = 0; i < 300; ++i) {
        deadlines.didReceive("list", milliseconds(900 + (i * 53) % 500));
        deadlines.didReceive("list", milliseconds(700 + (i * 31) % 500));
        deadlines.didReceive("list", milliseconds(1700 + (i * 37) % 300));
        if (i % 30 == 0)
            deadlines.didReceive("list", seconds(20));
    }
    EXPECT_GE(deadlines.didReceive("list", milliseconds(1000)), milliseconds(600));
    EXPECT_EQ(deadlines.didReceive("list", milliseconds(1750)), duration::zero());
}

} // namespace merlinpier
