#include <LibCalls/admission_queue.h>

#include <gtest/gtest.h>
#include <map>
#include <queue>

namespace merlinpier {

namespace {

constexpr std::uint32_t slots = 6;
constexpr milliseconds serviceTime { 100 };
constexpr milliseconds objective { 300 };

// Counts of calls and of those that were served, for one simulated recovery.
struct outcome {
    int newCalls { 0 };
    int newInTime { 0 };
    int returned { 0 };
    int returnedServed { 0 };
};

// Simulates a target after an outage: callers that were refused during the outage retry within 200 ms, while new calls
// use more than nine tenths of the target's capacity.
outcome simulateRecovery(bool isLatenessKnown)
{
    admission_queue queue;
    queue.setLimits({ slots, 100, milliseconds(5), false });
    std::map<std::string, time_point> arrivedAt;
    std::multimap<time_point, std::string> ends;
    outcome seen;
    time_point const start { seconds(100) };
    auto const carryOut = [&](std::vector<admission_decision> const& decisions, time_point now) {
        for (auto const& decision : decisions) {
            if (decision.verdict == admission_decision::kind::Run)
                ends.emplace(now + serviceTime, decision.id);
        }
    };
    queue.offer({ .id = "sample", .deadline = start, .kind = "list" }, start - seconds(1));
    queue.release("sample", admission_queue::learning::Learn, start - seconds(1) + serviceTime);
    auto const arrive = [&](std::string const& id, bool isReturned, time_point now) {
        arrivedAt[id] = now;
        admission_request request { .id = id, .deadline = now + seconds(1), .kind = "list" };
        request.isLate = isReturned && isLatenessKnown;
        request.objective = request.isLate ? time_point {} : now + objective;
        carryOut(queue.offer(request, now), now);
    };
    auto const end = [&](std::string const& id, time_point now) {
        bool const isNew = id.starts_with("new");
        seen.returnedServed += !isNew;
        seen.newInTime += isNew && now - arrivedAt[id] <= objective;
        carryOut(queue.release(id, admission_queue::learning::Learn, now), now);
    };
    for (auto now = start; now < start + seconds(3); now += milliseconds(1)) {
        while (!ends.empty() && ends.begin()->first <= now) {
            auto const id = ends.begin()->second;
            ends.erase(ends.begin());
            end(id, now);
        }
        auto const sinceStart = (now - start) / milliseconds(1);
        if (sinceStart < 200 && sinceStart % 10 == 0)
            arrive("returned-" + std::to_string(seen.returned++), true, now);
        if (sinceStart % 18 == 0 && sinceStart < 2000)
            arrive("new-" + std::to_string(seen.newCalls++), false, now);
        if (sinceStart % 25 == 0)
            carryOut(queue.tick(now), now);
    }
    return seen;
}

} // namespace

// Load pattern: recovery after an outage. Retried calls are late in any case; if they were treated as new, they would
// make the new calls late as well.
TEST(RecoveryLoad, NewCallsMeetTheirObjectiveDespiteRetryingCallers)
{
    auto const known = simulateRecovery(true);
    auto const unknown = simulateRecovery(false);
    EXPECT_GE(known.newInTime * 100, known.newCalls * 95) << known.newInTime << " of " << known.newCalls;
    EXPECT_GT(known.newInTime, unknown.newInTime);
    EXPECT_GE(known.returnedServed, known.returned / 4) << "retried calls use the capacity that new calls leave";
}

} // namespace merlinpier
