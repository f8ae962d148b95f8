#include "rollout_simulation.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>

// Whole rollouts in simulated fleets. The bounds are those of the requirement: a bad version gets at most a tenth of
// the requests from order to deadline plus 50, and none later than five seconds after its 50th bad answer; a good
// version is done, and a bad one rolled back, by the deadline.

namespace merlinpier {

namespace {

using simulation::fleet;
using simulation::fleet_outcome;
using simulation::fleet_settings;

constexpr milliseconds rollbackTime { 5000 };

void print(char const* name, fleet_settings const& settings, fleet_outcome const& outcome)
{
    std::cout << name << " daemons=" << settings.daemons << " seed=" << settings.seed << " state=" << outcome.finalState
              << " after_ms=" << outcome.finalAfter.count() << " requests=" << outcome.requests
              << " exposed=" << outcome.exposed << " bad=" << outcome.badAnswers
              << " sent_after_50th_ms=" << outcome.lastSentAfterFiftieth.count() << " unserved=" << outcome.unserved
              << " late=" << outcome.ranLate << " lists=" << outcome.lists << " writes=" << outcome.writes
              << " fault=" << outcome.fault << "\n";
}

bool isWithinExposure(fleet_outcome const& outcome)
{
    return static_cast<double>(outcome.exposed) <= 0.1 * static_cast<double>(outcome.requests) + 50;
}

fleet_settings fleetOf(std::size_t daemons, std::uint64_t seed)
{
    fleet_settings settings;
    settings.seed = seed;
    settings.daemons = daemons;
    settings.zones = daemons > 100 ? 5 : 3;
    settings.oldTargets = settings.newTargets = daemons > 60 ? 12 : 4;
    settings.sharesViews = daemons > 100;
    return settings;
}

fleet_outcome runGood(char const* name, fleet_settings const& settings)
{
    auto const outcome = fleet(settings).run();
    print(name, settings, outcome);
    EXPECT_EQ(outcome.finalState, "done");
    EXPECT_LE(outcome.finalAfter, settings.orderDuration);
    EXPECT_EQ(outcome.ranLate, 0u);
    EXPECT_EQ(outcome.unserved, 0u);
    return outcome;
}

fleet_outcome runBad(char const* name, fleet_settings const& settings)
{
    auto const outcome = fleet(settings).run();
    print(name, settings, outcome);
    EXPECT_EQ(outcome.finalState, "rolled_back");
    EXPECT_LE(outcome.finalAfter, settings.orderDuration);
    EXPECT_LE(outcome.lastSentAfterFiftieth, rollbackTime);
    EXPECT_EQ(outcome.ranLate, 0u);
    EXPECT_EQ(outcome.unserved, 0u);
    return outcome;
}

struct tally {
    int wrong { 0 };
    int overExposed { 0 };
    std::int64_t totalMs { 0 };
    std::int64_t longestMs { 0 };
};

tally runMany(char const* name, fleet_settings settings, char const* expected, int runs)
{
    tally counted;
    for (int run = 0; run < runs; ++run) {
        settings.seed = 1000 + static_cast<std::uint64_t>(run);
        auto const outcome = fleet(settings).run();
        bool const isWrong = outcome.finalState != expected || outcome.finalAfter > settings.orderDuration;
        counted.wrong += isWrong;
        if (isWrong)
            print(name, settings, outcome);
        counted.overExposed += !isWithinExposure(outcome);
        counted.totalMs += outcome.finalAfter.count();
        counted.longestMs = std::max(counted.longestMs, static_cast<std::int64_t>(outcome.finalAfter.count()));
    }
    std::cout << name << " daemons=" << settings.daemons << " runs=" << runs << " wrong=" << counted.wrong
              << " over_exposed=" << counted.overExposed << " mean_ms=" << counted.totalMs / runs
              << " longest_ms=" << counted.longestMs << "\n";
    return counted;
}

} // namespace

// Guards against a good version that misses its deadline, and against calls that are cut because old targets still run
// them when the store says done.
TEST(RolloutFleet, FinishesAGoodVersionBeforeItsDeadline)
{
    for (std::size_t const daemons : { 12, 69, 194 })
        runGood("good", fleetOf(daemons, 1));
}

// Guards against a bad version that gets more than its share, or gets calls after it was found bad.
TEST(RolloutFleet, RollsBackAVersionThatIsBadFromTheStart)
{
    for (std::size_t const daemons : { 12, 69, 194 }) {
        for (double const rate : { 0.05, 0.3, 1.0 }) {
            auto settings = fleetOf(daemons, 2);
            settings.fault.failureRate = rate;
            EXPECT_TRUE(isWithinExposure(runBad("failing", settings)));
        }
        auto settings = fleetOf(daemons, 3);
        settings.fault.slowness = 3;
        EXPECT_TRUE(isWithinExposure(runBad("slow", settings)));
    }
}

// Guards against a fault that is hidden by the other routes of the service.
TEST(RolloutFleet, RollsBackAVersionThatIsBadOnOneRouteOnly)
{
    for (int const kind : { 0, 1 }) {
        auto settings = fleetOf(69, 4);
        settings.fault.failureRate = 0.3;
        settings.fault.onlyKind = kind;
        EXPECT_TRUE(isWithinExposure(runBad("failing_route", settings)));
        settings.fault.failureRate = 0;
        settings.fault.slowness = 4;
        runBad("slow_route", settings);
    }
}

// Guards against a good record that hides a fault which begins late, or shows under the whole load only. The exposure
// bound cannot hold for a fault that no request has shown before the switch.
TEST(RolloutFleet, RollsBackAVersionThatTurnsBadLate)
{
    for (auto const after : { milliseconds(3000), milliseconds(6000), milliseconds(7500) }) {
        auto settings = fleetOf(69, 5);
        settings.fault.failureRate = 0.3;
        settings.fault.after = after;
        runBad("failing_late", settings);
    }
    auto settings = fleetOf(69, 6);
    settings.fault.failureRate = 0.2;
    settings.fault.onlyUnderLoad = true;
    runBad("failing_under_load", settings);
    settings.fault.failureRate = 0;
    settings.fault.slowness = 4;
    runBad("slow_under_load", settings);
}

// Guards against a good version that is lost because one of its VMs is faulty.
TEST(RolloutFleet, BlamesOneFaultyTargetRatherThanTheVersion)
{
    auto settings = fleetOf(12, 7);
    settings.fault.failureRate = 0.3;
    settings.fault.onlyFirstTarget = true;
    runGood("one_failing_target", settings);
    settings.fault.failureRate = 0;
    settings.fault.slowness = 4;
    runGood("one_slow_target", settings);
}

// Guards against a good version that is lost to a fault of something that both versions use.
TEST(RolloutFleet, ToleratesFailuresThatBothVersionsShare)
{
    auto settings = fleetOf(69, 8);
    settings.commonFailureRate = 0.05;
    runGood("common_failures", settings);
}

// Guards against state that lives in the store only, or in one daemon only.
TEST(RolloutFleet, EndsRightlyAfterLossesOfTheStoreOfDaemonsAndOfLinks)
{
    for (bool const isBad : { false, true }) {
        auto settings = fleetOf(69, 9);
        settings.fault.failureRate = isBad ? 0.2 : 0;
        auto const run = [&](char const* name, fleet_settings const& given) {
            auto const outcome = fleet(given).run();
            print(name, given, outcome);
            EXPECT_EQ(outcome.finalState, isBad ? "rolled_back" : "done") << name;
            EXPECT_LE(outcome.finalAfter, given.orderDuration) << name;
            EXPECT_TRUE(!isBad || isWithinExposure(outcome)) << name;
            EXPECT_EQ(outcome.ranLate, 0u) << name;
        };
        auto storeDown = settings;
        storeDown.storeDownFrom = milliseconds(2000);
        storeDown.storeDownUntil = milliseconds(7500);
        run("store_down", storeDown);
        auto lost = settings;
        lost.lostWriteAnswers = 2;
        run("lost_write_answers", lost);
        auto restarts = settings;
        restarts.restarts = 30;
        run("restarts", restarts);
        auto all = settings;
        all.allRestartAt = milliseconds(3000);
        run("all_restart", all);
        auto partition = settings;
        partition.partitionFrom = milliseconds(2000);
        partition.partitionUntil = milliseconds(6000);
        run("partition", partition);
    }
}

// Guards against good versions that are lost to chance, and bad ones that pass by it: fewer than 1 in 200 each.
TEST(RolloutFleet, IsRarelyWrongByChance)
{
    constexpr int runs = 400;
    auto const settings = fleetOf(12, 0);
    EXPECT_LE(runMany("many_good", settings, "done", runs).wrong, runs / 200);
    auto failing = settings;
    failing.fault.failureRate = 0.05;
    EXPECT_LE(runMany("many_failing", failing, "rolled_back", runs).wrong, runs / 200);
    auto slow = settings;
    slow.fault.slowness = 3;
    EXPECT_LE(runMany("many_slow", slow, "rolled_back", runs).wrong, runs / 200);
}

// Guards against costs that grow faster than the fleet.
TEST(RolloutFleet, WorksWithAThousandDaemons)
{
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    GTEST_SKIP() << "takes minutes with sanitizers";
#endif
    runGood("good", fleetOf(1000, 10));
    auto settings = fleetOf(1000, 11);
    settings.fault.failureRate = 0.1;
    EXPECT_TRUE(isWithinExposure(runBad("failing", settings)));
}

} // namespace merlinpier
