#include "exchange.h"

#include <Tests/LibConfiguration/configuration_samples.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace merlinpier {

namespace {

// Answers of two services; the change tells the versions of slots apart.
std::vector<questionnaire> answersWith(int change)
{
    auto bookings = sampleAnswers("bookings");
    auto slots = sampleAnswers("slots");
    slots.owner = "team " + std::to_string(change);
    return { bookings, slots };
}

std::vector<questionnaire> invalidAnswers()
{
    auto answers = answersWith(99);
    answers[0].dependencies = { "nowhere" };
    return answers;
}

// Daemon 3 of a zone reports to the relays 1 and 2; relays talk to those of other zones with the same number.
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

void start(exchange& exchange, std::string const& address, distribution_mode mode = distribution_mode::Push)
{
    exchange.start(address, peersOf(address[0], address[1]), mode);
}

void startZones(exchange& exchange, distribution_mode mode = distribution_mode::Push)
{
    for (auto const* address : { "a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3" })
        start(exchange, address, mode);
}

template <typename Message> std::size_t countReceived(exchange& exchange, std::string const& address)
{
    auto const& all = exchange.received[address];
    return std::count_if(
        all.begin(), all.end(), [](auto const& each) { return std::holds_alternative<Message>(each); });
}

bool isRising(std::vector<version_number> const& versions)
{
    return std::adjacent_find(versions.begin(), versions.end(), std::greater_equal<>()) == versions.end();
}

distribution_peers toRelays(std::vector<std::string> relays)
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

// The addresses that configuration requests go to.
std::vector<std::string> asked(std::vector<distribution_action> const& actions)
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

TEST(Distributor, BringsAVersionEverywhereWithinMilliseconds)
{
    for (auto const mode : { distribution_mode::Push, distribution_mode::Announce, distribution_mode::Baseline }) {
        exchange exchange(1);
        startZones(exchange, mode);
        exchange.commit(answersWith(1));
        exchange.run(seconds(2));
        EXPECT_TRUE(exchange.allHave(1));
        exchange.commit(answersWith(2));
        exchange.run(milliseconds(100));
        EXPECT_TRUE(exchange.allHave(2)) << static_cast<int>(mode);
    }
}

TEST(Distributor, ReadsAndSendsOnlyWhatChanged)
{
    exchange exchange(1);
    startZones(exchange);
    exchange.commit(answersWith(1));
    exchange.run(seconds(2));
    exchange.platformCalls.clear();
    exchange.received.clear();
    exchange.commit(answersWith(2));
    exchange.run(seconds(1));
    ASSERT_TRUE(exchange.allHave(2));
    EXPECT_TRUE(exchange.platformCalls["a3"].empty()) << "only relays watch";
    // Each relay reads the manifest and the one fragment, and watches again.
    EXPECT_EQ(exchange.platformCalls["a1"].size(), 3u);
    EXPECT_EQ(exchange.openWatches["a1"], 1);
    EXPECT_EQ(countReceived<configuration_answer>(exchange, "a3"), 2u);
    for (auto const& each : exchange.received["a3"])
        EXPECT_EQ(std::get<configuration_answer>(each).fragments.size(), 1u);
    EXPECT_EQ(countReceived<configuration_answer>(exchange, "b1"), 1u) << "from its own zone's other relay alone";
}

TEST(Distributor, AsksOnceWhenTwoRelaysAnnounce)
{
    exchange exchange(1);
    startZones(exchange, distribution_mode::Announce);
    exchange.commit(answersWith(1));
    exchange.run(seconds(2));
    exchange.received.clear();
    exchange.commit(answersWith(2));
    exchange.run(seconds(1));
    EXPECT_EQ(countReceived<version_announce>(exchange, "a3"), 2u);
    EXPECT_EQ(countReceived<configuration_answer>(exchange, "a3"), 1u);
}

TEST(Distributor, RefusesAnInvalidVersionWholeAndTakesTheNext)
{
    exchange exchange(2);
    startZones(exchange);
    exchange.commit(answersWith(1));
    exchange.run(seconds(2));
    auto const before = exchange.at("a1").store().applied();
    exchange.commit(invalidAnswers());
    exchange.run(seconds(5));
    EXPECT_TRUE(exchange.allHave(1));
    EXPECT_EQ(exchange.at("a1").store().applied(), before);
    EXPECT_EQ(exchange.at("a1").store().refusedVersion(), 2u);
    ASSERT_EQ(exchange.refused["a1"].size(), 1u) << "reported once";
    EXPECT_NE(exchange.refused["a1"][0].reason.text().find("nowhere"), std::string::npos);
    exchange.commit(answersWith(3));
    exchange.run(milliseconds(100));
    EXPECT_TRUE(exchange.allHave(3));
    EXPECT_EQ(exchange.at("a1").store().refusedVersion(), 0u);
}

TEST(Distributor, TakesAValidVersionBelowARefusedOne)
{
    distributor daemon({});
    daemon.setPeers(toRelays({ "r" }));
    time_point const now { seconds(1) };
    auto const fragments = fragmentsOf(invalidAnswers(), 1);
    configuration_answer const invalid { 3, serializeManifest(manifestOf(3, fragments, 1)), fragments };
    auto const actions = daemon.didReceive("r", invalid, now);
    ASSERT_EQ(actions.size(), 1u) << "refused, and not asked for again";
    EXPECT_TRUE(std::holds_alternative<version_refused>(actions[0]));
    EXPECT_TRUE(asked(daemon.didHearVersion("r", 3, now)).empty()) << "it would only be refused again";
    daemon.didReceive("r", answerOf(*versionOf(2)), now);
    EXPECT_EQ(daemon.store().applied()->version(), 2u);
    EXPECT_EQ(daemon.store().refusedVersion(), 3u);
}

RC_GTEST_PROP(Distributor, NeverGoesBackAndConvergesThroughAnyDisorder, ())
{
    exchange exchange(*rc::gen::arbitrary<std::uint64_t>());
    exchange.lossShare = 0.2;
    exchange.repeatShare = 0.3;
    exchange.longestDelay = milliseconds(*rc::gen::inRange(1, 1500));
    auto const mode = *rc::gen::element(distribution_mode::Push, distribution_mode::Announce);
    startZones(exchange, mode);
    version_number newest = 0;
    for (int step = 0; step < 8; ++step) {
        newest = exchange.commit(answersWith(step));
        exchange.run(milliseconds(*rc::gen::inRange(10, 900)));
        auto const cutZone = *rc::gen::element('a', 'b', '-');
        exchange.isCutFromPlatform = [=](auto& address) {
            return address[0] == cutZone;
        };
        if (step == 4)
            start(exchange, "b2", mode);
    }
    exchange.lossShare = 0;
    exchange.isCutFromPlatform = [](auto&) {
        return false;
    };
    exchange.run(seconds(12));
    RC_ASSERT(exchange.allHave(newest));
    for (auto const& [address, versions] : exchange.applied)
        RC_ASSERT(isRising(versions));
}

TEST(Distributor, LearnsThroughAnotherZoneWhenCutFromThePlatform)
{
    exchange exchange(3);
    startZones(exchange);
    exchange.commit(answersWith(1));
    exchange.run(seconds(2));
    exchange.isCutFromPlatform = [](auto& address) {
        return address[0] == 'b';
    };
    exchange.run(seconds(5));
    EXPECT_TRUE(exchange.at("b1").platformSilentSince());
    EXPECT_FALSE(exchange.at("a1").platformSilentSince());
    exchange.commit(answersWith(2));
    exchange.run(milliseconds(200));
    EXPECT_TRUE(exchange.allHave(2));
}

TEST(Distributor, ServesOnWhenCutOffFromAllAndCatchesUp)
{
    exchange exchange(4);
    startZones(exchange);
    exchange.commit(answersWith(1));
    exchange.run(seconds(2));
    exchange.isCutFromPlatform = [](auto& address) {
        return address[0] == 'b';
    };
    exchange.isCut = [](auto& from, auto& to) {
        return (from[0] == 'b') != (to[0] == 'b');
    };
    for (int i = 2; i < 5; ++i)
        exchange.commit(answersWith(i));
    exchange.run(seconds(60));
    EXPECT_EQ(exchange.at("a3").store().applied()->version(), 4u);
    EXPECT_EQ(exchange.at("b3").store().applied()->version(), 1u);
    EXPECT_TRUE(exchange.at("b3").store().isReady());
    exchange.isCutFromPlatform = [](auto&) {
        return false;
    };
    exchange.isCut = [](auto&, auto&) {
        return false;
    };
    exchange.run(seconds(6));
    EXPECT_TRUE(exchange.allHave(4));
    EXPECT_FALSE(exchange.at("b1").platformSilentSince());
    EXPECT_EQ(exchange.applied["b3"], (std::vector<version_number> { 1, 4 }));
}

TEST(Distributor, KeepsToItsPlatformBudgetInAnOutage)
{
    exchange exchange(5);
    startZones(exchange);
    exchange.commit(answersWith(1));
    exchange.run(seconds(2));
    exchange.platformCalls.clear();
    exchange.isCutFromPlatform = [](auto&) {
        return true;
    };
    exchange.run(seconds(300));
    for (auto const& [address, calls] : exchange.platformCalls) {
        EXPECT_LE(calls.size(), 6u * exchange.settings.platformCallsPerMinute) << address;
        EXPECT_GE(calls.size(), 300u / 5) << "it must go on trying";
    }
    std::set<std::size_t> counts;
    for (auto const& [address, calls] : exchange.platformCalls)
        counts.insert(calls.size());
    EXPECT_GT(counts.size(), 1u) << "relays must not try in step";
    EXPECT_TRUE(exchange.at("a3").store().isReady());
}

TEST(Distributor, StopsAtItsBudgetWhenThePlatformAnswersAtOnce)
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

TEST(Distributor, WatchesAgainAfterALostWatchAndNeverTwiceForLong)
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
    EXPECT_EQ(relay.tick(now, source).size(), 1u) << "the first is given up for lost";
    auto const late = relay.didWatchPlatform(std::optional<stored_object>(), now, source);
    EXPECT_TRUE(late.empty()) << "the second is still open";
    EXPECT_EQ(relay.didWatchPlatform(std::optional<stored_object>(), now, source).size(), 1u);
}

TEST(Distributor, AsksAnotherPeerWhenOneIsSilentBehindOrCorrupt)
{
    distributor daemon({});
    daemon.setPeers(toRelays({ "r1", "r2", "r3" }));
    generator source(1);
    time_point now { seconds(1) };
    EXPECT_EQ(asked(daemon.didHearVersion("x", 5, now)), std::vector<std::string> { "x" });
    EXPECT_TRUE(asked(daemon.didHearVersion("x", 5, now)).empty()) << "one request at a time";
    now += seconds(1);
    EXPECT_EQ(asked(daemon.tick(now, source)), std::vector<std::string> { "r1" }) << "silent";
    EXPECT_EQ(asked(daemon.didReceive("r1", version_announce { 3, "" }, now)), std::vector<std::string> { "r1" })
        << "what is there is better than nothing";
    daemon.didReceive("r1", answerOf(*versionOf(3)), now);
    EXPECT_EQ(daemon.store().applied()->version(), 3u);
    EXPECT_EQ(asked(daemon.didHearVersion("r2", 5, now)).size() + asked(daemon.tick(now, source)).size(), 0u)
        << "x is asked again first";
    auto corrupt = answerOf(*versionOf(5));
    corrupt.fragments[1].content += " ";
    EXPECT_EQ(asked(daemon.didReceive("x", corrupt, now)), std::vector<std::string> { "r2" });
    daemon.didReceive("r2", answerOf(*versionOf(5)), now);
    EXPECT_EQ(daemon.store().applied()->version(), 5u);
}

TEST(Distributor, IgnoresLateCrossedAndRepeatedAnswers)
{
    distributor daemon({});
    daemon.setPeers(toRelays({ "r1", "r2" }));
    time_point const now { seconds(1) };
    daemon.didHearVersion("r1", 3, now);
    // The delta of version 3 against 2 arrives before version 2 itself.
    EXPECT_TRUE(daemon.didReceive("r2", answerOf(*versionOf(3), versionOf(2)->digests()), now).empty());
    EXPECT_EQ(daemon.store().applied()->version(), 0u) << "nothing in part";
    daemon.didReceive("r1", answerOf(*versionOf(2)), now);
    EXPECT_EQ(daemon.store().applied()->version(), 3u) << "the fragments of 2 complete 3";
    EXPECT_TRUE(daemon.didReceive("r1", answerOf(*versionOf(2)), now).empty());
    EXPECT_TRUE(daemon.didReceive("r1", answerOf(*versionOf(3)), now).empty());
    EXPECT_EQ(daemon.store().applied()->version(), 3u);
}

TEST(Distributor, IsNotReadyBelowItsFloorWhileAPeerKnowsMore)
{
    distributor restarted({});
    restarted.setPeers(toRelays({ "behind", "ahead" }));
    generator source(1);
    time_point const now { seconds(1) };
    restarted.raiseFloor(7);
    EXPECT_EQ(restarted.highestKnown(), 7u);
    EXPECT_EQ(asked(restarted.tick(now, source)), std::vector<std::string> { "behind" });
    EXPECT_EQ(
        asked(restarted.didReceive("behind", answerOf(*versionOf(6)), now)), std::vector<std::string> { "ahead" });
    EXPECT_FALSE(restarted.store().isReady());
    EXPECT_EQ(restarted.store().applied()->version(), 0u);
    restarted.didReceive("ahead", answerOf(*versionOf(7)), now);
    EXPECT_TRUE(restarted.store().isReady());
}

TEST(Distributor, IsNoLongerReadyWhenItsFloorArrivesLate)
{
    distributor restarted({});
    restarted.setPeers(toRelays({ "r1", "r2" }));
    generator source(1);
    time_point const now { seconds(1) };
    restarted.didReceive("r1", answerOf(*versionOf(5)), now);
    EXPECT_TRUE(restarted.store().isReady());
    restarted.raiseFloor(7);
    EXPECT_FALSE(restarted.store().isReady());
    EXPECT_EQ(asked(restarted.tick(now, source)).size(), 1u);
    restarted.didReceive("r2", answerOf(*versionOf(8)), now);
    EXPECT_TRUE(restarted.store().isReady());
}

TEST(Distributor, TakesThePlatformsVersionWhenAllWhoKnewAreGone)
{
    exchange exchange(6);
    startZones(exchange);
    exchange.commit(answersWith(1));
    exchange.run(seconds(2));
    exchange.isCutFromPlatform = [](auto&) {
        return true;
    };
    startZones(exchange);
    exchange.run(seconds(30));
    EXPECT_TRUE(exchange.allHave(0));
    EXPECT_FALSE(exchange.at("a3").store().isReady());
    exchange.isCutFromPlatform = [](auto&) {
        return false;
    };
    exchange.run(seconds(7));
    EXPECT_TRUE(exchange.allHave(1));
}

TEST(Distributor, ReportsAHeadThatCannotBeReadAndGoesOn)
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
    EXPECT_EQ(std::get<watch_platform>(actions[1]).afterRevision, 4u);
}

// Pattern: all VMs of a zone return from a loss of power. Relays push what has changed, so a member that has nothing
// yet must not wait for a push; one that has an older version may.
TEST(Distributor, AsksAtOnceForTheFirstVersionThatItHearsOf)
{
    distribution_settings settings;
    settings.peerPatience = milliseconds(600);
    time_point const now { seconds(1) };
    distributor returned(settings);
    returned.setPeers({ .isRelay = false, .relays = { "r1" } });
    auto const actions = returned.didReceive("r1", version_announce { 7, "digest" }, now);
    ASSERT_EQ(actions.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<configuration_request>(std::get<send_message>(actions[0]).content));

    distributor member(settings);
    member.setPeers({ .isRelay = false, .relays = { "r1" } });
    member.didReceive("r1", answerOf(*versionOf(6)), now);
    ASSERT_EQ(member.store().applied()->version(), 6u);
    EXPECT_TRUE(member.didReceive("r1", version_announce { 7, "digest" }, now).empty());
}

} // namespace merlinpier
