#include <Tests/LibCalls/call_simulation.h>

#include <cmath>
#include <gtest/gtest.h>
#include <iomanip>
#include <iostream>

namespace merlinpier {

namespace {

using namespace fixture;

// Measured results of one simulated load; offered load, goodput and capacity in calls per second.
struct overload_figures {
    double capacity { 0 };
    double interactiveOffered { 0 };
    double interactiveGoodput { 0 };
    double reportGoodput { 0 };
    double retryShare { 0 };
    double unknownShare { 0 };
    milliseconds slowestRefusal { 0 };
    // 99th percentile of the response time of answered interactive calls.
    milliseconds answerTimeP99 { 0 };
    std::size_t maximumQueued { 0 };
};

struct load_settings {
    simulation_settings simulation;
    // Offered interactive calls as a multiple of the capacity of all slots.
    double factor { 1 };
    double reportShare { 0 };
    seconds length { 10 };
};

void startArrival(call_simulation& simulation, load_settings const& load, int number, bool isReport)
{
    caller_request request;
    request.id = "call-" + std::to_string(number);
    request.body = request.id;
    request.service = "slots";
    request.method = "GET";
    request.path = isReport ? "/reports/today" : "/slots/7";
    simulation.startCall(number % load.simulation.clients, request, true);
}

// Schedules Poisson arrivals that do not wait for answers (open loop).
void scheduleArrivals(call_simulation& simulation, load_settings const& load, double perSecond)
{
    auto when = simulation.now();
    auto const end = when + load.length;
    for (int number = 0;; ++number) {
        auto const gap = std::chrono::duration<double>(-std::log(1 - uniformUnit(simulation.random())) / perSecond);
        when += std::chrono::duration_cast<duration>(gap);
        if (when >= end)
            return;
        bool const isReport = uniformUnit(simulation.random()) < load.reportShare;
        simulation.at(
            when, [&simulation, load, number, isReport] { startArrival(simulation, load, number, isReport); });
    }
}

overload_figures measure(load_settings const& load)
{
    call_simulation simulation(load.simulation);
    overload_figures figures;
    double const length = load.length.count();
    figures.capacity = load.simulation.targets * load.simulation.slots * 1000.0 / load.simulation.work.count();
    scheduleArrivals(simulation, load, figures.capacity * load.factor / (1 - load.reportShare));
    auto const start = simulation.now();
    simulation.run(start + load.length + seconds(3));
    double unknown = 0;
    std::vector<duration> times;
    for (auto const& call : simulation.history()) {
        bool const isAnswered = std::holds_alternative<call_answered>(call.outcomes.at(0));
        bool const isReport = call.request.path.starts_with("/reports");
        figures.interactiveOffered += !isReport / length;
        (isReport ? figures.reportGoodput : figures.interactiveGoodput) += isAnswered / length;
        if (isAnswered && !isReport)
            times.push_back(call.completedAt - call.startedAt);
        unknown += std::holds_alternative<call_outcome_unknown>(call.outcomes[0]);
        if (std::holds_alternative<call_not_run>(call.outcomes[0]))
            figures.slowestRefusal
                = std::max(figures.slowestRefusal, std::chrono::ceil<milliseconds>(call.completedAt - call.startedAt));
    }
    std::sort(times.begin(), times.end());
    if (!times.empty())
        figures.answerTimeP99 = std::chrono::ceil<milliseconds>(times[times.size() * 99 / 100]);
    double retries = 0;
    for (std::size_t i = 0; i < load.simulation.clients; ++i)
        retries += simulation.client(i).totals().retries;
    figures.retryShare = retries / simulation.history().size();
    figures.unknownShare = unknown / simulation.history().size();
    figures.maximumQueued = simulation.maximumQueued();
    return figures;
}

overload_figures show(std::string const& name, load_settings const& load)
{
    auto const figures = measure(load);
    std::cout << std::fixed << std::setprecision(1) << name << ": load " << load.factor << "x, interactive goodput "
              << 100 * figures.interactiveGoodput / figures.capacity << "% of " << figures.capacity << "/s, reports "
              << figures.reportGoodput << "/s, retries " << 100 * figures.retryShare << "%, unknown "
              << 100 * figures.unknownShare << "%, slowest refusal " << figures.slowestRefusal.count()
              << " ms, 99% answered in " << figures.answerTimeP99.count() << " ms, longest queue "
              << figures.maximumQueued << "\n";
    return figures;
}

load_settings makeLoad(double factor, double reportShare = 0)
{
    load_settings load;
    load.simulation.clients = 6;
    load.simulation.deadline = milliseconds(200);
    load.factor = factor;
    load.reportShare = reportShare;
    return load;
}

// Lets each refused caller retry after the given retry-after time, for up to five seconds after its first request.
void retryAfterRefusal(call_simulation& simulation, load_settings const& load)
{
    auto firstSeen = std::make_shared<std::map<std::string, time_point>>();
    simulation.setObserver([&simulation, load, firstSeen](call_history const& call) {
        auto const* refused = std::get_if<call_not_run>(&call.outcomes.at(0));
        auto const first = firstSeen->try_emplace(call.request.body, call.startedAt).first->second;
        auto const back = refused ? simulation.now() + milliseconds(refused->retryAfterMs) : simulation.now();
        if (!refused || back > first + seconds(5))
            return;
        simulation.at(back, [&simulation, load, request = call.request]() mutable {
            request.id += "'";
            simulation.startCall(uniformBelow(simulation.random(), load.simulation.clients), request, true);
        });
    });
}

} // namespace

TEST(Overload, InteractiveGoodputStaysAtCapacity)
{
    for (double const factor : { 2.0, 5.0 }) {
        auto const figures = show("full policy", makeLoad(factor));
        EXPECT_GE(figures.interactiveGoodput, 0.9 * figures.capacity);
        EXPECT_LT(figures.retryShare, 0.1);
        EXPECT_LE(figures.maximumQueued, 12u);
        EXPECT_LT(figures.unknownShare, 0.02);
    }
}

TEST(Overload, ReportsLeaveCapacityToInteractiveCalls)
{
    auto const without = show("no reports", makeLoad(1.5));
    auto const with = show("a third reports", makeLoad(1.5, 0.33));
    EXPECT_GE(with.interactiveGoodput, 0.9 * without.interactiveGoodput);
    auto const lightLoad = show("a third reports", makeLoad(0.3, 0.33));
    EXPECT_GE(lightLoad.interactiveGoodput, 0.98 * lightLoad.interactiveOffered);
    EXPECT_GT(lightLoad.reportGoodput, 0.0);
}

TEST(Overload, EachMechanismImprovesTheResult)
{
    auto const full = show("full policy", makeLoad(2));
    auto unlimited = makeLoad(2);
    unlimited.simulation.admission = admission_policy::Unlimited;
    EXPECT_LT(show("no admission", unlimited).interactiveGoodput, 0.5 * full.interactiveGoodput);
    auto always = makeLoad(2);
    always.simulation.retries = retry_policy::Always;
    EXPECT_GT(show("retry always", always).retryShare, 0.5);
    auto random = makeLoad(0.85);
    random.simulation.choice = choice_policy::Random;
    auto const chosen = show("least loaded of two", makeLoad(0.85));
    auto const drawn = show("random choice", random);
    EXPECT_GT(chosen.interactiveGoodput, drawn.interactiveGoodput);
    EXPECT_LT(2 * chosen.retryShare, drawn.retryShare);
}

TEST(Overload, AnUnreachableTargetCausesFewRetries)
{
    auto load = makeLoad(0.4);
    load.simulation.downTarget = 0;
    auto const figures = show("one target of three down", load);
    EXPECT_GE(figures.interactiveGoodput, 0.995 * figures.interactiveOffered);
    EXPECT_LT(figures.retryShare, 0.05);
}

TEST(Overload, CallersThatHonourTheRetryAfterTimeDoNotAddToAPeak)
{
    auto load = makeLoad(2);
    load.length = seconds(3);
    call_simulation simulation(load.simulation);
    retryAfterRefusal(simulation, load);
    scheduleArrivals(simulation, load, 1800);
    simulation.run(simulation.now() + seconds(20));
    std::map<std::string, int> requests;
    double answered = 0;
    for (auto const& call : simulation.history()) {
        ++requests[call.request.body];
        answered += std::holds_alternative<call_answered>(call.outcomes.at(0));
    }
    double const requestsEach = static_cast<double>(simulation.history().size()) / requests.size();
    std::cout << "peak of 3 s at 2x, callers retry after the retry-after time: " << 100 * answered / requests.size()
              << "% answered, " << requestsEach << " requests each\n";
    EXPECT_GT(answered, 0.9 * requests.size());
    EXPECT_LT(requestsEach, 4);
}

} // namespace merlinpier
