#include <LibCalls/hedging.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr std::size_t learntRuns = 400;

// Knows runs of which one in forty takes 500 ms and the others 100 ms.
hedging makeLearnt()
{
    hedging decisions;
    for (std::size_t i = 0; i < learntRuns; ++i) {
        decisions.didStartCall();
        decisions.didEndRun("list", milliseconds(i % 40 == 0 ? 500 : 100), milliseconds(100));
    }
    return decisions;
}

// A run of a call with an objective of 600 ms and a deadline of 1,200 ms.
hedging_question ask(milliseconds elapsed, milliseconds expectedFinish = milliseconds(100))
{
    return { "list", elapsed, milliseconds(100), milliseconds(600), milliseconds(600) - elapsed,
        milliseconds(1200) - elapsed, expectedFinish };
}

} // namespace

// Guards against second runs for calls of a kind whose usual time is not known.
TEST(Hedging, NeedsToKnowTheKind)
{
    hedging decisions;
    for (int i = 0; i < 19; ++i) {
        decisions.didStartCall();
        decisions.didEndRun("list", milliseconds(100), milliseconds(100));
    }
    EXPECT_EQ(decisions.longRun("list", milliseconds(100)), std::nullopt);
    EXPECT_EQ(decisions.decide(ask(milliseconds(500))), hedging_verdict::None);
    EXPECT_EQ(makeLearnt().longRun("file", milliseconds(100)), std::nullopt);
}

TEST(Hedging, LearnsHowLongNearlyAllRunsTake)
{
    auto const longRun = makeLearnt().longRun("list", milliseconds(100));
    EXPECT_EQ(longRun, milliseconds(100));
    EXPECT_EQ(makeLearnt().longRun("list", milliseconds(250)), milliseconds(250))
        << "a run that is usual for a slow target counts as long";
    auto slower = makeLearnt();
    for (std::size_t i = 0; i < 10; ++i)
        slower.didEndRun("list", milliseconds(300), milliseconds(100));
    EXPECT_EQ(slower.longRun("list", milliseconds(100)), milliseconds(300)) << "a change of load is not noticed";
}

// Guards against second runs of calls that are not slow, and against those that come too late to be of use.
TEST(Hedging, StartsASecondRunOnlyWhileItHelps)
{
    auto const decisions = makeLearnt();
    EXPECT_EQ(decisions.decide(ask(milliseconds(190))), hedging_verdict::None) << "before a third of the objective";
    EXPECT_EQ(decisions.decide(ask(milliseconds(210))), hedging_verdict::Early);
    EXPECT_EQ(decisions.decide(ask(milliseconds(210), milliseconds(450))), hedging_verdict::None)
        << "the second run would miss the objective, too";
    EXPECT_EQ(decisions.decide(ask(milliseconds(550))), hedging_verdict::None) << "the deadline is far";
    EXPECT_EQ(decisions.decide(ask(milliseconds(1020))), hedging_verdict::Rescue);
    EXPECT_EQ(decisions.decide(ask(milliseconds(1120))), hedging_verdict::None) << "no time is left for a second run";
}

// A fleet that is slow as a whole would otherwise run every call twice.
TEST(Hedging, GivesAtMostThreeOfAHundredCallsAnEarlySecondRun)
{
    auto decisions = makeLearnt();
    std::size_t second = 0;
    constexpr std::size_t calls = 2000;
    for (std::size_t i = 0; i < calls; ++i) {
        decisions.didStartCall();
        auto const verdict = decisions.decide(ask(milliseconds(300)));
        if (verdict == hedging_verdict::None)
            continue;
        ++second;
        decisions.didHedge(verdict);
    }
    EXPECT_LE(second, 0.03 * calls + 5);
    EXPECT_GE(second, 0.03 * calls - 1);
    EXPECT_EQ(decisions.decide(ask(milliseconds(1020))), hedging_verdict::Rescue)
        << "the bound on early second runs must not lose a call";
}

} // namespace merlinpier
