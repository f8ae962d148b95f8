#include <LibCalls/admission_queue.h>

#include <gtest/gtest.h>

// The admission of a target that announces how long work takes there at the moment.

namespace merlinpier {

namespace {

using kind = admission_decision::kind;
using learning = admission_queue::learning;
constexpr auto start = time_point(seconds(100));

admission_queue makeBusyQueue()
{
    admission_queue queue;
    queue.setLimits({ 1, 10, milliseconds(0), false });
    queue.offer({ "sample", call_class::Interactive, start + seconds(10) }, start - milliseconds(100));
    queue.release("sample", learning::Learn, start);
    queue.offer({ "running", call_class::Interactive, start + seconds(10) }, start);
    return queue;
}

kind decide(admission_queue& queue, duration remaining, time_point now = start)
{
    return queue.offer({ "call", call_class::Interactive, now + remaining }, now)[0].verdict;
}

} // namespace

// Guards against calls that wait in a slow target's queue until their deadline.
TEST(PaceAtAdmission, RefusesACallThatASlowTargetCannotEndInTime)
{
    auto usual = makeBusyQueue();
    EXPECT_EQ(decide(usual, milliseconds(210)), kind::Wait);
    auto slow = makeBusyQueue();
    slow.setPace({ 250, start });
    EXPECT_EQ(decide(slow, milliseconds(210)), kind::RefuseDeadline);
    EXPECT_EQ(decide(slow, milliseconds(510)), kind::Wait);
    auto late = makeBusyQueue();
    late.setPace({ 250, start });
    EXPECT_EQ(decide(late, milliseconds(210), start + seconds(3)), kind::Wait) << "an old announcement still counts";
}

// A fast target takes calls that it could not end at its usual pace.
TEST(PaceAtAdmission, AdmitsACallThatAFastTargetEndsInTime)
{
    auto fast = makeBusyQueue();
    EXPECT_EQ(decide(fast, milliseconds(150)), kind::RefuseDeadline);
    fast.setPace({ 50, start });
    EXPECT_EQ(decide(fast, milliseconds(150)), kind::Wait);
}

// Guards against an estimate that rises in a slow phase and keeps calls off the target after it.
TEST(PaceAtAdmission, LearnsServiceTimesAtTheUsualPace)
{
    admission_queue queue;
    queue.setLimits({ 1, 10, milliseconds(0), false });
    queue.setPace({ 250, start });
    queue.offer({ "call", call_class::Interactive, start + seconds(10) }, start);
    queue.setPace({ 250, start + milliseconds(500) });
    queue.release("call", learning::Learn, start + milliseconds(500));
    EXPECT_EQ(queue.serviceTime("", call_class::Interactive), milliseconds(200));
}

} // namespace merlinpier
