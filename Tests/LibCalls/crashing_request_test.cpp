#include <Tests/LibCalls/call_simulation.h>

#include <gtest/gtest.h>

// A request crashes each target that runs it and comes again, at any daemon, beside the usual load.

namespace merlinpier {

namespace {

using fixture::call_simulation;
using fixture::simulation_settings;

constexpr char const* crashingBody = "crash";
constexpr std::size_t allowedCrashes = 3;
constexpr std::size_t runsAfterTheThird = 3;
// The fleet knows of a crash everywhere within this time.
constexpr seconds stableWindow { 3 };

class crashing_fleet {
public:
    crashing_fleet(simulation_settings settings, double callsPerSecond, double crashingPerSecond)
        : simulation(prepare(settings))
        , m_daemons(settings.clients)
    {
        schedule(callsPerSecond, "");
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
                request.path = body.empty() ? "/slots/" + number : "/slots/crash";
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
        fleet.runFor(seconds(40));
        EXPECT_LE(fleet.simulation.crashes().size(), allowedCrashes) << "seed " << seed;
        EXPECT_LE(fleet.lateCrashingRuns(), runsAfterTheThird) << "seed " << seed;
    }
}

} // namespace merlinpier
