#include "relayed_fleet.h"

#include <gtest/gtest.h>
#include <platform/sidecar_settings.h>

// A relay stops responding, and its members no longer receive what it alone sends them. They have to get it elsewhere
// within the users' bound.

namespace merlinpier {

namespace {

// The shortest of the times in which the users ask for an accepted version to be in force.
constexpr milliseconds applyBound { 2000 };
// Left of it for the transfer on real links.
constexpr milliseconds transferTime { 200 };
constexpr milliseconds settleTime { 8000 };
// In each play another relay fails, at another phase of the heartbeats.
constexpr int plays = 8;
constexpr milliseconds phaseStep { 370 };
constexpr milliseconds freezeBeforeCommit { 50 };
constexpr int sizeOfOtherZone = 6;

enum class interface {
    Platform,
    Own,
};

daemon_settings settingsOf(interface used)
{
    return used == interface::Platform ? platform::daemonSettingsFrom({}, 0) : daemon_settings {};
}

std::string join(std::vector<std::string> const& addresses)
{
    std::string joined;
    for (auto const& address : addresses)
        joined += address + " ";
    return joined;
}

target_record leavingTarget() { return { "t", "slots", "licence", 1, target_state::Draining, 6 }; }

} // namespace

// The interface of the daemons and the size of the zone.
class FrozenRelayTest : public testing::TestWithParam<std::tuple<interface, int>> {
protected:
    static std::unique_ptr<relayed_fleet> startFleet(int play)
    {
        auto fleet = std::make_unique<relayed_fleet>(
            static_cast<std::uint64_t>(play + 1), settingsOf(std::get<0>(GetParam())));
        fleet->startZone("a", std::get<1>(GetParam()));
        fleet->startZone("b", sizeOfOtherZone);
        fleet->commit();
        fleet->run(settleTime + play * phaseStep);
        return fleet;
    }
    // The relay of zone a that fails in this play.
    static std::string failingRelay(relayed_fleet& fleet, int play)
    {
        auto const relays = fleet.relaysOf("a");
        return relays.at(static_cast<std::size_t>(play) % relays.size());
    }
};

// Failure: members run requests by the former version 2.5 s after its successor was accepted (review/12). Their relay
// had stopped responding, and they asked nobody else in time.
TEST_P(FrozenRelayTest, DelaysNoVersionBeyondTheBound)
{
    for (int play = 0; play < plays; ++play) {
        auto const fleet = startFleet(play);
        auto const frozen = failingRelay(*fleet, play);
        fleet->freeze(frozen);
        fleet->run(freezeBeforeCommit);
        auto const version = fleet->commit();
        fleet->run(applyBound - transferTime);
        EXPECT_EQ(join(fleet->lacking("a", version)), "") << frozen << " frozen, play " << play;
    }
}

// Failure: with the relay's process the subscription ends at once, but the other relay is asked only when the heartbeat
// that it gets every 2.5 s is due.
TEST_P(FrozenRelayTest, IsReplacedAtOnceWhenItsProcessEnds)
{
    for (int play = 0; play < plays; ++play) {
        auto const fleet = startFleet(play);
        auto const killed = failingRelay(*fleet, play);
        fleet->kill(killed);
        fleet->run(freezeBeforeCommit);
        auto const version = fleet->commit();
        fleet->run(applyBound - transferTime);
        EXPECT_EQ(join(fleet->lacking("a", version)), "") << killed << " killed, play " << play;
    }
}

// Failure: all relays of a zone stop responding together; nobody in the zone reads the configuration.
TEST_P(FrozenRelayTest, WithAllOthersOfTheZoneDelaysNoVersionBeyondTheBound)
{
    auto const size = static_cast<std::size_t>(std::get<1>(GetParam()));
    for (int play = 0; play < plays; ++play) {
        auto const fleet = startFleet(play);
        auto const relays = fleet->relaysOf("a");
        if (relays.size() == size)
            GTEST_SKIP() << "all members are relays and read the configuration themselves";
        for (auto const& relay : relays)
            fleet->freeze(relay);
        fleet->run(freezeBeforeCommit);
        auto const version = fleet->commit();
        fleet->run(applyBound);
        EXPECT_EQ(join(fleet->lacking("a", version)), "") << "play " << play;
    }
}

// Failure: records of members, and with them departures, limits and crash reports of targets, reach the members that
// subscribe to the relay 2 to 3 s late.
TEST_P(FrozenRelayTest, DelaysNoRecordBeyondTheBound)
{
    for (int play = 0; play < plays; ++play) {
        auto const fleet = startFleet(play);
        auto const frozen = failingRelay(*fleet, play);
        auto const publisher = fleet->relaysOf("b").back();
        fleet->freeze(frozen);
        fleet->run(freezeBeforeCommit);
        auto& members = fleet->members();
        members.perform(publisher, members.at(publisher).setTargets({ leavingTarget() }, members.now));
        fleet->run(applyBound - transferTime);
        std::string lacking;
        for (auto const& [address, member] : members.members()) {
            bool const isLate = member->table().find(publisher)->targets != std::vector { leavingTarget() };
            if (address != frozen && isLate)
                lacking += address + " ";
        }
        EXPECT_EQ(lacking, "") << frozen << " frozen, play " << play;
    }
}

namespace {

std::string nameOf(testing::TestParamInfo<std::tuple<interface, int>> const& given)
{
    auto const used = std::get<0>(given.param) == interface::Platform ? "Platform" : "Own";
    return std::string(used) + std::to_string(std::get<1>(given.param));
}

auto const interfaces = testing::Values(interface::Platform, interface::Own);

} // namespace

INSTANTIATE_TEST_SUITE_P(
    Zones, FrozenRelayTest, testing::Combine(interfaces, testing::Values(5, 6, 16, 17, 18, 25)), nameOf);
INSTANTIATE_TEST_SUITE_P(LargeFleet, FrozenRelayTest, testing::Combine(interfaces, testing::Values(60)), nameOf);

} // namespace merlinpier
