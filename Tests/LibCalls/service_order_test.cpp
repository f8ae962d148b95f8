#include <LibCalls/service_order.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

using standing = service_standing;

pending_call makeCall(milliseconds objective, milliseconds work, std::uint32_t priority = 0)
{
    pending_call call;
    call.rank.priority = priority;
    call.objectiveLeft = objective;
    call.timeLeft = objective * 3;
    call.work = work;
    return call;
}

service_capacity makeCapacity(std::uint32_t slots, milliseconds firstWait)
{
    service_capacity capacity;
    capacity.slots = slots;
    capacity.firstWait = firstWait;
    return capacity;
}

std::vector<std::size_t> callsOf(std::vector<service_place> const& places, standing wanted)
{
    std::vector<std::size_t> calls;
    for (auto const& place : places) {
        if (place.standing == wanted)
            calls.push_back(place.call);
    }
    return calls;
}

using indices = std::vector<std::size_t>;

} // namespace

// Failure: a less urgent call that can still be in time passes an urgent one that cannot.
TEST(ServiceOrder, KeepsRanksInOrderWhateverTheirObjectives)
{
    service_order const order(makeCapacity(1, milliseconds(50)));
    auto tenantFirst = makeCall(milliseconds(2000), milliseconds(20), 7);
    auto const routeFirst = makeCall(milliseconds(150), milliseconds(20), 0);
    auto tenantLater = routeFirst;
    tenantLater.rank.tenantPriority = 1;
    auto const lateAndUrgent = makeCall(milliseconds(60), milliseconds(20), 0);
    auto const places = order.plan({ tenantLater, tenantFirst, routeFirst, lateAndUrgent });
    ASSERT_EQ(places.size(), 4u);
    EXPECT_EQ(places[0].call, 2u);
    EXPECT_EQ(places[1].call, 3u);
    EXPECT_EQ(places[1].standing, standing::Late);
    EXPECT_EQ(places[2].call, 1u) << "the tenant's priority goes before the route's";
    EXPECT_EQ(places[3].call, 0u);
}

// Failure: rank is lost when the estimate of work is wrong by three times in either direction.
TEST(ServiceOrder, KeepsRanksInOrderWithWrongEstimates)
{
    for (auto const work : { milliseconds(30), milliseconds(90), milliseconds(270) }) {
        service_order const order(makeCapacity(6, milliseconds(15)));
        auto const places = order.plan({ makeCall(milliseconds(800), milliseconds(90), 2),
            makeCall(milliseconds(250), work, 0), makeCall(milliseconds(250), work, 0) });
        EXPECT_EQ(places.back().call, 0u) << work.count() << " ms";
        EXPECT_NE(places.back().standing, standing::Unservable);
    }
}

// Load: more calls of one kind than can be in time. With earliest objective first alone, each call waits until just
// beyond its objective, and all are late.
TEST(ServiceOrder, PlansNoMoreCallsThanCanBeInTime)
{
    service_order const order(makeCapacity(1, milliseconds(0)));
    std::vector<pending_call> const calls(8, makeCall(milliseconds(250), milliseconds(50)));
    auto const places = order.plan(calls);
    EXPECT_EQ(callsOf(places, standing::InTime), (indices { 0, 1, 2 }));
    EXPECT_EQ(places[2].wait, milliseconds(100));
}

// Load: long and short calls of one rank that cannot all be in time.
TEST(ServiceOrder, DropsTheMostWorkFirst)
{
    service_order const order(makeCapacity(1, milliseconds(0)));
    auto const places
        = order.plan({ makeCall(milliseconds(400), milliseconds(200)), makeCall(milliseconds(480), milliseconds(90)),
            makeCall(milliseconds(480), milliseconds(90)), makeCall(milliseconds(480), milliseconds(90)) });
    EXPECT_EQ(callsOf(places, standing::InTime), (indices { 1, 2, 3 }));
}

// Failure: a call that waits for long is refused for one that has just arrived and is little shorter.
TEST(ServiceOrder, KeepsHeldAndReturnedCallsRatherThanNewOnes)
{
    service_order const order(makeCapacity(1, milliseconds(0)));
    auto held = makeCall(milliseconds(200), milliseconds(120));
    held.isHeld = true;
    auto const places = order.plan({ held, makeCall(milliseconds(250), milliseconds(100)) });
    EXPECT_EQ(callsOf(places, standing::InTime), (indices { 0 }));
    auto returned = held;
    returned.objectiveLeft.reset();
    returned.hasReturned = true;
    returned.isHeld = false;
    returned.timeLeft = milliseconds(300);
    auto const others = order.plan({ makeCall(milliseconds(250), milliseconds(110)), returned });
    EXPECT_EQ(others.front().call, 1u) << "a returned call is served before its deadline";
}

// Load: calls of a hot tenant fill the queue of all.
TEST(ServiceOrder, ServesTenantsWithinTheirShareFirst)
{
    service_order const order(makeCapacity(1, milliseconds(0)));
    auto hot = makeCall(milliseconds(200), milliseconds(50));
    hot.isBeyondShare = true;
    auto const places = order.plan({ hot, hot, hot, makeCall(milliseconds(250), milliseconds(50)) });
    EXPECT_EQ(places.front().call, 3u);
    EXPECT_EQ(callsOf(places, standing::InTime).size(), 3u) << "the capacity that is left goes to the hot tenant";
}

// Failure: a call whose work can no longer end before its deadline takes a slot.
TEST(ServiceOrder, FindsCallsThatCannotEndBeforeTheirDeadline)
{
    service_order const order(makeCapacity(1, milliseconds(30)));
    auto call = makeCall(milliseconds(50), milliseconds(60));
    call.timeLeft = milliseconds(80);
    call.isHeld = true;
    EXPECT_EQ(order.plan({ call }).front().standing, standing::Unservable);
    call.timeLeft = milliseconds(90);
    EXPECT_EQ(order.plan({ call }).front().standing, standing::Late);
}

// Failure: a late call is held although calls in time take all capacity, and is refused at its deadline.
TEST(ServiceOrder, HoldsNoNewLateCallWhileItsRankIsOverloaded)
{
    auto capacity = makeCapacity(1, milliseconds(50));
    auto const late = makeCall(milliseconds(100), milliseconds(50));
    std::vector<pending_call> const calls { makeCall(milliseconds(250), milliseconds(50)), late };
    EXPECT_EQ(service_order(capacity).plan(calls)[1].standing, standing::Late);
    capacity.loads = { { {}, 1.2 } };
    EXPECT_EQ(service_order(capacity).plan(calls)[1].standing, standing::Unservable);
}

// Load: the most urgent rank alone exceeds the capacity. A lower rank still gets its minimum share.
TEST(ServiceOrder, PlansLowerRanksByTheirMinimumShare)
{
    auto capacity = makeCapacity(1, milliseconds(0));
    capacity.loads = { { {}, 2.0 } };
    std::vector<pending_call> calls(4, makeCall(milliseconds(250), milliseconds(50)));
    calls.push_back(makeCall(milliseconds(800), milliseconds(50), 2));
    auto const places = service_order(capacity).plan(calls);
    ASSERT_EQ(callsOf(places, standing::InTime).back(), 4u);
}

// Without an estimate, calls are neither late nor refused before their time is over.
TEST(ServiceOrder, OrdersByObjectiveWithoutAnEstimate)
{
    service_order const order(makeCapacity(1, milliseconds(0)));
    auto const places = order.plan({ makeCall(milliseconds(300), milliseconds(0)),
        makeCall(milliseconds(200), milliseconds(0)), makeCall(milliseconds(100), milliseconds(0)) });
    EXPECT_EQ(callsOf(places, standing::InTime), (indices { 2, 1, 0 }));
}

TEST(ServiceOrder, RetriesOnlyWhatEndsInTimeOrWellBeforeItsDeadline)
{
    auto const call = makeCall(milliseconds(250), milliseconds(88));
    EXPECT_TRUE(service_order::isRetryWorthwhile(call, milliseconds(240)));
    EXPECT_TRUE(service_order::isRetryWorthwhile(call, milliseconds(370)));
    EXPECT_FALSE(service_order::isRetryWorthwhile(call, milliseconds(380)))
        << "a late attempt takes the place of calls in time";
}

} // namespace merlinpier
