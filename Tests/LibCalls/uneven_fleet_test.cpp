#include <Tests/LibCalls/uneven_fleet.h>

#include <gtest/gtest.h>

// Fleets whose targets differ in speed, slow down for fractions of a second and sometimes take long for one run.

namespace merlinpier {

namespace {

using fixture::fleet_figures;
using fixture::uneven_fleet;
using fixture::uneven_fleet_settings;

fleet_figures runFleet(uneven_fleet_settings const& settings, std::string const& name)
{
    auto const figures = uneven_fleet(settings).run();
    std::printf("%-28s calls %zu in time %zu late %zu not run %zu lost %zu out of time %zu late share %.4f "
                "zone MB %.2f flapping %.4f hedges %zu won %zu runs %d\n",
        name.c_str(), figures.calls, figures.inTime, figures.late, figures.notRun, figures.lost, figures.outOfTime,
        figures.lateShare(), static_cast<double>(figures.zoneBytes) / 1e6, figures.flapping(), figures.hedges,
        figures.hedgesWon, figures.mostRuns);
    return figures;
}

} // namespace

// One in twenty calls was late on a quiet day, most of them because of single runs that took several times as long.
// Guards against second runs that take more capacity from other calls than they gain.
TEST(UnevenFleet, EndsMoreCallsInTimeWithSecondRuns)
{
    uneven_fleet_settings settings;
    settings.hedging = hedging_mode::Off;
    auto const before = runFleet(settings, "long runs, no second runs");
    settings.hedging = hedging_mode::Auto;
    auto const after = runFleet(settings, "long runs, second runs");
    EXPECT_LT(after.lateShare(), before.lateShare());
    EXPECT_LT(2 * after.idempotentUnknown, before.idempotentUnknown);
    EXPECT_LE(after.notRun, before.notRun + before.calls / 200);
    EXPECT_LE(after.mostRuns, 3);
    EXPECT_EQ(after.mostNonIdempotentRuns, 1);
    EXPECT_LE(static_cast<double>(after.hedges), 0.05 * static_cast<double>(after.calls));
}

// A target that never answers a request cost each such call its deadline.
TEST(UnevenFleet, SavesCallsOfMuteTargets)
{
    uneven_fleet_settings settings;
    settings.longWorkShare = 0;
    settings.muteShare = 0.01;
    settings.hedging = hedging_mode::Off;
    auto const before = runFleet(settings, "mute runs, no second runs");
    settings.hedging = hedging_mode::Auto;
    auto const after = runFleet(settings, "mute runs, second runs");
    std::printf(
        "idempotent calls lost: %zu, with second runs %zu\n", before.idempotentUnknown, after.idempotentUnknown);
    EXPECT_LT(3 * after.idempotentUnknown, before.idempotentUnknown);
    EXPECT_EQ(after.lost, 0u);
    EXPECT_EQ(after.mostNonIdempotentRuns, 1);
}

// Guards against a slow target that gets more calls than its speed allows.
TEST(UnevenFleet, GivesASlowTargetNoMoreThanItsShare)
{
    uneven_fleet_settings settings;
    settings.swing = 0;
    settings.zones = 1;
    settings.vmsPerZone = 8;
    settings.callsPerSecond = 175;
    settings.longWorkShare = 0;
    auto const figures = runFleet(settings, "speeds");
    auto const& slow = figures.runsByTarget.at("t0");
    auto const& fast = figures.runsByTarget.at("t7");
    auto const late = figures.lateByTarget.contains("t0") ? figures.lateByTarget.at("t0") : 0;
    std::printf("slowest %zu runs, %zu late; fastest %zu runs\n", slow, late, fast);
    EXPECT_LT(slow * settings.fastest, fast * settings.slowest);
    EXPECT_LT(figures.lateShare(), 0.02);
}

// What the pace is worth without second runs, at loads at which targets have to wait for each other.
TEST(UnevenFleet, EndsMoreCallsInTimeWithThePace)
{
    std::size_t before = 0;
    std::size_t after = 0;
    for (double const load : { 170.0, 220.0, 260.0 }) {
        uneven_fleet_settings settings;
        settings.longWorkShare = 0;
        settings.hedging = hedging_mode::Off;
        settings.callsPerSecond = load;
        settings.announcesPace = false;
        before += runFleet(settings, "no pace").inTime;
        settings.announcesPace = true;
        after += runFleet(settings, "pace").inTime;
    }
    EXPECT_GT(after, before);
}

// The demand of each zone rises and falls, with phases apart. Daemons of a loaded zone must neither stay with it nor
// all go to the same other targets; the pace must not cost more bytes between zones than the calls are worth.
TEST(UnevenFleet, UsesOtherZonesWithoutFlapping)
{
    for (double const load : { 200.0, 260.0 }) {
        uneven_fleet_settings settings;
        settings.callsPerSecond = load;
        settings.hedging = hedging_mode::Off;
        settings.announcesPace = false;
        auto const before = runFleet(settings, "zones, no pace");
        settings.announcesPace = true;
        auto const after = runFleet(settings, "zones, pace");
        EXPECT_LE(after.flapping(), before.flapping() + 0.02);
        EXPECT_LE(static_cast<double>(after.zoneBytes), 1.5 * static_cast<double>(before.zoneBytes) + 2e5);
        EXPECT_GE(static_cast<double>(after.inTime), 0.995 * static_cast<double>(before.inTime));
    }
}

} // namespace merlinpier
