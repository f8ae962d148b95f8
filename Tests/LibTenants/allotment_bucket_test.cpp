#include <LibTenants/allotment_bucket.h>
#include <LibTenants/demand_rate.h>

#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace merlinpier {

namespace {

constexpr time_point start { seconds(1000) };

// Sends requests at an even rate, and returns how many were allowed.
int send(allotment_bucket& bucket, double perSecond, duration time, time_point& now, double ownDemand)
{
    int allowed = 0;
    auto const gap = std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / perSecond));
    for (auto const end = now + time; now < end; now += gap)
        allowed += !bucket.take(ownDemand, now);
    return allowed;
}

} // namespace

// Guards against a single daemon that gives more or less than the limit.
TEST(AllotmentBucket, GivesTheLimitAtOneDaemon)
{
    allotment_bucket bucket({ 100, 100 }, 1, 8, 1, start);
    auto now = start;
    bucket.didLearn({ 300, 300 }, now);
    send(bucket, 300, seconds(8), now, 300);
    bucket.didLearn({ 300, 300 }, now);
    auto const allowed = send(bucket, 300, seconds(5), now, 300);
    EXPECT_GE(allowed, 485);
    EXPECT_LE(allowed, 530);
}

// Guards against a retry-after time at which no token is due, or that is none.
TEST(AllotmentBucket, TellsWhenToComeBack)
{
    allotment_bucket bucket({ 10, 0 }, 1, 8, 1, start);
    bucket.didLearn({ 20, 20 }, start);
    auto now = start;
    while (!bucket.take(20, now)) { }
    auto const wait = bucket.take(20, now);
    ASSERT_TRUE(wait);
    EXPECT_GE(*wait, milliseconds(20));
    EXPECT_LE(*wait, milliseconds(2000));
    EXPECT_FALSE(bucket.take(20, now + *wait));
}

// Guards against requests refused for chance alone where a daemon sees few of a tenant's requests.
TEST(AllotmentBucket, RefusesNothingWhileTheDemandIsBelowTheLimit)
{
    allotment_bucket bucket({ 50, 50 }, 66, 8, 1, start);
    bucket.didLearn({ 31, 0.5 }, start);
    auto const atFirst = static_cast<int>(bucket.tokens());
    for (int i = 0; i < atFirst + 4; ++i)
        EXPECT_FALSE(bucket.take(0.5, start)) << i;
    EXPECT_LT(bucket.tokens(), 0) << "what was passed is owed";
}

TEST(AllotmentBucket, CutsTheFillToALowerLimit)
{
    allotment_bucket bucket({ 100, 100 }, 1, 8, 1, start);
    bucket.didLearn({ 50, 50 }, start);
    EXPECT_GT(bucket.tokens(), 100);
    bucket.setLimit({ 1, 1 }, start);
    EXPECT_LT(bucket.tokens(), 10);
}

TEST(AllotmentBucket, TakesAnEqualShareWhenItIsCutOff)
{
    allotment_bucket bucket({ 100, 100 }, 20, 8, 1, start);
    EXPECT_DOUBLE_EQ(bucket.share(start), 8.0 / 20);
    bucket.didLearn({ 100, 50 }, start);
    EXPECT_DOUBLE_EQ(bucket.share(start + seconds(7)), 0.5);
    EXPECT_DOUBLE_EQ(bucket.share(start + seconds(9)), 0.05);
}

// Guards against a request that no target ran and that is counted against the limit.
TEST(AllotmentBucket, TakesBackATokenOfARequestThatDidNotRun)
{
    allotment_bucket bucket({ 10, 10 }, 1, 8, 1, start);
    auto const before = bucket.tokens();
    EXPECT_FALSE(bucket.take(1, start));
    bucket.giveBack(start);
    EXPECT_DOUBLE_EQ(bucket.tokens(), before);
}

// Guards against numbers that break the count of the window, at one daemon whose tenant sends more than its limit.
RC_GTEST_PROP(AllotmentBucket, NeverGivesMoreThanTheRuleInOverload, ())
{
    auto const rate = *rc::gen::inRange(1, 1000);
    auto const burst = *rc::gen::inRange(0, 1000);
    allotment_bucket bucket({ static_cast<double>(rate), static_cast<double>(burst) }, 1, 8, 1, start);
    auto const overload = rate * 2.0 + 10;
    auto now = start;
    std::vector<time_point> allowed;
    for (int i = 0; i < 400; ++i) {
        now += milliseconds(*rc::gen::inRange(0, 100));
        auto const demand = static_cast<double>(*rc::gen::inRange(0, 5000));
        if (*rc::gen::inRange(0, 4) == 0)
            bucket.didLearn({ std::max(demand, overload), demand }, now);
        for (int k = *rc::gen::inRange(0, 40); k > 0; --k) {
            if (!bucket.take(overload, now))
                allowed.push_back(now);
        }
    }
    RC_ASSERT(std::isfinite(bucket.tokens()));
    std::size_t first = 0;
    for (std::size_t last = 0; last < allowed.size(); ++last) {
        while (allowed[last] - allowed[first] >= seconds(5))
            ++first;
        RC_ASSERT(static_cast<double>(last - first + 1) <= (rate * 5.0 + burst) * 1.1 + 20);
    }
}

// Guards against shares that follow a change too late, or follow chance.
TEST(DemandRate, FollowsAStepAndNotChance)
{
    demand_rate rate;
    auto now = start;
    auto const sendFor = [&](double perSecond, duration time) {
        for (auto const end = now + time; now < end; now += milliseconds(1000) / static_cast<int>(perSecond))
            rate.didArrive(now);
    };
    sendFor(50, seconds(10));
    EXPECT_NEAR(rate.perSecond(now), 50, 5);
    EXPECT_FALSE(rate.isStepping(now));
    sendFor(250, milliseconds(600));
    EXPECT_NEAR(rate.perSecond(now), 250, 40);
    EXPECT_TRUE(rate.isStepping(now));
    now += milliseconds(600);
    EXPECT_LT(rate.perSecond(now), 30) << "a silence is a step as well";
    EXPECT_LT(rate.perSecond(now + seconds(20)), 0.05);
}

} // namespace merlinpier
