#include <LibRollout/failure_test.h>
#include <LibRollout/run_evidence.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

time_point const start { seconds(1000) };

} // namespace

// Guards against records that change with every run and are sent to all daemons.
TEST(RunEvidence, PublishesSeldomAndFailuresSoon)
{
    run_evidence evidence;
    evidence.begin("t", 41);
    int publications = 0;
    for (int run = 0; run < 2000; ++run) {
        evidence.didEnd("t", "lookup", run_ending::Good, milliseconds(20));
        publications += evidence.tick(start + milliseconds(10) * run);
    }
    EXPECT_LE(publications, 25);
    evidence.didEnd("t", "lookup", run_ending::Failed, milliseconds(20));
    EXPECT_TRUE(evidence.tick(start + seconds(30)));
    ASSERT_EQ(evidence.published("t").size(), 1u);
    EXPECT_EQ(evidence.published("t").front(), (kind_evidence { "lookup", 2001, 1, 40'020 }));
}

// Guards against evidence of an earlier order, and against counts outside rollouts.
TEST(RunEvidence, StartsAnewForEachOrderAndStopsWithoutOne)
{
    run_evidence evidence;
    evidence.didEnd("t", "lookup", run_ending::Good, milliseconds(20));
    EXPECT_FALSE(evidence.tick(start));
    evidence.begin("t", 41);
    evidence.didEnd("t", "lookup", run_ending::Good, milliseconds(20));
    EXPECT_TRUE(evidence.tick(start));
    evidence.begin("t", 50);
    EXPECT_TRUE(evidence.published("t").empty());
    evidence.end("t");
    evidence.didEnd("t", "lookup", run_ending::Good, milliseconds(20));
    EXPECT_FALSE(evidence.tick(start + seconds(1)));
}

// Guards against a fault that is hidden by many good runs before it.
TEST(FailureTest, FindsALateFaultAsFastAsAnEarlyOne)
{
    failure_test test;
    auto const rates = failure_test::ratesFor(0);
    test.add("t1", 5000, 5, rates);
    EXPECT_FALSE(test.isBad(1));
    EXPECT_FALSE(test.isDoubtful());
    test.add("t1", 20, 6, rates);
    EXPECT_TRUE(test.isBad(1));
}

// Guards against a version that is blamed for one faulty VM.
TEST(FailureTest, AsksForMoreThanOneTargetOutOfThree)
{
    failure_test test;
    auto const rates = failure_test::ratesFor(0);
    test.add("t1", 20, 10, rates);
    test.add("t2", 20, 0, rates);
    test.add("t3", 20, 0, rates);
    EXPECT_FALSE(test.isBad(3));
    test.add("t2", 20, 5, rates);
    test.add("t3", 20, 6, rates);
    EXPECT_TRUE(test.isBad(3));
}

} // namespace merlinpier
