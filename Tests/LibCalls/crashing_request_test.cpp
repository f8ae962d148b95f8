#include <Tests/LibCalls/call_simulation.h>

#include <gtest/gtest.h>

// A request crashes each target that runs it and comes again, at any daemon, beside the usual load.

namespace merlinpier {

namespace {

using fixture::call_simulation;
using fixture::simulation_settings;

constexpr char const* crashingBody = "crash";
constexpr std::size_t allowedCrashes = 3;
// While daemons restart, or so many of them are called that the request runs at several targets at once.
constexpr std::size_t allowedCrashesWithRestarts = 5;
constexpr std::size_t runsAfterTheThird = 3;
constexpr std::size_t popularRequests = 20;
// A tenth of what a target can take.
constexpr double callsPerTarget = 30;
// The fleet knows of a crash everywhere within this time.
constexpr seconds stableWindow { 3 };

class crashing_fleet {
public:
    crashing_fleet(simulation_settings settings, double callsPerSecond, double crashingPerSecond)
        : simulation(prepare(settings))
        , m_daemons(settings.clients)
    {
        schedule(callsPerSecond, "");
        if (crashingPerSecond > 0)
            schedule(crashingPerSecond, crashingBody);
    }

    void runFor(duration time) { simulation.run(simulation.now() + time); }

    // Crashing requests that began to run later than the stable window after the third crash.
    std::size_t lateCrashingRuns() const
    {
        if (simulation.crashes().size() < allowedCrashes)
            return 0;
        auto const since = simulation.crashes()[allowedCrashes - 1] + stableWindow;
        auto const& runs = simulation.crashingRuns();
        return std::count_if(runs.begin(), runs.end(), [&](auto const& at) { return at > since; });
    }

    // Requests that crash nothing and were refused as if they did.
    std::size_t blockedInnocents() const
    {
        auto const& calls = simulation.history();
        return std::count_if(calls.begin(), calls.end(), [](auto const& call) {
            auto const* refused = call.outcomes.empty() ? nullptr : std::get_if<call_not_run>(&call.outcomes[0]);
            return call.request.body != crashingBody && refused && refused->reason == refusal_reason::CrashesTargets;
        });
    }
    // The share of the requests that crash nothing and were answered.
    double answeredShare() const
    {
        double answered = 0;
        double all = 0;
        for (auto const& call : simulation.history()) {
            if (call.request.body == crashingBody || call.outcomes.empty())
                continue;
            ++all;
            answered += std::holds_alternative<call_answered>(call.outcomes[0]);
        }
        return answered / all;
    }

private:
    static simulation_settings prepare(simulation_settings settings)
    {
        settings.choice = choice_policy::ExpectedFinish;
        settings.crashingBody = crashingBody;
        settings.sharedBudget = shared_budget_settings { 0.2, 56, seconds(10) };
        return settings;
    }

    void schedule(double perSecond, std::string const& body)
    {
        // Poisson arrivals.
        double const gap = -std::log(1 - uniformUnit(simulation.random())) / perSecond;
        simulation.at(
            simulation.now() + std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap)), [=, this] {
                auto const number = std::to_string(++m_calls);
                caller_request request { .id = "call" + number, .service = "slots" };
                request.method = "GET";
                // Every second request is one of a few that are asked for again and again.
                auto const popular = std::to_string(uniformBelow(simulation.random(), popularRequests));
                request.path = "/slots/" + (m_calls % 2 == 0 ? popular : number);
                if (!body.empty())
                    request.path = "/slots/crash";
                request.body = body;
                simulation.startCall(uniformBelow(simulation.random(), m_daemons), request, true);
                schedule(perSecond, body);
            });
    }

public:
    call_simulation simulation;

private:
    std::size_t m_daemons;
    std::size_t m_calls { 0 };
};

// One target in four daemons.
simulation_settings settingsFor(std::size_t daemons, std::uint64_t seed)
{
    simulation_settings settings;
    settings.clients = daemons;
    settings.targets = std::max<std::size_t>(4, daemons / 4);
    settings.seed = seed;
    return settings;
}

class CrashingFleetTest : public testing::TestWithParam<std::size_t> { };

} // namespace

// Guards against a request that is sent on to one target after the other although it has crashed three of them.
TEST(CrashingRequest, EndsFewTargets)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        simulation_settings settings;
        settings.clients = 12;
        settings.targets = 6;
        settings.seed = seed;
        crashing_fleet fleet(settings, 200, 4);
        fleet.runFor(seconds(90));
        EXPECT_LE(fleet.simulation.crashes().size(), allowedCrashes) << "seed " << seed;
        EXPECT_LE(fleet.lateCrashingRuns(), runsAfterTheThird) << "seed " << seed;
    }
}

// Guards against a request that comes again so often that it reaches many targets before the first crash is known.
TEST_P(CrashingFleetTest, LosesFewTargetsToOneRequest)
{
    for (double const perSecond : { 0.1, 1.0, 10.0 }) {
        auto const settings = settingsFor(GetParam(), 1);
        crashing_fleet fleet(settings, callsPerTarget * static_cast<double>(settings.targets), perSecond);
        fleet.runFor(seconds(30));
        EXPECT_LE(fleet.simulation.crashes().size(), allowedCrashes) << perSecond << " a second";
        EXPECT_EQ(fleet.lateCrashingRuns(), 0u);
        EXPECT_EQ(fleet.blockedInnocents(), 0u);
        EXPECT_GE(fleet.answeredShare(), 0.995);
    }
}

// Guards against a daemon that forgets with its process what its targets have shown.
TEST_P(CrashingFleetTest, LosesFewTargetsWhileDaemonsRestart)
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        auto settings = settingsFor(GetParam(), seed);
        settings.faults.restart = 1;
        crashing_fleet fleet(settings, callsPerTarget * static_cast<double>(settings.targets), 10);
        fleet.runFor(seconds(20));
        EXPECT_LE(fleet.simulation.crashes().size(), allowedCrashesWithRestarts) << "seed " << seed;
        EXPECT_EQ(fleet.lateCrashingRuns(), 0u) << "seed " << seed;
        EXPECT_EQ(fleet.blockedInnocents(), 0u) << "seed " << seed;
    }
}

// Guards the innocent: racks fail, so that requests that are asked for all the time run at target after target that
// ends.
TEST_P(CrashingFleetTest, BlocksHardlyAnyRequestForCrashesOfOtherCauses)
{
    auto const settings = settingsFor(GetParam(), 1);
    crashing_fleet fleet(settings, callsPerTarget * static_cast<double>(settings.targets), 0);
    std::size_t const rack = std::max<std::size_t>(2, settings.targets / 10);
    for (std::size_t round = 0; round < 6; ++round) {
        fleet.runFor(seconds(4));
        for (std::size_t i = 0; i < rack; ++i) {
            auto const target = (round * rack + i) % settings.targets;
            auto const delay = milliseconds(uniformBelow(fleet.simulation.random(), 100));
            fleet.simulation.at(fleet.simulation.now() + delay, [&fleet, target] { fleet.simulation.crash(target); });
        }
    }
    fleet.runFor(seconds(4));
    EXPECT_EQ(fleet.blockedInnocents(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Daemons, CrashingFleetTest, testing::Values(12, 80));
INSTANTIATE_TEST_SUITE_P(LargeFleet, CrashingFleetTest, testing::Values(194));

class CrashingLargeFleetTest : public testing::TestWithParam<std::size_t> { };

TEST_P(CrashingLargeFleetTest, LosesFewTargetsToOneRequest)
{
    auto const settings = settingsFor(GetParam(), 1);
    crashing_fleet fleet(settings, 2000, 10);
    fleet.runFor(seconds(10));
    EXPECT_LE(fleet.simulation.crashes().size(), allowedCrashesWithRestarts);
    EXPECT_EQ(fleet.lateCrashingRuns(), 0u);
    EXPECT_EQ(fleet.blockedInnocents(), 0u);
}

INSTANTIATE_TEST_SUITE_P(LargeFleet, CrashingLargeFleetTest, testing::Values(1000));

} // namespace merlinpier
