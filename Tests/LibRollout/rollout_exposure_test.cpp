#include <LibRollout/rollout_exposure.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr double share = 0.08;

} // namespace

// Guards against a bad version that gets more than its share because a daemon counts the attempts of others.
TEST(RolloutExposure, KeepsTheShareOfTheDaemonsOwnAttempts)
{
    rollout_exposure exposure;
    exposure.begin("slots", 7, share, 0);
    int sent = 0;
    for (int call = 1; call <= 10'000; ++call) {
        if (exposure.mayExpose("slots")) {
            exposure.didSend("slots");
            ++sent;
        }
        exposure.didAnswer("slots");
        ASSERT_LE(sent, share * call);
    }
    EXPECT_GE(sent, 799);
}

// Guards against a fleet whose daemons see few requests each and therefore send none to the new version for seconds.
TEST(RolloutExposure, SpreadsTheFirstAttemptsOfManyDaemonsByTheirCredits)
{
    generator random(20261203);
    int sent = 0;
    constexpr int daemons = 194;
    constexpr int callsOfEach = 5;
    for (int daemon = 0; daemon < daemons; ++daemon) {
        rollout_exposure exposure;
        exposure.begin("slots", 7, share, uniformUnit(random));
        for (int call = 0; call < callsOfEach; ++call) {
            if (exposure.mayExpose("slots")) {
                exposure.didSend("slots");
                ++sent;
            }
            exposure.didAnswer("slots");
        }
    }
    // The mean is a share of the attempts before the last of each daemon; chance adds or takes about 8.
    EXPECT_NEAR(sent, share * daemons * (callsOfEach - 1), 30);
}

// Guards against calls to a version that was rolled back or has no order.
TEST(RolloutExposure, AllowsNothingWithoutARunningOrder)
{
    rollout_exposure exposure;
    EXPECT_FALSE(exposure.mayExpose("slots"));
    exposure.begin("slots", 7, share, 0.99);
    for (int call = 0; call < 100; ++call)
        exposure.didAnswer("slots");
    EXPECT_TRUE(exposure.mayExpose("slots"));
    EXPECT_FALSE(exposure.mayExpose("visits"));
    exposure.end("slots");
    EXPECT_FALSE(exposure.mayExpose("slots"));
}

// Guards against an allowance that is spent on calls which no target ran, and against one that restarts with every
// report of the same order.
TEST(RolloutExposure, ReturnsWhatDidNotRunAndKeepsCountingForTheSameOrder)
{
    rollout_exposure exposure;
    exposure.begin("slots", 7, share, 0);
    for (int call = 0; call < 13; ++call)
        exposure.didAnswer("slots");
    ASSERT_TRUE(exposure.mayExpose("slots"));
    exposure.didSend("slots");
    EXPECT_FALSE(exposure.mayExpose("slots"));
    exposure.begin("slots", 7, share, 0.9);
    EXPECT_FALSE(exposure.mayExpose("slots"));
    exposure.didNotRun("slots");
    EXPECT_TRUE(exposure.mayExpose("slots"));
    EXPECT_EQ(exposure.countersOf("slots"), (rollout_exposure::counters { 7, 13, 0 }));
    exposure.begin("slots", 8, share, 0);
    EXPECT_EQ(exposure.countersOf("slots"), (rollout_exposure::counters { 8, 0, 0 }));
}

} // namespace merlinpier
