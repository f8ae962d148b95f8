#include "fleet.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace merlinpier {

namespace {

constexpr seconds convergenceTime { 20 };
// Within this time of its start, a daemon has to serve by the configuration in force.
constexpr seconds catchUpTime { 4 };

// Starts three zones, a, b and c, with the same number of VMs each. The seeds are one VM of each zone.
void startZones(fleet& fleet, int perZone)
{
    for (auto const* zone : { "a", "b", "c" }) {
        for (int i = 0; i < perZone; ++i)
            fleet.start(zone, i, { "a-0", "b-0", "c-0" });
    }
}

std::vector<target_record> oneTarget(target_state state)
{
    return { target_record { "t", "slots", "licence", 1, state, 6 } };
}

bool isInZone(std::string const& vm, char zone) { return vm[0] == zone; }

member_state stateInViewOf(fleet& fleet, std::string const& observer, std::string const& vm)
{
    return fleet.at(observer).table().find(vm)->state;
}

std::size_t countPrimaryRelays(fleet const& fleet)
{
    std::size_t count = 0;
    for (auto const& [vm, member] : fleet.members())
        count += member->isPrimaryRelay();
    return count;
}

} // namespace

TEST(Member, FindsAllMembersAndAgreesOnTwoRelaysPerZone)
{
    fleet fleet(1);
    startZones(fleet, 4);
    fleet.run(convergenceTime);
    EXPECT_TRUE(fleet.haveConverged());
    EXPECT_EQ(fleet.at("a-0").table().records().size(), 12u);
    EXPECT_EQ(countPrimaryRelays(fleet), 6u);
    for (auto const& [vm, member] : fleet.members())
        EXPECT_EQ(member->remoteRelays().size(), member->isPrimaryRelay() ? 2u : 0u) << vm;
}

TEST(Member, ReceivesEachVersionFromOneRelay)
{
    fleet fleet(1);
    startZones(fleet, 4);
    fleet.run(convergenceTime);
    std::map<std::string, int> senderCounts;
    for (auto const& [vm, member] : fleet.members()) {
        for (auto const& receiver : member->versionReceivers())
            ++senderCounts[receiver];
    }
    for (auto const& [vm, member] : fleet.members())
        EXPECT_EQ(senderCounts[vm], 1) << vm;
    // When a relay fails, another one takes over its receivers.
    auto const relay = std::find_if(fleet.members().begin(), fleet.members().end(),
        [](auto const& entry) { return entry.second->isPrimaryRelay(); });
    auto const gone = relay->first;
    fleet.stop(gone);
    fleet.run(convergenceTime);
    senderCounts.clear();
    for (auto const& [vm, member] : fleet.members()) {
        for (auto const& receiver : member->versionReceivers())
            ++senderCounts[receiver];
    }
    for (auto const& [vm, member] : fleet.members())
        EXPECT_EQ(senderCounts[vm], 1) << vm;
}

// Members of a large zone subscribe to one relay only, so no other relay can send them new versions.
TEST(Member, SendsEachVersionToEveryMemberOfALargeZone)
{
    for (int const perZone : { 17, 25, 60 }) {
        fleet fleet(3);
        fleet.vmPrefix = "vm-";
        for (int i = 0; i < perZone; ++i)
            fleet.start("a", i, { "a-0" });
        fleet.run(convergenceTime);
        std::map<std::string, int> senderCounts;
        for (auto const& [vm, member] : fleet.members()) {
            for (auto const& receiver : member->versionReceivers())
                ++senderCounts[receiver];
        }
        for (auto const& [vm, member] : fleet.members())
            EXPECT_GE(senderCounts[vm], 1) << vm << " of " << perZone;
    }
}

// Guards against daemons that wait for each other's heartbeats: each is alone in its zone, so each would be a relay,
// and only relays send heartbeats across zones. Until one acts as a relay, none reads the configuration.
TEST(Member, BecomesARelayInTimeWhereEachZoneHasOneMember)
{
    fleet fleet(1);
    startZones(fleet, 1);
    fleet.run(catchUpTime);
    EXPECT_EQ(countPrimaryRelays(fleet), 3u);
}

TEST(Member, BecomesARelayWhenAlone)
{
    fleet fleet(1);
    auto& alone = fleet.start("a", 0, { "a-0" });
    fleet.run(milliseconds(10));
    EXPECT_TRUE(alone.isRelay());
    EXPECT_TRUE(alone.relays().empty());
    auto& unreachable = fleet.start("a", 1, { "nobody" });
    fleet.run(seconds(1));
    EXPECT_FALSE(unreachable.isRelay())
        << "a daemon that is still joining must not watch the platform in addition to the relays";
    fleet.run(convergenceTime);
    EXPECT_TRUE(unreachable.isRelay());
    EXPECT_FALSE(unreachable.hasContact(fleet.now));
}

TEST(Member, PropagatesADrainToAllMembersAtOnce)
{
    fleet fleet(2);
    startZones(fleet, 4);
    fleet.run(convergenceTime);
    fleet.perform("b-1", fleet.at("b-1").setTargets(oneTarget(target_state::Draining), fleet.now));
    fleet.run(milliseconds(150));
    for (auto const& [vm, member] : fleet.members())
        EXPECT_EQ(member->table().find("b-1")->targets, oneTarget(target_state::Draining)) << vm;
}

RC_GTEST_PROP(Member, ConvergesAfterLossDuplicationAndReordering, ())
{
    fleet fleet(*rc::gen::arbitrary<std::uint64_t>());
    fleet.step = milliseconds(50);
    fleet.lossShare = 0.3;
    fleet.repeatShare = 0.3;
    fleet.longestDelay = milliseconds(300);
    startZones(fleet, 2);
    for (int change = 0; change < 6; ++change) {
        auto const vm = std::string(1, "abc"[change % 3]) + "-1";
        auto const state = change < 3 ? target_state::Ready : target_state::Draining;
        fleet.perform(vm, fleet.at(vm).setTargets(oneTarget(state), fleet.now));
        fleet.perform(vm, fleet.at(vm).setApplied(change, 0, {}, fleet.now));
        fleet.run(milliseconds(700));
    }
    fleet.lossShare = 0;
    fleet.run(seconds(45));
    RC_ASSERT(fleet.haveConverged());
    RC_ASSERT(fleet.at("a-0").table().find("c-1")->targets == oneTarget(target_state::Draining));
    for (auto const& [vm, record] : fleet.at("a-0").table().records())
        RC_ASSERT(record.state == member_state::Alive);
}

TEST(FailureDetector, SuspectsNobodyAfterItsOwnPause)
{
    membership_table table;
    for (int i = 0; i < 4; ++i) {
        member_record record;
        record.vm = "vm" + std::to_string(i);
        record.zone = "a";
        record.incarnation = 1;
        table.merge(record);
    }
    failure_detector detector(seconds(3), 0.5);
    time_point now { seconds(100) };
    detector.observe(table, "a", "vm0", now);
    now += seconds(60);
    detector.observe(table, "a", "vm0", now);
    EXPECT_TRUE(detector.suspects(now).empty());
    for (int second = 0; second < 7; ++second) {
        now += seconds(1);
        detector.observe(table, "a", "vm0", now);
        detector.didReceiveFrom("vm1", now);
        detector.didReceiveFrom("vm2", now);
    }
    EXPECT_EQ(detector.suspects(now), std::vector<std::string> { "vm3" });
    EXPECT_EQ(detector.gone(table, now), std::vector<std::string> { "vm3" });
}

TEST(Member, KeepsItsRelaysAfterItsOwnPause)
{
    fleet fleet(11);
    startZones(fleet, 4);
    fleet.run(convergenceTime);
    auto const vm = rankRelays(fleet.at("a-0").table(), "a")[3];
    // Its last heartbeats before the pause stay unanswered.
    fleet.isCut = [&](auto& from, auto& to) {
        return from == vm || to == vm;
    };
    fleet.run(milliseconds(1200));
    auto const relays = fleet.at(vm).relays();
    fleet.pause(vm);
    fleet.run(seconds(4));
    fleet.isCut = [](auto&, auto&) {
        return false;
    };
    fleet.resume(vm);
    fleet.run(milliseconds(20));
    EXPECT_EQ(fleet.at(vm).relays(), relays);
    EXPECT_FALSE(fleet.at(vm).isRelay());
}

TEST(Member, IsGoneAfterSilenceAndRefutesAfterResuming)
{
    fleet fleet(3);
    startZones(fleet, 4);
    fleet.run(convergenceTime);
    fleet.pause("a-2");
    fleet.run(seconds(9));
    EXPECT_EQ(stateInViewOf(fleet, "c-1", "a-2"), member_state::Gone);
    fleet.resume("a-2");
    fleet.run(milliseconds(800));
    for (auto const& [vm, member] : fleet.members())
        EXPECT_EQ(member->table().find("a-2")->state, member_state::Alive) << vm;
    EXPECT_EQ(fleet.at("a-2").self().incarnation, 2u);
    // The resumed daemon received nothing while it was paused, and must not set the others Gone for that.
    for (auto const& [vm, record] : fleet.at("a-2").table().records())
        EXPECT_EQ(record.state, member_state::Alive) << vm;
}

TEST(Member, ReplacesARelayThatDoesNotAnswer)
{
    fleet fleet(4);
    startZones(fleet, 4);
    fleet.run(convergenceTime);
    auto const relay = rankRelays(fleet.at("a-0").table(), "a")[0];
    fleet.stop(relay);
    fleet.run(seconds(4));
    for (auto const& [vm, member] : fleet.members()) {
        if (!isInZone(vm, 'a'))
            continue;
        auto const relays = member->relays();
        EXPECT_EQ(relays.size() + (member->isRelay() ? 1u : 0u), 2u) << vm;
        EXPECT_EQ(std::count(relays.begin(), relays.end(), relay), 0) << vm;
    }
    fleet.run(seconds(6));
    EXPECT_EQ(stateInViewOf(fleet, "b-0", relay), member_state::Gone);
    EXPECT_EQ(countPrimaryRelays(fleet), 6u);
}

TEST(Member, AssumesAPartitionWhenHalfOfAZoneIsSilent)
{
    fleet fleet(5);
    startZones(fleet, 4);
    fleet.run(convergenceTime);
    fleet.stop("a-1");
    fleet.stop("a-2");
    fleet.run(seconds(30));
    EXPECT_EQ(stateInViewOf(fleet, "a-0", "a-1"), member_state::Alive);
    EXPECT_EQ(stateInViewOf(fleet, "c-0", "a-2"), member_state::Alive);
    std::size_t suspecting = 0;
    for (auto const& [vm, member] : fleet.members())
        suspecting += member->suspects(fleet.now).size() == 2;
    EXPECT_GE(suspecting, 1u) << "no member reports both silent members as suspects";
}

TEST(Member, IsGoneAfterOneTimeoutWhenLeaving)
{
    fleet fleet(6);
    fleet.start("a", 0, {});
    fleet.start("a", 1, { "a-0" });
    fleet.run(convergenceTime);
    fleet.perform("a-1", fleet.at("a-1").setLeaving(fleet.now));
    fleet.run(milliseconds(100));
    EXPECT_EQ(stateInViewOf(fleet, "a-0", "a-1"), member_state::Leaving);
    fleet.stop("a-1");
    fleet.run(seconds(4));
    EXPECT_EQ(stateInViewOf(fleet, "a-0", "a-1"), member_state::Gone);
}

TEST(Member, KeepsMembersOfAPartitionedZoneAndConvergesAfterwards)
{
    fleet fleet(7);
    startZones(fleet, 3);
    fleet.run(convergenceTime);
    fleet.isCut = [](auto& from, auto& to) {
        return isInZone(from, 'b') != isInZone(to, 'b');
    };
    fleet.run(seconds(60));
    fleet.perform("b-1", fleet.at("b-1").setTargets(oneTarget(target_state::Ready), fleet.now));
    fleet.perform("a-1", fleet.at("a-1").setTargets(oneTarget(target_state::Ready), fleet.now));
    fleet.run(seconds(60));
    EXPECT_EQ(stateInViewOf(fleet, "a-0", "b-1"), member_state::Alive);
    EXPECT_EQ(fleet.at("b-0").table().find("b-1")->targets.size(), 1u);
    EXPECT_TRUE(fleet.at("a-0").table().find("b-1")->targets.empty());
    fleet.isCut = [](auto&, auto&) {
        return false;
    };
    fleet.run(seconds(12));
    EXPECT_TRUE(fleet.haveConverged());
    EXPECT_EQ(fleet.at("c-2").table().find("b-1")->targets.size(), 1u);
}

TEST(Member, MergesGroupsThatStartedSeparately)
{
    fleet fleet(8);
    fleet.isCut = [](auto& from, auto& to) {
        return isInZone(from, 'a') != isInZone(to, 'a');
    };
    startZones(fleet, 2);
    fleet.run(seconds(40));
    EXPECT_EQ(fleet.at("a-0").table().records().size(), 2u);
    fleet.isCut = [](auto&, auto&) {
        return false;
    };
    fleet.run(seconds(60));
    EXPECT_TRUE(fleet.haveConverged());
    EXPECT_EQ(fleet.at("a-0").table().records().size(), 6u);
}

TEST(Member, LearnsTheVersionAppliedBeforeARestart)
{
    fleet fleet(9);
    startZones(fleet, 3);
    fleet.run(convergenceTime);
    fleet.perform("a-1", fleet.at("a-1").setApplied(7, 0, {}, fleet.now));
    fleet.run(seconds(2));
    // Two restarts in a row; the daemon applies nothing between them.
    for (int restart = 0; restart < 2; ++restart) {
        fleet.stop("a-1");
        fleet.start("a", 1, { "b-0" });
        fleet.run(seconds(3));
        EXPECT_EQ(fleet.at("a-1").appliedBefore(), 7u);
    }
    EXPECT_TRUE(fleet.haveConverged());
    EXPECT_EQ(fleet.at("b-1").table().find("a-1")->instance, fleet.at("a-1").self().instance);
}

TEST(Member, LearnsTheDepartureOfItsTargetBeforeARestart)
{
    fleet fleet(9);
    startZones(fleet, 3);
    fleet.run(convergenceTime);
    auto targets = oneTarget(target_state::Draining);
    targets[0].departedStart = 500;
    fleet.perform("a-1", fleet.at("a-1").setTargets(targets, fleet.now));
    fleet.run(seconds(2));
    EXPECT_TRUE(fleet.at("a-1").restrictedBefore().empty()) << "the process itself knows of the departure";
    fleet.stop("a-1");
    fleet.start("a", 1, { "b-0" });
    fleet.run(seconds(3));
    EXPECT_EQ(fleet.at("a-1").restrictedBefore(), targets);
}

// A version in a heartbeat's answer means a missed push only if it comes from the relay that pushes to this member.
TEST(Member, ReportsAMissedPushOfItsOwnRelayOnly)
{
    fleet fleet(10);
    startZones(fleet, 20);
    fleet.run(convergenceTime);
    auto const relays = fleet.at("a-1").relays();
    std::size_t missed = 0;
    for (auto const& from : relays) {
        heartbeat_answer const answer { fleet.at(from).self().vm, 9, fleet.at("a-1").table().digest(), true, 0 };
        generator random(1);
        for (auto const& action : fleet.at("a-1").didReceive(from, answer, fleet.now, random)) {
            if (auto const* reported = std::get_if<newer_version_reported>(&action))
                missed += reported->isPushMissed;
        }
    }
    EXPECT_EQ(relays.size(), 2u);
    EXPECT_EQ(missed, 1u);
}

// Failure: relays of other zones that left a heartbeat unanswered once were not asked again.
TEST(Member, AsksAnotherZoneAgainAfterItWasCutOffItself)
{
    fleet fleet(12);
    startZones(fleet, 20);
    fleet.run(convergenceTime);
    bool isCutOff = true;
    std::size_t asked = 0;
    fleet.isCut = [&](std::string const& from, std::string const& to) {
        asked += from == "a-1" && !isInZone(to, 'a');
        return isCutOff && (from == "a-1" || to == "a-1");
    };
    fleet.run(seconds(10));
    isCutOff = false;
    fleet.run(seconds(40));
    ASSERT_TRUE(fleet.at("a-1").hasContact(fleet.now));
    for (auto const& relay : fleet.at("a-1").relays())
        fleet.pause(relay);
    asked = 0;
    fleet.run(seconds(2));
    EXPECT_GE(asked, 1u);
}

// Failure: a version that a relay applied between a member's subscription and its own next tick was not sent to it.
TEST(Member, ReportsChangesOfItsSubscribersAtOnce)
{
    fleet fleet(11);
    auto& relay = fleet.start("a", 0, { "a-0" });
    fleet.run(milliseconds(50));
    generator random(1);
    auto const countChanges = [&](bool subscribes) {
        heartbeat beat;
        beat.vm = "a-1";
        beat.subscribes = subscribes;
        auto const actions = relay.didReceive("a-1", beat, fleet.now, random);
        return std::count_if(actions.begin(), actions.end(),
            [](auto const& action) { return std::holds_alternative<subscribers_changed>(action); });
    };
    EXPECT_EQ(countChanges(true), 1);
    EXPECT_EQ(countChanges(true), 0);
    EXPECT_EQ(countChanges(false), 1);
    EXPECT_EQ(countChanges(false), 0);
}

TEST(Member, RefutesRecordsOfItselfWithAHigherIncarnation)
{
    membership_settings settings;
    settings.vm = "a-0";
    settings.address = "a-0";
    member restarted(settings, 5);
    generator source(1);
    time_point const now { seconds(1) };
    auto received = restarted.self();
    restarted.didReceive("b-0", membership_update { { received } }, now, source);
    EXPECT_EQ(restarted.self().incarnation, 1u) << "an equal record needs no refutation";
    received.instance = 7;
    received.incarnation = 4;
    received.appliedVersion = 9;
    restarted.didReceive("b-0", membership_update { { received } }, now, source);
    EXPECT_EQ(restarted.self().incarnation, 5u);
    EXPECT_EQ(restarted.appliedBefore(), 9u);
    restarted.didReceive("b-0", membership_update { { received } }, now, source);
    EXPECT_EQ(restarted.self().incarnation, 5u) << "a record of a lower incarnation needs no refutation";
    received = restarted.self();
    received.state = member_state::Gone;
    restarted.didReceive("b-0", membership_update { { received } }, now, source);
    EXPECT_EQ(restarted.self().incarnation, 6u);
    EXPECT_EQ(restarted.self().state, member_state::Alive);
}

TEST(Member, AcceptsSubscriptionsUpToItsLimit)
{
    membership_settings settings;
    settings.vm = "a-0";
    settings.address = "a-0";
    settings.maximumSubscribers = 2;
    member relay(settings, 1);
    generator source(1);
    time_point const now { seconds(1) };
    auto const retryAfter = [&](std::string const& from) {
        heartbeat beat;
        beat.vm = from;
        beat.subscribes = true;
        auto const actions = relay.didReceive(from, beat, now, source);
        return std::get<heartbeat_answer>(std::get<send_message>(actions.at(0)).content).retryAfterMs;
    };
    EXPECT_EQ(retryAfter("x"), 0u);
    EXPECT_EQ(retryAfter("y"), 0u);
    EXPECT_GT(retryAfter("z"), 0u);
    EXPECT_EQ(retryAfter("x"), 0u);
    EXPECT_TRUE(relay.isRelay());
    EXPECT_EQ(relay.subscribers(), (std::vector<std::string> { "x", "y" }));
}

TEST(Member, StaysWithinLimitsWhenHalfOfTheMembersRestart)
{
    fleet fleet(10);
    startZones(fleet, 20);
    fleet.run(convergenceTime);
    for (auto const* zone : { "a", "b", "c" }) {
        for (int i = 0; i < 10; ++i)
            fleet.stop(std::string(zone) + "-" + std::to_string(2 * i));
    }
    fleet.run(seconds(2));
    for (auto const* zone : { "a", "b", "c" }) {
        for (int i = 0; i < 10; ++i)
            fleet.start(zone, 2 * i, { "a-0", "b-1", "c-3" });
    }
    fleet.messages = 0;
    std::size_t mostPrimaryRelays = 0;
    for (int step = 0; step < 50; ++step) {
        fleet.run(milliseconds(100));
        mostPrimaryRelays = std::max(mostPrimaryRelays, countPrimaryRelays(fleet));
    }
    EXPECT_TRUE(fleet.haveConverged());
    EXPECT_LE(mostPrimaryRelays, 9u) << "each primary relay watches the platform";
    // Two heartbeats and their answers per second for each of 60 members are 1200 messages in 5 s.
    EXPECT_LE(fleet.messages, 4000u);
    for (auto const& [vm, record] : fleet.at("a-1").table().records())
        EXPECT_EQ(record.state, member_state::Alive) << vm;
}

} // namespace merlinpier
