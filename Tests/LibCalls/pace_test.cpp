#include <LibCalls/call_server.h>
#include <Tests/LibRouting/fleet_fixture.h>

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

// After a restart of the daemon, the target still runs calls that this process does not know. Calls sent beyond its
// slots and its own queue would never be answered.
TEST(PaceAtAdmission, LeavesSlotsToCallsOfAnEarlierProcess)
{
    call_server server({ .instance = 7 });
    local_targets targets;
    ASSERT_FALSE(targets.announce({ "t", "slots", "L", "127.0.0.1:9000", target_state::Ready }, 0, start).isError());
    auto const configuration = fixture::makeConfiguration({ fixture::makeService("slots", { "L" }, 4) });
    std::uint64_t calls = 0;
    auto const startsAtOnce = [&](time_point now) {
        call_request call;
        call.id = attempt_identifier { "call" + std::to_string(++calls), calls, false }.text();
        call.instance = 7;
        call.generation = 1;
        call.service = "slots";
        call.target = "t";
        call.entryPoint = "lookup";
        call.remainingMs = 10000;
        auto const actions = server.didReceiveCall({ 1, 1 }, call, targets, *configuration, now);
        return !actions.empty() && std::holds_alternative<run_call>(actions[0]);
    };
    server.raiseFence({ 1, 1 }, start);
    server.tick(start);
    EXPECT_TRUE(startsAtOnce(start));
    server.didAnnounceLoad("t", 3, start + milliseconds(10));
    EXPECT_TRUE(startsAtOnce(start + milliseconds(20)));
    EXPECT_FALSE(startsAtOnce(start + milliseconds(30))) << "two of the four slots are held by earlier calls";
    server.tick(start + milliseconds(1500));
    EXPECT_EQ(server.running(), 3u) << "the waiting call is not started when the slots are free again";
    EXPECT_TRUE(startsAtOnce(start + milliseconds(1510)));
    server.didAnnounceLoad("t", 40, start + milliseconds(1520));
    EXPECT_EQ(server.loads(start + milliseconds(1520)).at("t").slots, 4u)
        << "later, all calls of the target are those of this process";
}

} // namespace merlinpier
