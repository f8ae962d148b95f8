#include <LibCalls/admission_queue.h>
#include <LibCalls/local_targets.h>
#include <LibCalls/request_limiter.h>
#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr auto start = time_point(seconds(100));

time_point at(int ms) { return start + milliseconds(ms); }

// Sends as often as the limiter allows, tried every millisecond, and returns how often that was.
int sendBetween(request_limiter& limiter, int firstMs, int lastMs)
{
    int sent = 0;
    for (int ms = firstMs; ms < lastMs; ++ms) {
        if (!limiter.maySend(at(ms)))
            continue;
        limiter.didSend(at(ms));
        ++sent;
    }
    return sent;
}

admission_request makeRequest(std::string id, milliseconds remaining = milliseconds(500))
{
    return { std::move(id), call_class::Interactive, start + remaining };
}

admission_queue makeQueue(std::uint32_t slots, double limit)
{
    admission_queue queue;
    queue.setLimits({ .slots = slots, .queueLimit = 10 });
    queue.offer(makeRequest("sample"), at(-1020));
    queue.release("sample", admission_queue::learning::Learn, at(-1000));
    queue.setRequestLimit(limit, at(-1000));
    return queue;
}

target_announcement announcementOf(std::uint64_t startedAt, std::uint64_t sequence)
{
    return { "t", "slots", "L", "127.0.0.1:9000", target_state::Ready, 6, startedAt, sequence };
}

} // namespace

TEST(RequestLimiter, AllowsEverythingWithoutALimit)
{
    request_limiter limiter;
    EXPECT_EQ(sendBetween(limiter, 0, 100), 100);
    EXPECT_EQ(limiter.expectedWait(1000, at(100)), duration::zero());
}

TEST(RequestLimiter, KeepsTheRateFromTheFirstMoment)
{
    request_limiter limiter;
    limiter.setLimit(20, at(0));
    EXPECT_EQ(sendBetween(limiter, 0, 4000), 79);
    EXPECT_EQ(sendBetween(limiter, 4000, 8000), 80);
}

TEST(RequestLimiter, SavesNoMoreThanTheBucketHolds)
{
    request_limiter limiter;
    limiter.setLimit(20, at(0));
    EXPECT_EQ(sendBetween(limiter, 60000, 64000), 83);
}

TEST(RequestLimiter, SendsARequestInTwoSecondsWhateverTheLimit)
{
    request_limiter limiter;
    limiter.setLimit(0, at(0));
    EXPECT_EQ(sendBetween(limiter, 0, 20001), 10);
}

TEST(RequestLimiter, FollowsALimitThatFallsRisesAndEnds)
{
    request_limiter limiter;
    limiter.setLimit(100, at(0));
    sendBetween(limiter, 0, 1000);
    limiter.setLimit(10, at(1000));
    EXPECT_LE(sendBetween(limiter, 1000, 5000), 41);
    limiter.setLimit(50, at(5000));
    EXPECT_GE(sendBetween(limiter, 5000, 9000), 199);
    limiter.setLimit({}, at(9000));
    EXPECT_EQ(sendBetween(limiter, 9000, 9100), 100);
}

TEST(AdmissionQueue, LetsCallsWaitForTheRequestLimitAlthoughSlotsAreFree)
{
    auto queue = makeQueue(6, 10);
    using kind = admission_decision::kind;
    EXPECT_EQ(queue.offer(makeRequest("a"), start)[0].verdict, kind::Run);
    EXPECT_EQ(queue.offer(makeRequest("b"), start)[0].verdict, kind::Run);
    EXPECT_FALSE(queue.canStart(call_class::Interactive, start));
    EXPECT_EQ(queue.offer(makeRequest("c"), start)[0].verdict, kind::Wait);
    EXPECT_EQ(queue.tick(at(50)), std::vector<admission_decision> {});
    EXPECT_EQ(queue.tick(at(110)), (std::vector<admission_decision> { { "c", kind::Run, milliseconds(0) } }));
}

// Guards against a call that waits although the limit cannot let it start before its deadline.
TEST(AdmissionQueue, RefusesAtOnceWhatTheRequestLimitMakesTooLate)
{
    auto queue = makeQueue(6, 2);
    using kind = admission_decision::kind;
    queue.offer(makeRequest("a"), start);
    auto const refused = queue.offer(makeRequest("b", milliseconds(300)), start)[0];
    EXPECT_EQ(refused.verdict, kind::RefuseDeadline);
    EXPECT_GE(refused.retryAfter, milliseconds(400));
    auto late = makeRequest("c");
    late.deadline = at(5000);
    late.objective = at(100);
    EXPECT_EQ(queue.offer(late, start)[0].verdict, kind::RefuseLimit) << "slots are free, but the wait is too long";
}

TEST(AdmissionQueue, ReportsTheWaitForTheRequestLimitAsLoad)
{
    auto queue = makeQueue(6, 10);
    EXPECT_LT(queue.loadPermille(start), 1000u);
    queue.offer(makeRequest("a"), start);
    queue.offer(makeRequest("b"), start);
    EXPECT_GE(queue.loadPermille(start), 1000u);
    EXPECT_LT(queue.loadPermille(at(1000)), 1000u);
}

TEST(LocalTargets, EndsALimitOnlyWithAnAnswerToALaterCall)
{
    local_targets targets;
    ASSERT_FALSE(targets.announce(announcementOf(5, 1), 0, at(0)).isError());
    EXPECT_TRUE(targets.setRequestLimit("t", 20, at(0), at(100)));
    EXPECT_FALSE(targets.setRequestLimit("t", 20, at(50), at(110)));
    EXPECT_FALSE(targets.setRequestLimit("t", {}, at(90), at(120))) << "sent before the limit was named";
    EXPECT_EQ(targets.requestLimit("t"), 20);
    EXPECT_TRUE(targets.setRequestLimit("t", {}, at(130), at(140)));
    EXPECT_EQ(targets.requestLimit("t"), std::nullopt);
    EXPECT_FALSE(targets.setRequestLimit("unknown", 20, at(0), at(100)));
}

TEST(LocalTargets, PublishesLargeStepsOfALimitOnly)
{
    local_targets targets;
    auto const empty = configuration_set::createEmpty();
    ASSERT_FALSE(targets.announce(announcementOf(5, 1), 0, at(0)).isError());
    EXPECT_EQ(targets.records(*empty)[0].requestLimitMilli, std::nullopt);
    targets.setRequestLimit("t", 20, at(0), at(100));
    EXPECT_EQ(targets.records(*empty)[0].requestLimitMilli, 20000u);
    targets.setRequestLimit("t", 22, at(0), at(200));
    EXPECT_EQ(targets.records(*empty)[0].requestLimitMilli, 20000u);
    EXPECT_EQ(targets.requestLimit("t"), 22);
    targets.setRequestLimit("t", 10, at(0), at(300));
    EXPECT_EQ(targets.records(*empty)[0].requestLimitMilli, 10000u);
    targets.setRequestLimit("t", {}, at(400), at(500));
    EXPECT_EQ(targets.records(*empty)[0].requestLimitMilli, std::nullopt);
}

TEST(LocalTargets, KeepsALimitForTheIncarnationThatNamedIt)
{
    local_targets targets { milliseconds(1000) };
    ASSERT_FALSE(targets.announce(announcementOf(5, 1), 0, at(0)).isError());
    targets.setRequestLimit("t", 20, at(0), at(100));
    targets.tick(at(2000));
    ASSERT_FALSE(targets.announce(announcementOf(5, 2), 0, at(2100)).isError());
    EXPECT_EQ(targets.requestLimit("t"), 20) << "the lease had expired, but the target did not restart";
    ASSERT_FALSE(targets.announce(announcementOf(6, 1), 0, at(2200)).isError());
    EXPECT_EQ(targets.requestLimit("t"), std::nullopt);
}

// Guards against a restarted daemon that sends a target more than its limit until the first answer.
TEST(LocalTargets, TakesALimitFromAnEarlierProcessUntilTheTargetAnswers)
{
    local_targets targets;
    EXPECT_TRUE(targets.didLimitBefore("t", 5, 20, at(0)));
    ASSERT_FALSE(targets.announce(announcementOf(5, 9), 0, at(10)).isError());
    EXPECT_EQ(targets.requestLimit("t"), 20);
    EXPECT_FALSE(targets.didLimitBefore("t", 5, 30, at(20))) << "known already";
    EXPECT_TRUE(targets.setRequestLimit("t", {}, at(30), at(40)));
    EXPECT_FALSE(targets.didLimitBefore("t", 5, 20, at(50))) << "the target has named none since";
    local_targets others;
    ASSERT_FALSE(others.announce(announcementOf(6, 1), 0, at(0)).isError());
    EXPECT_FALSE(others.didLimitBefore("t", 5, 20, at(10))) << "another incarnation";
    EXPECT_EQ(others.requestLimit("t"), std::nullopt);
}

TEST(LocalTargets, NameTheIncarnationThatLeaves)
{
    local_targets targets;
    ASSERT_FALSE(targets.announce(announcementOf(5, 1), 0, at(0)).isError());
    EXPECT_EQ(targets.departedStart("t"), 0u);
    ASSERT_FALSE(targets.retire("t", at(10)).isError());
    EXPECT_EQ(targets.departedStart("t"), 5u);
    ASSERT_FALSE(targets.announce(announcementOf(5, 2), 0, at(20)).isError());
    EXPECT_EQ(targets.find("t")->state, target_state::Draining) << "a late heartbeat does not bring it back";
    EXPECT_EQ(targets.departedStart("unknown"), 0u);
}

// Guards against a target that leaves while its daemon stops and that the daemon's next process takes for ready.
TEST(LocalTargets, NameADepartureThatIsAnnouncedWhileTheDaemonStops)
{
    local_targets targets;
    ASSERT_FALSE(targets.announce(announcementOf(5, 1), 0, at(0)).isError());
    targets.drainAll(at(10));
    EXPECT_EQ(targets.departedStart("t"), 0u);
    EXPECT_TRUE(targets.didAnnounceDeparture("t", at(20)));
    EXPECT_EQ(targets.departedStart("t"), 5u);
    EXPECT_FALSE(targets.didAnnounceDeparture("t", at(30)));
    EXPECT_FALSE(targets.didAnnounceDeparture("unknown", at(30)));
}

} // namespace merlinpier
