#include "cluster.h"

#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace merlinpier {

namespace {

// What the callers were told agrees with what the targets' ledgers say.
void expectPromisesKept(nlohmann::json const& load)
{
    ASSERT_TRUE(load.is_object());
    EXPECT_GT(load["calls"], 100);
    EXPECT_EQ(load["doubled"], 0) << load.dump();
    EXPECT_EQ(load["false_not_run"], 0) << load.dump();
    EXPECT_EQ(load["wrong_answer"], 0) << load.dump();
    EXPECT_EQ(load["cut"], 0) << load.dump();
}

void startTargowiskoFleet(cluster& processes)
{
    processes.startPlatform();
    processes.startDaemons();
    processes.startTargowisko();
}

} // namespace

// The daemon of a target's VM is killed under load and comes back: no call runs twice, none is falsely called not run,
// and its target serves again without being told.
TEST(Failure, OfATargetsDaemonKeepsAtMostOnce)
{
    cluster processes;
    startTargowiskoFleet(processes);
    auto const load = processes.loadBookings({ 0, 1, 2 }, 5, [&] {
        for (int const vm : { 6, 7, 8 }) {
            processes.daemonProcess(vm).kill();
            processes.startDaemon(vm);
            processes.waitForTargets(0, "bookings", 3);
        }
    });
    expectPromisesKept(load);
    EXPECT_GT(load["answered"].get<int>(), load["calls"].get<int>() * 8 / 10) << load.dump();
}

// A daemon that stands still for longer than its peers wait for it, and then goes on, runs nothing twice.
TEST(Failure, OfAFrozenDaemonKeepsAtMostOnce)
{
    cluster_options options;
    options.settings = { { "suspect_timeout_ms", 1000 }, { "heartbeat_period_ms", 200 } };
    cluster processes(options);
    startTargowiskoFleet(processes);
    auto const load = processes.loadBookings({ 0, 1, 2 }, 5, [&] {
        processes.daemonProcess(7).signal(SIGSTOP);
        std::this_thread::sleep_for(std::chrono::milliseconds(2500));
        processes.daemonProcess(7).signal(SIGCONT);
    });
    expectPromisesKept(load);
    EXPECT_TRUE(processes.waitForTargets(0, "bookings", 3));
}

// Half of the daemons die at once and come back with nothing kept: they have the version in force again, never a lower
// one, and the platform's calls stay within the daemons' budgets.
TEST(Failure, OfHalfTheDaemonsLosesNoVersion)
{
    cluster processes;
    startTargowiskoFleet(processes);
    std::vector<int> const killed { 0, 2, 4, 6 };
    for (int const vm : killed)
        processes.daemonProcess(vm).kill();
    for (int const vm : killed)
        processes.startDaemon(vm);
    for (int const vm : killed) {
        ASSERT_TRUE(processes.waitFor("the version on " + cluster::vmName(vm), [&] {
            auto const state = processes.read(processes.httpAddress(vm), "/state");
            if (!state.is_object() || !state["configuration"]["ready"].get<bool>())
                return false;
            // A daemon that says that it is ready has at least what its VM had before.
            EXPECT_GE(state["configuration"]["applied"], 3);
            return true;
        }));
    }
    EXPECT_TRUE(processes.waitInForce(1, 3));
}

// While the platform is down the fleet serves on and refuses submissions as not accepted; once it is back, the next
// submission is in force.
TEST(Failure, OfThePlatformStopsNoCall)
{
    cluster processes;
    startTargowiskoFleet(processes);
    processes.setPlatformFault("down");
    auto const load = processes.loadBookings({ 0, 4 }, 1, [] {});
    expectPromisesKept(load);
    EXPECT_EQ(load["answered"], load["calls"]) << load.dump();
    auto answers = processes.read(processes.httpAddress(0), "/config/services/slots")["answers"];
    answers["drain_time_ms"] = answers["drain_time_ms"].get<int>() + 1;
    auto const refused = processes.submit(1, answers, "during-the-outage");
    ASSERT_FALSE(refused.isError());
    EXPECT_EQ(refused.value().status, 503) << refused.value().body;
    processes.setPlatformFault("none");
    auto const accepted = processes.submit(1, answers, "after-the-outage");
    ASSERT_FALSE(accepted.isError());
    EXPECT_EQ(accepted.value().status, 200) << accepted.value().body;
    EXPECT_TRUE(processes.waitInForce(2, 4));
}

// The platform's answers are lost after its writes took effect: the submission is recognized as accepted, once.
TEST(Failure, OfThePlatformsAnswersDoublesNoSubmission)
{
    cluster processes;
    startTargowiskoFleet(processes);
    auto answers = processes.read(processes.httpAddress(0), "/config/services/slots")["answers"];
    answers["drain_time_ms"] = answers["drain_time_ms"].get<int>() + 1;
    processes.setPlatformFault("lose_answers");
    auto const first = processes.submit(1, answers, "lost-answer");
    processes.setPlatformFault("none");
    auto const again = processes.submit(2, answers, "lost-answer");
    ASSERT_FALSE(again.isError());
    ASSERT_EQ(again.value().status, 200) << again.value().body;
    EXPECT_EQ(nlohmann::json::parse(again.value().body)["version"], 4);
    EXPECT_TRUE(processes.waitInForce(0, 4));
    auto const history = processes.read(processes.httpAddress(0), "/config/history");
    EXPECT_EQ(history["version"], 4);
}

// Two operators revise the same service from the same base: one is accepted, the other is told of the conflict.
TEST(Failure, OfAnOperatorsRaceIsATypedConflict)
{
    cluster processes;
    startTargowiskoFleet(processes);
    auto answers = processes.read(processes.httpAddress(0), "/config/services/slots")["answers"];
    std::vector<int> statuses(2);
    std::vector<std::thread> operators;
    for (int i = 0; i < 2; ++i) {
        operators.emplace_back([&, i, mine = answers]() mutable {
            mine["drain_time_ms"] = mine["drain_time_ms"].get<int>() + 1 + i;
            nlohmann::json const body { { "id", "racer-" + std::to_string(i) }, { "kind", "submit" },
                { "service", "slots" }, { "answers", mine }, { "base_revision", 1 } };
            auto const answer = processes.send(processes.httpAddress(i), "POST", "/config/submissions", body.dump());
            statuses[static_cast<std::size_t>(i)] = answer.isError() ? 0 : answer.value().status;
        });
    }
    for (auto& one : operators)
        one.join();
    std::sort(statuses.begin(), statuses.end());
    EXPECT_EQ(statuses, (std::vector<int> { 200, 409 }));
    EXPECT_TRUE(processes.waitInForce(0, 4));
}

} // namespace merlinpier
