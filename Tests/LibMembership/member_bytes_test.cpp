#include "fleet.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr int zones = 10;
constexpr int membersPerZone = 56;
constexpr double secondsPerDay = 86400;
constexpr double changesPerDay = 240;
// Changes of target states per second in the whole fleet: each of 560 targets changes its state 77 times a day.
constexpr double targetChangesPerSecond = 0.5;
constexpr double maximumIdleBytesPerSecond = 2000;
constexpr double maximumBytesPerSecond = 17000;

// Bytes sent and received per daemon: the mean over all daemons, and the maximum.
struct daemon_bytes {
    double mean { 0 };
    double most { 0 };
};

// Advances the time and counts the bytes sent and received meanwhile.
daemon_bytes countBytesDuring(fleet& fleet, duration time)
{
    fleet.bytes.clear();
    fleet.countsBytes = true;
    fleet.run(time);
    fleet.countsBytes = false;
    daemon_bytes counted;
    for (auto const& [vm, bytes] : fleet.bytes) {
        counted.mean += static_cast<double>(bytes) / (zones * membersPerZone);
        counted.most = std::max(counted.most, static_cast<double>(bytes));
    }
    return counted;
}

std::string vmName(int zone, int number) { return "zone" + std::to_string(zone) + "-" + std::to_string(number); }

target_record makeTarget(std::string const& vm, target_state state)
{
    return { "target-of-" + vm, "bookings", "licence-of-" + vm, 1, state, 12 };
}

void applyEverywhere(fleet& fleet, std::uint64_t version)
{
    for (auto const& [vm, member] : fleet.members())
        fleet.perform(vm, member->setApplied(version, 0, {}, fleet.now));
}

} // namespace

// Prints the values that docs/design/membership.md and docs/CAPACITY.md quote.
TEST(MemberBytes, StayWithinTheBoundsWith560Members)
{
    fleet fleet(1);
    fleet.step = milliseconds(100);
    for (int zone = 0; zone < zones; ++zone) {
        for (int i = 0; i < membersPerZone; ++i) {
            auto& started = fleet.start("zone" + std::to_string(zone), i, { vmName(0, 0), vmName(4, 1), vmName(9, 2) });
            auto const& vm = started.self().vm;
            fleet.perform(vm, started.setTargets({ makeTarget(vm, target_state::Ready) }, fleet.now));
        }
    }
    fleet.run(seconds(20));
    applyEverywhere(fleet, 1);
    fleet.run(seconds(6));
    ASSERT_TRUE(fleet.haveConverged());

    constexpr double measuredSeconds = 6;
    auto idle = countBytesDuring(fleet, seconds(static_cast<int>(measuredSeconds)));
    idle.mean /= measuredSeconds;
    idle.most /= measuredSeconds;

    applyEverywhere(fleet, 2);
    auto change = countBytesDuring(fleet, seconds(static_cast<int>(measuredSeconds)));
    change.mean -= idle.mean * measuredSeconds;
    change.most -= idle.most * measuredSeconds;
    EXPECT_TRUE(fleet.haveConverged());

    for (int i = 0; i < static_cast<int>(measuredSeconds); ++i) {
        auto const vm = vmName(i, 7);
        // One change per second, so that batching does not hide the cost of a change.
        fleet.countsBytes = true;
        if (i == 0)
            fleet.bytes.clear();
        fleet.perform(vm, fleet.at(vm).setTargets({ makeTarget(vm, target_state::Draining) }, fleet.now));
        fleet.run(seconds(1));
    }
    fleet.countsBytes = false;
    daemon_bytes churn;
    for (auto const& [vm, bytes] : fleet.bytes) {
        churn.mean += static_cast<double>(bytes) / (zones * membersPerZone) / measuredSeconds;
        churn.most = std::max(churn.most, static_cast<double>(bytes) / measuredSeconds);
    }
    churn.mean -= idle.mean;
    churn.most -= idle.most;

    double const meanTotal
        = idle.mean + change.mean * changesPerDay / secondsPerDay + churn.mean * targetChangesPerSecond;
    double const mostTotal
        = idle.most + change.most * changesPerDay / secondsPerDay + churn.most * targetChangesPerSecond;
    printf("idle bytes a second: mean %.0f, most %.0f\n", idle.mean, idle.most);
    printf("bytes an applied version: mean %.0f, most %.0f\n", change.mean, change.most);
    printf("bytes a target change: mean %.0f, most %.0f\n", churn.mean, churn.most);
    printf("bytes a second in all: mean %.0f, most %.0f\n", meanTotal, mostTotal);
    EXPECT_LT(idle.mean, maximumIdleBytesPerSecond);
    EXPECT_LT(meanTotal, maximumBytesPerSecond);
    EXPECT_LT(mostTotal, maximumBytesPerSecond);
}

} // namespace merlinpier
