#include <LibCalls/admission_queue.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

using kind = admission_decision::kind;
using learning = admission_queue::learning;
constexpr auto start = time_point(seconds(100));

admission_request makeRequest(
    std::string id, duration remaining = seconds(10), call_class callClass = call_class::Interactive)
{
    return { std::move(id), callClass, start + remaining };
}

admission_queue makeQueue(std::uint32_t slots, std::uint32_t queueLimit)
{
    admission_queue queue;
    queue.setLimits({ slots, queueLimit, milliseconds(5), false });
    return queue;
}

// Runs a call of the class with the given service time, so that the queue's estimate includes it.
void recordServiceTime(admission_queue& queue, duration serviceTime, call_class callClass = call_class::Interactive)
{
    queue.offer(makeRequest("sample", seconds(10), callClass), start - serviceTime);
    queue.release("sample", learning::Learn, start);
}

kind decide(admission_queue& queue, admission_request const& request) { return queue.offer(request, start)[0].verdict; }

} // namespace

TEST(AdmissionQueue, HoldsASlotUntilTheEndOfTheCallIsReported)
{
    auto queue = makeQueue(1, 1);
    EXPECT_EQ(decide(queue, makeRequest("a")), kind::Run);
    EXPECT_EQ(decide(queue, makeRequest("b")), kind::Wait);
    EXPECT_EQ(decide(queue, makeRequest("c")), kind::RefuseOverloaded);
    EXPECT_EQ(queue.loadPermille(start), 2000u);
    EXPECT_TRUE(queue.release("unknown", learning::Learn, start).empty());
    auto const decisions = queue.release("a", learning::Learn, start + milliseconds(20));
    EXPECT_EQ(decisions, (std::vector<admission_decision> { { "b", kind::Run, milliseconds(0) } }));
}

TEST(AdmissionQueue, RefusesAtOnceCallsThatWouldMissTheirDeadline)
{
    auto queue = makeQueue(2, 10);
    recordServiceTime(queue, milliseconds(100));
    decide(queue, makeRequest("a"));
    decide(queue, makeRequest("b"));
    // The first waiting call is expected to get a slot after 50 ms and to run for 100 ms.
    EXPECT_EQ(decide(queue, makeRequest("c", milliseconds(150))), kind::RefuseDeadline);
    EXPECT_EQ(decide(queue, makeRequest("d", milliseconds(160))), kind::Wait);
    EXPECT_EQ(decide(queue, makeRequest("e", milliseconds(160))), kind::RefuseDeadline);
    auto const refusal = queue.offer(makeRequest("f", milliseconds(1)), start)[0];
    EXPECT_EQ(refusal.retryAfter, milliseconds(200))
        << "one waiting call, two refused calls and this call are served at 50 ms each";
    auto const later = queue.offer(makeRequest("g", seconds(10) + milliseconds(1)), start + seconds(10))[0];
    EXPECT_EQ(later.retryAfter, milliseconds(100)) << "old refusals still count towards the retry-after time";
}

TEST(AdmissionQueue, RefusesWaitingCallsThatCanNoLongerMeetTheirDeadline)
{
    auto queue = makeQueue(1, 10);
    recordServiceTime(queue, milliseconds(20));
    decide(queue, makeRequest("a"));
    decide(queue, makeRequest("b", milliseconds(60)));
    EXPECT_TRUE(queue.tick(start + milliseconds(30)).empty());
    auto const decisions = queue.tick(start + milliseconds(40));
    ASSERT_EQ(decisions.size(), 1u);
    EXPECT_EQ(decisions[0].verdict, kind::RefuseDeadline);
    EXPECT_EQ(queue.queued(), 0u);
}

TEST(AdmissionQueue, GrantsAFreeSlotRegardlessOfTheEstimatedServiceTime)
{
    auto queue = makeQueue(1, 10);
    recordServiceTime(queue, seconds(5));
    EXPECT_EQ(decide(queue, makeRequest("a", milliseconds(50))), kind::Run)
        << "an estimate that is too long would never be corrected";
    EXPECT_EQ(decide(queue, makeRequest("b", milliseconds(50))), kind::RefuseDeadline);
}

TEST(AdmissionQueue, ServesReportsAfterOtherCalls)
{
    auto queue = makeQueue(2, 2);
    EXPECT_EQ(decide(queue, makeRequest("r1", seconds(10), call_class::Report)), kind::Run);
    EXPECT_EQ(decide(queue, makeRequest("r2", seconds(10), call_class::Report)), kind::Wait)
        << "no slot is reserved for other calls";
    EXPECT_EQ(decide(queue, makeRequest("i1")), kind::Run);
    EXPECT_EQ(decide(queue, makeRequest("r3", seconds(10), call_class::Report)), kind::Wait);
    auto const decisions = queue.offer(makeRequest("i2"), start);
    ASSERT_EQ(decisions.size(), 2u);
    EXPECT_EQ(decisions[0].verdict, kind::Wait);
    EXPECT_EQ(decisions[1].id, "r3") << "the newest report is not the call that is displaced";
    EXPECT_EQ(decisions[1].verdict, kind::RefuseOverloaded);
    auto const freed = queue.release("r1", learning::Learn, start);
    ASSERT_FALSE(freed.empty());
    EXPECT_EQ(freed[0].id, "i2") << "the waiting report is served first";
}

TEST(AdmissionQueue, EstimatesServiceTimesOfReportsAndInteractiveCallsSeparately)
{
    auto queue = makeQueue(2, 10);
    recordServiceTime(queue, seconds(2), call_class::Report);
    recordServiceTime(queue, milliseconds(10));
    decide(queue, makeRequest("a"));
    decide(queue, makeRequest("b"));
    EXPECT_EQ(decide(queue, makeRequest("c", milliseconds(100))), kind::Wait);
}

namespace {

admission_request makeKind(std::string id, std::string kind, std::uint32_t priority, duration objective)
{
    admission_request request;
    request.id = std::move(id);
    request.deadline = start + seconds(10);
    request.kind = std::move(kind);
    request.priority = priority;
    request.objective = start + objective;
    return request;
}

void recordKindServiceTime(admission_queue& queue, std::string const& kind, duration serviceTime)
{
    auto sample = makeKind("sample", kind, 0, seconds(10));
    sample.deadline = start + seconds(100);
    queue.offer(sample, start - serviceTime);
    queue.release("sample", learning::Learn, start);
}

} // namespace

// Load pattern: short calls with tight objectives among long calls, such as internal look-ups among reservations.
TEST(AdmissionQueue, ServesTheEarliestObjectiveFirstAmongEqualPriorities)
{
    auto queue = makeQueue(1, 10);
    decide(queue, makeKind("running", "long", 1, seconds(5)));
    EXPECT_EQ(decide(queue, makeKind("reservation", "long", 1, milliseconds(250))), kind::Wait);
    EXPECT_EQ(decide(queue, makeKind("lookup", "short", 1, milliseconds(60))), kind::Wait);
    auto const decisions = queue.release("running", learning::Ignore, start + milliseconds(10));
    ASSERT_EQ(decisions.size(), 1u);
    EXPECT_EQ(decisions[0].id, "lookup");
}

// Load pattern: the last target of a service has a queue full of long calls.
TEST(AdmissionQueue, DisplacesTheLatestObjectiveWhenItsQueueIsFull)
{
    auto queue = makeQueue(1, 2);
    decide(queue, makeKind("running", "long", 1, seconds(5)));
    decide(queue, makeKind("r1", "long", 1, milliseconds(250)));
    decide(queue, makeKind("r2", "long", 1, milliseconds(300)));
    auto const decisions = queue.offer(makeKind("lookup", "short", 1, milliseconds(60)), start);
    ASSERT_EQ(decisions.size(), 2u);
    EXPECT_EQ(decisions[0].verdict, kind::Wait);
    EXPECT_EQ(decisions[1].id, "r2");
    EXPECT_EQ(decisions[1].verdict, kind::RefuseOverloaded);
    EXPECT_EQ(decide(queue, makeKind("r3", "long", 1, milliseconds(400))), kind::RefuseOverloaded);
}

TEST(AdmissionQueue, ServesHigherPrioritiesFirstRegardlessOfObjective)
{
    auto queue = makeQueue(1, 10);
    decide(queue, makeKind("running", "long", 1, seconds(5)));
    decide(queue, makeKind("less", "short", 2, milliseconds(50)));
    decide(queue, makeKind("more", "short", 1, milliseconds(500)));
    auto const decisions = queue.release("running", learning::Ignore, start);
    ASSERT_FALSE(decisions.empty());
    EXPECT_EQ(decisions[0].id, "more");
}

// Load pattern: overload. A call that would end long after its objective takes capacity from calls that can still meet
// theirs.
TEST(AdmissionQueue, RefusesCallsThatExceedTheLateAllowance)
{
    auto queue = makeQueue(1, 100);
    recordKindServiceTime(queue, "list", milliseconds(100));
    decide(queue, makeKind("running", "list", 1, milliseconds(150)));
    EXPECT_EQ(decide(queue, makeKind("a", "list", 1, milliseconds(200))), kind::Wait);
    EXPECT_EQ(decide(queue, makeKind("b", "list", 1, milliseconds(200))), kind::RefuseOverloaded);
}

TEST(AdmissionQueue, ServesCallsThatMissTheirObjectiveAfterThoseThatDoNot)
{
    auto queue = makeQueue(1, 100);
    recordKindServiceTime(queue, "list", milliseconds(100));
    decide(queue, makeKind("running", "list", 1, seconds(5)));
    decide(queue, makeKind("first", "list", 1, milliseconds(210)));
    auto second = makeKind("second", "list", 1, milliseconds(400));
    decide(queue, second);
    auto const decisions = queue.release("running", learning::Ignore, start + milliseconds(150));
    ASSERT_FALSE(decisions.empty());
    EXPECT_EQ(decisions[0].id, "second") << "the first misses its objective in any order";
}

// Load pattern: a target that has become slow receives as many calls as it can serve. A call that is already late would
// be overtaken by each of them until its deadline.
TEST(AdmissionQueue, RefusesALateCallOvertakenByAsManyCallsAsThereAreSlots)
{
    auto queue = makeQueue(1, 100);
    recordKindServiceTime(queue, "list", milliseconds(100));
    decide(queue, makeKind("running", "list", 1, seconds(5)));
    EXPECT_EQ(decide(queue, makeKind("late", "list", 1, milliseconds(200))), kind::Wait);
    auto const afterwards = start + milliseconds(190);
    EXPECT_TRUE(queue.tick(afterwards).empty()) << "it is late, but no call has overtaken it";
    queue.offer(makeKind("next", "list", 1, milliseconds(600)), afterwards);
    queue.offer(makeKind("after next", "list", 1, milliseconds(700)), afterwards);
    ASSERT_EQ(queue.release("running", learning::Ignore, afterwards)[0].id, "next");
    auto const decisions = queue.tick(afterwards + milliseconds(25));
    ASSERT_EQ(decisions.size(), 1u);
    EXPECT_EQ(decisions[0].id, "late");
    EXPECT_EQ(decisions[0].verdict, kind::RefuseOverloaded);
}

// Load pattern: callers that were refused return while new calls keep the target full. Each of them would wait in the
// queue of one target after another, only to be refused there as well.
TEST(AdmissionQueue, RefusesALateCallAtOnceWhileLateCallsStarve)
{
    auto queue = makeQueue(1, 100);
    recordKindServiceTime(queue, "list", milliseconds(100));
    decide(queue, makeKind("running", "list", 1, seconds(5)));
    auto const makeLate = [](std::string id) {
        auto returned = makeKind(std::move(id), "list", 1, seconds(3));
        returned.isLate = true;
        return returned;
    };
    EXPECT_EQ(decide(queue, makeLate("first")), kind::Wait);
    EXPECT_EQ(decide(queue, makeKind("new", "list", 1, milliseconds(300))), kind::Wait);
    // "new" overtakes "first", which is refused.
    ASSERT_EQ(queue.release("running", learning::Ignore, start + milliseconds(100))[0].id, "new");
    ASSERT_EQ(queue.tick(start + milliseconds(125)).size(), 1u);
    EXPECT_EQ(queue.offer(makeLate("second"), start + milliseconds(150))[0].verdict, kind::RefuseOverloaded);
    EXPECT_EQ(queue.offer(makeLate("third"), start + milliseconds(300))[0].verdict, kind::Wait)
        << "the capacity left for late calls is not tried again";
}

TEST(AdmissionQueue, KeepsALateCallThatNoCallOvertakes)
{
    auto queue = makeQueue(1, 100);
    recordKindServiceTime(queue, "list", milliseconds(100));
    decide(queue, makeKind("running", "list", 1, seconds(5)));
    decide(queue, makeKind("late", "list", 1, milliseconds(200)));
    auto const decisions = queue.release("running", learning::Ignore, start + milliseconds(500));
    ASSERT_EQ(decisions.size(), 1u);
    EXPECT_EQ(decisions[0].verdict, kind::Run) << "a late answer is better than a refusal";
}

TEST(AdmissionQueue, RefusesWaitingCallsWhenTheTargetAcceptsNoNewWork)
{
    auto queue = makeQueue(1, 10);
    decide(queue, makeRequest("running"));
    decide(queue, makeRequest("a"));
    decide(queue, makeRequest("b"));
    EXPECT_EQ(queue.refuseWaiting(start).size(), 2u);
    EXPECT_EQ(queue.queued(), 0u);
    EXPECT_EQ(queue.running(), 1u);
}

// Load pattern: look-ups made by running calls, at a target whose slots are taken by long calls.
TEST(AdmissionQueue, RefusesShortCallsOnlyForTheirDeadline)
{
    auto queue = makeQueue(1, 100);
    recordKindServiceTime(queue, "lookup", milliseconds(10));
    recordKindServiceTime(queue, "page", milliseconds(150));
    decide(queue, makeKind("running", "page", 1, seconds(5)));
    EXPECT_EQ(decide(queue, makeKind("late", "lookup", 1, milliseconds(60))), kind::Wait);
    auto hopeless = makeKind("hopeless", "lookup", 1, milliseconds(60));
    hopeless.deadline = start + milliseconds(100);
    EXPECT_EQ(decide(queue, hopeless), kind::RefuseDeadline);
}

} // namespace merlinpier
