#include <Tests/LibCalls/call_simulation.h>

#include <LibCalls/refusal_rules.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

// Targets name limits on the requests that they take from all daemons together; many daemons call them, each with its
// own view. The load is twice what the limits allow, so that every daemon always has calls for every target.

namespace merlinpier {

namespace {

using fixture::call_simulation;
using fixture::simulation_settings;

constexpr double limit = 20;
constexpr milliseconds window { 4000 };
constexpr milliseconds deadline { 500 };
// A call that is refused for a limit is refused at once: after a few attempts, each a round trip.
constexpr milliseconds longestRefusal { 150 };
constexpr double minimumUse = 0.95;

double secondsOf(duration time) { return std::chrono::duration<double>(time).count(); }

// The most requests that the target got in any window that begins in the given time.
std::size_t mostInWindow(std::vector<time_point> const& requests, time_point from, time_point to)
{
    std::size_t most = 0;
    auto end = requests.begin();
    for (auto begin = requests.begin(); begin != requests.end(); ++begin) {
        if (*begin < from || *begin > to)
            continue;
        while (end != requests.end() && *end - *begin < window)
            ++end;
        most = std::max<std::size_t>(most, end - begin);
    }
    return most;
}

// Stricter than what targets ask for, which is one and a half times the limit.
double allowedInWindow(double requestsPerSecond) { return 1.1 * requestsPerSecond * secondsOf(window) + 5; }

class limited_fleet {
public:
    explicit limited_fleet(simulation_settings settings, double callsPerSecond)
        : m_settings(settings)
        , m_callsPerSecond(callsPerSecond)
        , simulation(prepare(settings))
        , m_start(simulation.now())
    {
        scheduleCall();
    }

    void runFor(duration time) { simulation.run(simulation.now() + time); }
    void limitAll(std::optional<double> requestsPerSecond)
    {
        for (std::size_t target = 0; target < m_settings.targets; ++target)
            simulation.setRequestLimit(target, requestsPerSecond);
    }

    std::size_t answeredSince(time_point since) const
    {
        return count(since, [](auto const& outcome) { return std::holds_alternative<call_answered>(outcome); });
    }
    std::size_t notRunSince(time_point since) const
    {
        return count(since, [](auto const& outcome) { return std::holds_alternative<call_not_run>(outcome); });
    }

private:
    static simulation_settings prepare(simulation_settings settings)
    {
        settings.choice = choice_policy::ExpectedFinish;
        settings.deadline = deadline;
        settings.sharedBudget = shared_budget_settings { 0.2, 56, seconds(10) };
        return settings;
    }

    void scheduleCall()
    {
        // Poisson arrivals.
        double const gap = -std::log(1 - uniformUnit(simulation.random())) / m_callsPerSecond;
        simulation.at(
            simulation.now() + std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap)), [this] {
                caller_request request { .id = "call" + std::to_string(++m_calls), .service = "slots" };
                request.method = "GET";
                request.path = "/slots/1";
                simulation.startCall(uniformBelow(simulation.random(), m_settings.clients), request, true);
                scheduleCall();
            });
    }

    template <typename Predicate> std::size_t count(time_point since, Predicate const& isCounted) const
    {
        std::size_t counted = 0;
        for (auto const& call : simulation.history())
            counted += call.startedAt >= since && !call.outcomes.empty() && isCounted(call.outcomes.front());
        return counted;
    }

    simulation_settings m_settings;
    double m_callsPerSecond;
    std::size_t m_calls { 0 };

public:
    call_simulation simulation;

private:
    time_point m_start;
};

// One target in ten daemons, and at least two.
simulation_settings settingsFor(std::size_t daemons, std::uint64_t seed)
{
    simulation_settings settings;
    settings.clients = daemons;
    settings.targets = std::max<std::size_t>(2, daemons / 10);
    settings.seed = seed;
    return settings;
}

class LimitedFleetTest : public testing::TestWithParam<std::size_t> { };
class LimitedLargeFleetTest : public testing::TestWithParam<std::size_t> { };

void expectLimitsHeldAndUsed(std::size_t daemons, duration time)
{
    auto const settings = settingsFor(daemons, 1);
    auto const targets = static_cast<double>(settings.targets);
    limited_fleet fleet(settings, 2 * limit * targets);
    fleet.limitAll(limit);
    fleet.runFor(seconds(2));
    auto const since = fleet.simulation.now();
    fleet.runFor(time);
    auto const until = fleet.simulation.now();
    fleet.runFor(deadline);
    for (std::size_t target = 0; target < settings.targets; ++target)
        EXPECT_LE(mostInWindow(fleet.simulation.requestsTo(target), since, until), allowedInWindow(limit));
    EXPECT_GE(fleet.answeredSince(since), minimumUse * limit * targets * secondsOf(until - since));
    for (auto const& call : fleet.simulation.history()) {
        if (call.startedAt < since || call.outcomes.empty())
            continue;
        auto const* refused = std::get_if<call_not_run>(&call.outcomes.front());
        if (!refused)
            continue;
        EXPECT_GT(refused->retryAfterMs, 0u);
        // A call whose place in the queue turns out too late for its deadline has waited by then.
        bool const hasWaited = refused->reason == refusal_reason::DeadlineTooShort;
        EXPECT_LE(call.completedAt - call.startedAt, hasWaited ? deadline : longestRefusal);
    }
}

} // namespace

// Guards against limits that each daemon keeps by itself, so that the sum exceeds them, and against limits that are
// kept by leaving capacity unused.
TEST_P(LimitedFleetTest, AreHeldAndUsedByAllDaemonsTogether) { expectLimitsHeldAndUsed(GetParam(), seconds(10)); }
TEST_P(LimitedLargeFleetTest, AreHeldAndUsedByAllDaemonsTogether) { expectLimitsHeldAndUsed(GetParam(), seconds(5)); }

// What is beyond the limit of one target runs at the others.
TEST_P(LimitedFleetTest, SendTheRestToTargetsWithoutALimit)
{
    auto const settings = settingsFor(GetParam(), 2);
    auto const targets = static_cast<double>(settings.targets);
    // The others have half of their slots in use.
    double const capacity = settings.slots / secondsOf(settings.work);
    limited_fleet fleet(settings, limit + 0.5 * capacity * (targets - 1));
    fleet.simulation.setRequestLimit(0, limit);
    fleet.runFor(seconds(2));
    auto const since = fleet.simulation.now();
    fleet.runFor(seconds(8));
    auto const until = fleet.simulation.now();
    fleet.runFor(deadline);
    EXPECT_LE(mostInWindow(fleet.simulation.requestsTo(0), since, until), allowedInWindow(limit));
    auto const answered = fleet.answeredSince(since);
    auto const refused = fleet.notRunSince(since);
    EXPECT_LE(refused, 0.01 * static_cast<double>(answered + refused));
}

TEST_P(LimitedFleetTest, HoldWhenTheyFallAndAreLiftedWhenTheyEnd)
{
    auto const settings = settingsFor(GetParam(), 3);
    auto const targets = static_cast<double>(settings.targets);
    limited_fleet fleet(settings, 4 * limit * targets);
    fleet.limitAll(2 * limit);
    fleet.runFor(seconds(4));
    fleet.limitAll(limit / 2);
    fleet.runFor(seconds(1));
    auto const fallen = fleet.simulation.now();
    fleet.runFor(seconds(6));
    for (std::size_t target = 0; target < settings.targets; ++target)
        EXPECT_LE(mostInWindow(fleet.simulation.requestsTo(target), fallen, fleet.simulation.now()),
            allowedInWindow(limit / 2));
    fleet.limitAll({});
    fleet.runFor(seconds(2));
    auto const ended = fleet.simulation.now();
    fleet.runFor(seconds(2));
    auto const until = fleet.simulation.now();
    fleet.runFor(deadline);
    EXPECT_GE(fleet.answeredSince(ended), 0.9 * 4 * limit * targets * secondsOf(until - ended));
}

// Guards against a burst after a restart of the target's daemon, which has forgotten the limit.
TEST_P(LimitedFleetTest, HoldOverRestartsOfTheTargetsDaemons)
{
    auto const settings = settingsFor(GetParam(), 4);
    limited_fleet fleet(settings, 2 * limit * static_cast<double>(settings.targets));
    fleet.limitAll(limit);
    fleet.runFor(seconds(2));
    auto const since = fleet.simulation.now();
    for (int restarts = 0; restarts < 3; ++restarts) {
        for (std::size_t target = 0; target < settings.targets; ++target)
            fleet.simulation.restart(target);
        fleet.runFor(seconds(3));
    }
    for (std::size_t target = 0; target < settings.targets; ++target)
        EXPECT_LE(
            mostInWindow(fleet.simulation.requestsTo(target), since, fleet.simulation.now()), allowedInWindow(limit));
}

INSTANTIATE_TEST_SUITE_P(Daemons, LimitedFleetTest, testing::Values(12, 80, 194));
INSTANTIATE_TEST_SUITE_P(LargeFleet, LimitedLargeFleetTest, testing::Values(1000));

// Links that go silent, lose, repeat and delay frames, and daemons that restart, do not raise what targets get.
RC_GTEST_PROP(LimitedFleetUnderFaults, NeverExceeded, ())
{
    simulation_settings settings;
    settings.clients = *rc::gen::inRange<std::size_t>(1, 12);
    settings.targets = *rc::gen::inRange<std::size_t>(1, 4);
    settings.seed = *rc::gen::arbitrary<std::uint64_t>();
    settings.faults
        = { .duplicate = 20, .late = 20, .silence = 5, .restart = 1, .unreachable = 5, .lost = 5, .shed = 20 };
    double const requestsPerSecond = *rc::gen::inRange(0, 60);
    limited_fleet fleet(settings, 3 * (requestsPerSecond + 5) * static_cast<double>(settings.targets));
    fleet.limitAll(requestsPerSecond);
    fleet.runFor(seconds(2));
    auto const since = fleet.simulation.now();
    fleet.runFor(seconds(8));
    for (std::size_t target = 0; target < settings.targets; ++target)
        RC_ASSERT(mostInWindow(fleet.simulation.requestsTo(target), since, fleet.simulation.now())
            <= allowedInWindow(requestsPerSecond));
}

} // namespace merlinpier
