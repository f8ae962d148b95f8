#include <LibCalls/admission_queue.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

using kind = admission_decision::kind;
using learning = admission_queue::learning;
constexpr auto start = time_point(seconds(100));

admission_request makeRequest(
    std::string id, std::uint32_t priority = 0, duration objective = milliseconds(250), std::string tenant = "a")
{
    admission_request request;
    request.id = std::move(id);
    request.kind = "kind" + std::to_string(priority);
    request.priority = priority;
    request.objective = start + objective;
    request.deadline = start + objective * 3;
    request.tenant = std::move(tenant);
    return request;
}

admission_queue makeQueue(std::uint32_t slots, std::uint32_t queueLimit, std::vector<milliseconds> const& work)
{
    admission_queue queue;
    queue.setLimits({ slots, queueLimit, milliseconds(5), false });
    queue.setOrder(admission_order::ServiceOrder);
    for (std::size_t priority = 0; priority < work.size(); ++priority) {
        auto sample = makeRequest("sample", static_cast<std::uint32_t>(priority));
        sample.deadline = start + seconds(10);
        queue.offer(sample, start - work[priority]);
        queue.release("sample", learning::Learn, start);
    }
    return queue;
}

kind decide(admission_queue& queue, admission_request const& request, time_point now = start)
{
    return queue.offer(request, now)[0].verdict;
}

} // namespace

// Load: a route of low urgency fills all slots of a target that it shares with the most urgent one. Free slots do not
// come soon enough for the urgent route if the running calls are long.
TEST(AdmissionOrder, ReservesASlotForTheMostUrgentRankWhereItCannotWait)
{
    auto queue = makeQueue(6, 12, { milliseconds(100), milliseconds(900) });
    ASSERT_EQ(decide(queue, makeRequest("urgent")), kind::Run);
    queue.release("urgent", learning::Learn, start + milliseconds(100));
    auto const now = start + milliseconds(100);
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(decide(queue, makeRequest("low" + std::to_string(i), 1, seconds(5)), now), kind::Run);
    EXPECT_EQ(decide(queue, makeRequest("low5", 1, seconds(5)), now), kind::Wait);
    EXPECT_TRUE(queue.canStart(makeRequest("next"), now));
    EXPECT_EQ(decide(queue, makeRequest("next"), now), kind::Run);
}

TEST(AdmissionOrder, ReservesNothingWhereTheUrgentRankCanWait)
{
    auto queue = makeQueue(6, 12, { milliseconds(88), milliseconds(88) });
    ASSERT_EQ(decide(queue, makeRequest("urgent")), kind::Run);
    queue.release("urgent", learning::Learn, start + milliseconds(88));
    for (int i = 0; i < 6; ++i)
        EXPECT_EQ(decide(queue, makeRequest("low" + std::to_string(i), 1, seconds(5)), start), kind::Run);
}

// Load: the most urgent rank takes every slot that becomes free.
TEST(AdmissionOrder, GivesALowerRankATenthOfTheSlots)
{
    auto queue = makeQueue(1, 20, { milliseconds(10), milliseconds(10) });
    ASSERT_EQ(decide(queue, makeRequest("running")), kind::Run);
    ASSERT_EQ(decide(queue, makeRequest("low", 1, seconds(5))), kind::Wait);
    std::string running = "running";
    int overtakers = 0;
    for (int i = 0; i < 50 && running != "low"; ++i) {
        auto const now = start + milliseconds(10) * i;
        auto urgent = makeRequest("urgent" + std::to_string(i));
        urgent.objective = now + milliseconds(250);
        urgent.deadline = now + milliseconds(800);
        decide(queue, urgent, now);
        for (auto const& decision : queue.release(running, learning::Learn, now)) {
            if (decision.verdict == kind::Run)
                running = decision.id;
        }
        ++overtakers;
    }
    EXPECT_EQ(running, "low");
    EXPECT_GE(overtakers, 9);
    EXPECT_LE(overtakers, 12);
}

// Failure: a call is displaced for one of the same rank although it has waited, or an urgent call is refused by a queue
// full of calls that are less urgent.
TEST(AdmissionOrder, DisplacesTheLowestRankFromAFullQueue)
{
    auto queue = makeQueue(1, 2, { milliseconds(10), milliseconds(10) });
    decide(queue, makeRequest("running"));
    EXPECT_EQ(decide(queue, makeRequest("low", 1, seconds(5))), kind::Wait);
    EXPECT_EQ(decide(queue, makeRequest("first")), kind::Wait);
    auto const decisions = queue.offer(makeRequest("second"), start);
    ASSERT_EQ(decisions.size(), 2u);
    EXPECT_EQ(decisions[0], (admission_decision { "second", kind::Wait, milliseconds(0) }));
    EXPECT_EQ(decisions[1].id, "low");
    EXPECT_EQ(decisions[1].verdict, kind::RefuseOverloaded);
    EXPECT_EQ(decide(queue, makeRequest("third")), kind::RefuseOverloaded);
}

// Failure: all refused callers are told the same time and return together.
TEST(AdmissionOrder, SpreadsTheCallersThatItRefuses)
{
    auto queue = makeQueue(1, 20, { milliseconds(50) });
    decide(queue, makeRequest("running"));
    milliseconds last { 0 };
    int invited = 0;
    for (int i = 0; i < 40; ++i) {
        auto const decision = queue.offer(makeRequest("call" + std::to_string(i)), start)[0];
        if (decision.verdict == kind::Wait)
            continue;
        bool const isInvited = decision.retryAfter * 3 <= milliseconds(750);
        EXPECT_GE(decision.retryAfter, last);
        if (isInvited && last > milliseconds(0)) {
            EXPECT_GE(decision.retryAfter - last, milliseconds(50)) << "two callers get the same place";
        }
        last = decision.retryAfter;
        invited += isInvited;
    }
    EXPECT_EQ(queue.orderTotals().invitedBack, static_cast<std::uint64_t>(invited));
    EXPECT_LE(invited, 5) << "more callers are asked to return than there will be places";
}

// Load: one tenant sends far more than the others.
TEST(AdmissionOrder, ServesOtherTenantsBeforeAHotOne)
{
    auto queue = makeQueue(1, 40, { milliseconds(50) });
    decide(queue, makeRequest("running", 0, milliseconds(250), "hot"));
    auto now = start;
    std::string running = "running";
    std::map<std::string, int> served;
    std::map<std::string, std::string> tenantOf { { "running", "hot" } };
    for (int i = 0; i < 400; ++i) {
        now = start + milliseconds(10) * i;
        auto const tenant = i % 10 == 0 ? std::string("small") : std::string("hot");
        auto request = makeRequest("call" + std::to_string(i), 0, milliseconds(250), tenant);
        request.objective = now + milliseconds(250);
        request.deadline = now + milliseconds(800);
        tenantOf[request.id] = tenant;
        queue.offer(request, now);
        if (i % 5 != 0)
            continue;
        auto const released = std::exchange(running, "");
        for (auto const& decision : queue.release(released, learning::Learn, now)) {
            if (decision.verdict == kind::Run) {
                running = decision.id;
                ++served[tenantOf[running]];
            }
        }
    }
    EXPECT_GE(served["small"], 30) << "of 40 calls, with half of the capacity";
    EXPECT_GE(served["hot"], 30);
}

// The outlook is used by operators: it must not change the decision.
TEST(AdmissionOrder, ForetellsADecisionWithoutMakingIt)
{
    for (auto const order : { admission_order::ObjectiveFirst, admission_order::ServiceOrder }) {
        auto queue = makeQueue(1, 3, { milliseconds(50) });
        queue.setOrder(order);
        for (int i = 0; i < 8; ++i) {
            auto const request = makeRequest("call" + std::to_string(i));
            auto const foretold = queue.outlook(request, start);
            auto const queued = queue.queued();
            EXPECT_EQ(foretold, queue.outlook(request, start));
            EXPECT_EQ(queue.queued(), queued);
            EXPECT_EQ(queue.offer(request, start)[0], foretold.decision);
        }
    }
}

} // namespace merlinpier
