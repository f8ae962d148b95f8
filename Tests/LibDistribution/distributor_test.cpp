#include "distribution_simulation.h"

#include <Tests/LibConfiguration/configuration_samples.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace merlinpier {

namespace {

// Answers of the services bookings and slots. Each number gives slots another owner, and so other content.
std::vector<questionnaire> answersWith(int number)
{
    auto bookings = sampleAnswers("bookings");
    auto slots = sampleAnswers("slots");
    slots.owner = "team " + std::to_string(number);
    return { bookings, slots };
}

std::vector<questionnaire> invalidAnswers()
{
    auto answers = answersWith(99);
    answers[0].dependencies = { "nowhere" };
    return answers;
}

// Daemons 1 and 2 of a zone are relays, daemon 3 subscribes to both. Relays of different zones with the same number are
// connected.
distribution_peers peersOf(char zone, char number)
{
    distribution_peers peers;
    peers.isRelay = number != '3';
    for (char const relay : { '1', '2' }) {
        if (relay != number)
            peers.relays.push_back({ zone, relay });
    }
    if (!peers.isRelay)
        return peers;
    peers.subscribers = { { zone, '3' }, peers.relays[0] };
    for (char const other : { 'a', 'b', 'c' }) {
        if (other != zone)
            peers.remoteRelays.push_back({ other, number });
    }
    return peers;
}

void start(
    distribution_simulation& simulation, std::string const& address, distribution_mode mode = distribution_mode::Push)
{
    simulation.start(address, peersOf(address[0], address[1]), mode);
}

void startZones(distribution_simulation& simulation, distribution_mode mode = distribution_mode::Push)
{
    for (auto const* address : { "a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3" })
        start(simulation, address, mode);
}

template <typename Message> std::size_t countReceived(distribution_simulation& simulation, std::string const& address)
{
    auto const& all = simulation.received[address];
    return std::count_if(
        all.begin(), all.end(), [](auto const& each) { return std::holds_alternative<Message>(each); });
}

bool isStrictlyIncreasing(std::vector<version_number> const& versions)
{
    return std::adjacent_find(versions.begin(), versions.end(), std::greater_equal<>()) == versions.end();
}

distribution_peers withRelays(std::vector<std::string> relays)
{
    distribution_peers peers;
    peers.relays = std::move(relays);
    return peers;
}

configuration_answer answerOf(configuration_set const& set, std::vector<std::string> const& known = {})
{
    return { set.version(), serializeManifest(set.versionManifest()), set.fragmentsExcept(known) };
}

std::shared_ptr<configuration_set const> versionOf(version_number version)
{
    return buildSet(version, answersWith(static_cast<int>(version))).releaseValue();
}

// The addresses that configuration requests are sent to.
std::vector<std::string> askedPeers(std::vector<distribution_action> const& actions)
{
    std::vector<std::string> addresses;
    for (auto const& action : actions) {
        auto const* send = std::get_if<send_message>(&action);
        if (send && std::holds_alternative<configuration_request>(send->content))
            addresses.push_back(send->address);
    }
    return addresses;
}

} // namespace

TEST(Distributor, DeliversAVersionToAllDaemonsWithinMilliseconds)
{
    for (auto const mode : { distribution_mode::Push, distribution_mode::Announce, distribution_mode::Baseline }) {
        distribution_simulation simulation(1);
        startZones(simulation, mode);
        simulation.commit(answersWith(1));
        simulation.run(seconds(2));
        EXPECT_TRUE(simulation.allApplied(1));
        simulation.commit(answersWith(2));
        simulation.run(milliseconds(100));
        EXPECT_TRUE(simulation.allApplied(2)) << static_cast<int>(mode);
    }
}

TEST(Distributor, ReadsAndSendsOnlyChangedFragments)
{
    distribution_simulation simulation(1);
    startZones(simulation);
    simulation.commit(answersWith(1));
    simulation.run(seconds(2));
    simulation.platformCalls.clear();
    simulation.received.clear();
    simulation.commit(answersWith(2));
    simulation.run(seconds(1));
    ASSERT_TRUE(simulation.allApplied(2));
    EXPECT_TRUE(simulation.platformCalls["a3"].empty()) << "only relays watch the platform";
    // Each relay reads the manifest and the changed fragment, and starts another watch.
    EXPECT_EQ(simulation.platformCalls["a1"].size(), 3u);
    EXPECT_EQ(simulation.openWatches["a1"], 1);
    EXPECT_EQ(countReceived<configuration_answer>(simulation, "a3"), 2u);
    for (auto const& each : simulation.received["a3"])
        EXPECT_EQ(std::get<configuration_answer>(each).fragments.size(), 1u);
    EXPECT_EQ(countReceived<configuration_answer>(simulation, "b1"), 1u)
        << "pushed only by the other relay of its zone";
}

TEST(Distributor, RequestsAVersionOnceWhenTwoRelaysAnnounceIt)
{
    distribution_simulation simulation(1);
    startZones(simulation, distribution_mode::Announce);
    simulation.commit(answersWith(1));
    simulation.run(seconds(2));
    simulation.received.clear();
    simulation.commit(answersWith(2));
    simulation.run(seconds(1));
    EXPECT_EQ(countReceived<version_announce>(simulation, "a3"), 2u);
    EXPECT_EQ(countReceived<configuration_answer>(simulation, "a3"), 1u);
}

TEST(Distributor, RefusesAnInvalidVersionAsAWholeAndAppliesTheNext)
{
    distribution_simulation simulation(2);
    startZones(simulation);
    simulation.commit(answersWith(1));
    simulation.run(seconds(2));
    auto const before = simulation.at("a1").store().applied();
    simulation.commit(invalidAnswers());
    simulation.run(seconds(5));
    EXPECT_TRUE(simulation.allApplied(1));
    EXPECT_EQ(simulation.at("a1").store().applied(), before);
    EXPECT_EQ(simulation.at("a1").store().refusedVersion(), 2u);
    ASSERT_EQ(simulation.refused["a1"].size(), 1u) << "reported once";
    EXPECT_NE(simulation.refused["a1"][0].reason.text().find("nowhere"), std::string::npos);
    simulation.commit(answersWith(3));
    simulation.run(milliseconds(100));
    EXPECT_TRUE(simulation.allApplied(3));
    EXPECT_EQ(simulation.at("a1").store().refusedVersion(), 0u);
}

TEST(Distributor, AppliesAValidVersionBelowARefusedOne)
{
    distributor daemon({});
    daemon.setPeers(withRelays({ "r" }));
    time_point const now { seconds(1) };
    auto const fragments = fragmentsOf(invalidAnswers(), 1);
    configuration_answer const invalid { 3, serializeManifest(manifestOf(3, fragments, 1)), fragments };
    auto const actions = daemon.didReceive("r", invalid, now);
    ASSERT_EQ(actions.size(), 1u) << "refused, without another request for it";
    EXPECT_TRUE(std::holds_alternative<version_refused>(actions[0]));
    EXPECT_TRUE(askedPeers(daemon.didHearVersion("r", 3, now)).empty()) << "a refused version is not requested again";
    daemon.didReceive("r", answerOf(*versionOf(2)), now);
    EXPECT_EQ(daemon.store().applied()->version(), 2u);
    EXPECT_EQ(daemon.store().refusedVersion(), 3u);
}

RC_GTEST_PROP(Distributor, VersionsOnlyIncreaseAndConvergeDespiteLossAndReordering, ())
{
    distribution_simulation simulation(*rc::gen::arbitrary<std::uint64_t>());
    simulation.lossProbability = 0.2;
    simulation.duplicationProbability = 0.3;
    simulation.maximumDelay = milliseconds(*rc::gen::inRange(1, 1500));
    auto const mode = *rc::gen::element(distribution_mode::Push, distribution_mode::Announce);
    startZones(simulation, mode);
    version_number newest = 0;
    for (int step = 0; step < 8; ++step) {
        newest = simulation.commit(answersWith(step));
        simulation.run(milliseconds(*rc::gen::inRange(10, 900)));
        auto const cutZone = *rc::gen::element('a', 'b', '-');
        simulation.isPlatformUnreachable = [=](auto& address) {
            return address[0] == cutZone;
        };
        if (step == 4)
            start(simulation, "b2", mode);
    }
    simulation.lossProbability = 0;
    simulation.isPlatformUnreachable = [](auto&) {
        return false;
    };
    simulation.run(seconds(12));
    RC_ASSERT(simulation.allApplied(newest));
    for (auto const& [address, versions] : simulation.applied)
        RC_ASSERT(isStrictlyIncreasing(versions));
}

TEST(Distributor, FetchesFromAnotherZoneWhenThePlatformIsUnreachable)
{
    distribution_simulation simulation(3);
    startZones(simulation);
    simulation.commit(answersWith(1));
    simulation.run(seconds(2));
    simulation.isPlatformUnreachable = [](auto& address) {
        return address[0] == 'b';
    };
    simulation.run(seconds(5));
    EXPECT_TRUE(simulation.at("b1").platformSilentSince());
    EXPECT_FALSE(simulation.at("a1").platformSilentSince());
    simulation.commit(answersWith(2));
    simulation.run(milliseconds(200));
    EXPECT_TRUE(simulation.allApplied(2));
}

TEST(Distributor, StaysReadyWhenAZoneIsPartitionedAndCatchesUpAfterwards)
{
    distribution_simulation simulation(4);
    startZones(simulation);
    simulation.commit(answersWith(1));
    simulation.run(seconds(2));
    simulation.isPlatformUnreachable = [](auto& address) {
        return address[0] == 'b';
    };
    simulation.isLinkDown = [](auto& from, auto& to) {
        return (from[0] == 'b') != (to[0] == 'b');
    };
    for (int i = 2; i < 5; ++i)
        simulation.commit(answersWith(i));
    simulation.run(seconds(60));
    EXPECT_EQ(simulation.at("a3").store().applied()->version(), 4u);
    EXPECT_EQ(simulation.at("b3").store().applied()->version(), 1u);
    EXPECT_TRUE(simulation.at("b3").store().isReady());
    simulation.isPlatformUnreachable = [](auto&) {
        return false;
    };
    simulation.isLinkDown = [](auto&, auto&) {
        return false;
    };
    simulation.run(seconds(6));
    EXPECT_TRUE(simulation.allApplied(4));
    EXPECT_FALSE(simulation.at("b1").platformSilentSince());
    EXPECT_EQ(simulation.applied["b3"], (std::vector<version_number> { 1, 4 }));
}

TEST(Distributor, StaysWithinItsPlatformCallBudgetInAnOutage)
{
    distribution_simulation simulation(5);
    startZones(simulation);
    simulation.commit(answersWith(1));
    simulation.run(seconds(2));
    simulation.platformCalls.clear();
    simulation.isPlatformUnreachable = [](auto&) {
        return true;
    };
    simulation.run(seconds(300));
    for (auto const& [address, calls] : simulation.platformCalls) {
        EXPECT_LE(calls.size(), 6u * simulation.settings.platformCallsPerMinute) << address;
        EXPECT_GE(calls.size(), 300u / 5) << "retries must continue";
    }
    std::set<std::size_t> counts;
    for (auto const& [address, calls] : simulation.platformCalls)
        counts.insert(calls.size());
    EXPECT_GT(counts.size(), 1u) << "retries of the relays must be jittered";
    EXPECT_TRUE(simulation.at("a3").store().isReady());
}

TEST(Distributor, StaysWithinItsCallBudgetWhenWatchesReturnImmediately)
{
    distribution_settings settings;
    settings.platformCallsPerMinute = 10;
    distributor relay(settings);
    distribution_peers peers;
    peers.isRelay = true;
    relay.setPeers(peers);
    generator source(1);
    int calls = 0;
    for (time_point now { seconds(1) }; now < time_point(seconds(61)); now += milliseconds(10)) {
        for (auto actions = relay.tick(now, source); !actions.empty() && calls < 100; ++calls)
            actions = relay.didWatchPlatform(std::optional<stored_object>(), now, source);
    }
    EXPECT_LE(calls, 20);
}

TEST(Distributor, ReplacesALostWatchAndReturnsToASingleWatch)
{
    distributor relay({});
    distribution_peers peers;
    peers.isRelay = true;
    relay.setPeers(peers);
    generator source(1);
    time_point now { seconds(100) };
    EXPECT_EQ(relay.tick(now, source).size(), 1u);
    now += seconds(30);
    EXPECT_TRUE(relay.tick(now, source).empty());
    now += seconds(30);
    EXPECT_EQ(relay.tick(now, source).size(), 1u) << "the first watch is considered lost";
    auto const late = relay.didWatchPlatform(std::optional<stored_object>(), now, source);
    EXPECT_TRUE(late.empty()) << "the second watch is still open";
    EXPECT_EQ(relay.didWatchPlatform(std::optional<stored_object>(), now, source).size(), 1u);
}

TEST(Distributor, AsksAnotherPeerWhenOneIsUnresponsiveOutdatedOrCorrupt)
{
    distributor daemon({});
    daemon.setPeers(withRelays({ "r1", "r2", "r3" }));
    generator source(1);
    time_point now { seconds(1) };
    EXPECT_EQ(askedPeers(daemon.didHearVersion("x", 5, now)), std::vector<std::string> { "x" });
    EXPECT_TRUE(askedPeers(daemon.didHearVersion("x", 5, now)).empty()) << "one request at a time";
    now += seconds(1);
    EXPECT_EQ(askedPeers(daemon.tick(now, source)), std::vector<std::string> { "r1" }) << "x did not answer";
    EXPECT_EQ(askedPeers(daemon.didReceive("r1", version_announce { 3, "" }, now)), std::vector<std::string> { "r1" })
        << "version 3 is still newer than the applied one";
    daemon.didReceive("r1", answerOf(*versionOf(3)), now);
    EXPECT_EQ(daemon.store().applied()->version(), 3u);
    EXPECT_EQ(askedPeers(daemon.didHearVersion("r2", 5, now)).size() + askedPeers(daemon.tick(now, source)).size(), 0u)
        << "a request to x is pending";
    auto corrupt = answerOf(*versionOf(5));
    corrupt.fragments[1].content += " ";
    EXPECT_EQ(askedPeers(daemon.didReceive("x", corrupt, now)), std::vector<std::string> { "r2" });
    daemon.didReceive("r2", answerOf(*versionOf(5)), now);
    EXPECT_EQ(daemon.store().applied()->version(), 5u);
}

TEST(Distributor, HandlesLateReorderedAndDuplicateAnswers)
{
    distributor daemon({});
    daemon.setPeers(withRelays({ "r1", "r2" }));
    time_point const now { seconds(1) };
    daemon.didHearVersion("r1", 3, now);
    // The delta of version 3 against 2 arrives before version 2 itself.
    EXPECT_TRUE(daemon.didReceive("r2", answerOf(*versionOf(3), versionOf(2)->digests()), now).empty());
    EXPECT_EQ(daemon.store().applied()->version(), 0u) << "an incomplete version is not applied";
    daemon.didReceive("r1", answerOf(*versionOf(2)), now);
    EXPECT_EQ(daemon.store().applied()->version(), 3u) << "applying version 2 completes version 3";
    EXPECT_TRUE(daemon.didReceive("r1", answerOf(*versionOf(2)), now).empty());
    EXPECT_TRUE(daemon.didReceive("r1", answerOf(*versionOf(3)), now).empty());
    EXPECT_EQ(daemon.store().applied()->version(), 3u);
}

TEST(Distributor, IsNotReadyUntilAVersionAtItsFloorIsApplied)
{
    distributor restarted({});
    restarted.setPeers(withRelays({ "behind", "ahead" }));
    generator source(1);
    time_point const now { seconds(1) };
    restarted.raiseFloor(7);
    EXPECT_EQ(restarted.highestKnown(), 7u);
    EXPECT_EQ(askedPeers(restarted.tick(now, source)), std::vector<std::string> { "behind" });
    EXPECT_EQ(
        askedPeers(restarted.didReceive("behind", answerOf(*versionOf(6)), now)), std::vector<std::string> { "ahead" });
    EXPECT_FALSE(restarted.store().isReady());
    EXPECT_EQ(restarted.store().applied()->version(), 0u);
    restarted.didReceive("ahead", answerOf(*versionOf(7)), now);
    EXPECT_TRUE(restarted.store().isReady());
}

TEST(Distributor, IsNoLongerReadyWhenItsFloorIsRaisedAboveTheAppliedVersion)
{
    distributor restarted({});
    restarted.setPeers(withRelays({ "r1", "r2" }));
    generator source(1);
    time_point const now { seconds(1) };
    restarted.didReceive("r1", answerOf(*versionOf(5)), now);
    EXPECT_TRUE(restarted.store().isReady());
    restarted.raiseFloor(7);
    EXPECT_FALSE(restarted.store().isReady());
    EXPECT_EQ(askedPeers(restarted.tick(now, source)).size(), 1u);
    restarted.didReceive("r2", answerOf(*versionOf(8)), now);
    EXPECT_TRUE(restarted.store().isReady());
}

TEST(Distributor, FetchesFromThePlatformWhenAllDaemonsHaveRestarted)
{
    distribution_simulation simulation(6);
    startZones(simulation);
    simulation.commit(answersWith(1));
    simulation.run(seconds(2));
    simulation.isPlatformUnreachable = [](auto&) {
        return true;
    };
    startZones(simulation);
    simulation.run(seconds(30));
    EXPECT_TRUE(simulation.allApplied(0));
    EXPECT_FALSE(simulation.at("a3").store().isReady());
    simulation.isPlatformUnreachable = [](auto&) {
        return false;
    };
    simulation.run(seconds(7));
    EXPECT_TRUE(simulation.allApplied(1));
}

TEST(Distributor, ReportsAnUnreadableHeadAndContinuesToWatch)
{
    distributor relay({});
    distribution_peers peers;
    peers.isRelay = true;
    relay.setPeers(peers);
    generator source(1);
    time_point const now { seconds(1) };
    relay.tick(now, source);
    auto const actions = relay.didWatchPlatform(std::optional(stored_object { headKey, 4, "{" }), now, source);
    ASSERT_EQ(actions.size(), 2u);
    EXPECT_TRUE(std::holds_alternative<version_refused>(actions[0]));
    EXPECT_EQ(std::get<watch_platform_head>(actions[1]).afterRevision, 4u);
}

// All VMs of a zone restart after a power failure. Relays push only changed fragments, so a daemon without a version
// must not wait peerRequestDelay for a push; one with an older version does wait.
TEST(Distributor, RequestsItsFirstVersionWithoutDelay)
{
    distribution_settings settings;
    settings.peerRequestDelay = milliseconds(600);
    time_point const now { seconds(1) };
    distributor restarted(settings);
    restarted.setPeers({ .isRelay = false, .relays = { "r1" } });
    auto const actions = restarted.didReceive("r1", version_announce { 7, "digest" }, now);
    ASSERT_EQ(actions.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<configuration_request>(std::get<send_message>(actions[0]).content));

    distributor member(settings);
    member.setPeers({ .isRelay = false, .relays = { "r1" } });
    member.didReceive("r1", answerOf(*versionOf(6)), now);
    ASSERT_EQ(member.store().applied()->version(), 6u);
    EXPECT_TRUE(member.didReceive("r1", version_announce { 7, "digest" }, now).empty());
}

} // namespace merlinpier
