#include <LibRouting/target_chooser.h>

#include <Tests/LibRouting/fleet_fixture.h>
#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr auto start = time_point(seconds(100));

service_route makeRoute(std::vector<std::pair<std::string, std::string>> const& targetsInZones)
{
    service_route route;
    route.configuration.service = "slots";
    for (auto const& [id, zone] : targetsInZones)
        route.targets.push_back({ id, "vm-" + id, zone, "10.0.0.1:7000", 1, 10 });
    return route;
}

std::map<std::string, int> countChoices(
    target_chooser const& chooser, service_route const& route, time_point now, int calls = 1000)
{
    generator random(7);
    std::map<std::string, int> counts;
    for (int i = 0; i < calls; ++i)
        ++counts[chooser.choose(route, {}, now, random)->id];
    return counts;
}

void report(target_chooser& chooser, std::string const& target, attempt_outcome outcome,
    std::optional<std::uint32_t> load, time_point now)
{
    chooser.didSend(target, now);
    chooser.didEnd(target, outcome, load, now);
}

void fail(target_chooser& chooser, std::string const& target, time_point now)
{
    for (int i = 0; i < 3; ++i)
        report(chooser, target, attempt_outcome::Unreachable, std::nullopt, now);
}

} // namespace

TEST(TargetChooser, PrefersTheOwnZoneUpToTheSpilloverThreshold)
{
    target_chooser chooser({ "a" });
    auto const route = makeRoute({ { "a1", "a" }, { "a2", "a" }, { "b1", "b" } });
    EXPECT_EQ(countChoices(chooser, route, start)["b1"], 0);
    report(chooser, "a1", attempt_outcome::Answered, 1500, start);
    report(chooser, "a2", attempt_outcome::Refused, 1500, start);
    // Two of the three pairs of targets include b1, and b1 is chosen from both.
    EXPECT_GT(countChoices(chooser, route, start)["b1"], 600);
    EXPECT_EQ(countChoices(chooser, route, start + seconds(3))["b1"], 0) << "a load report counts after its lifetime";
}

TEST(TargetChooser, TakesTheLessLoadedOfTwo)
{
    target_chooser chooser({ "a" });
    auto const route = makeRoute({ { "a1", "a" }, { "a2", "a" } });
    report(chooser, "a1", attempt_outcome::Answered, 300, start);
    EXPECT_EQ(countChoices(chooser, route, start)["a1"], 0);
    for (int i = 0; i < 5; ++i)
        chooser.didSend("a2", start);
    EXPECT_EQ(countChoices(chooser, route, start)["a2"], 0) << "the attempts in flight do not count";
}

TEST(TargetChooser, EjectsForLongerEachTimeAndNeverTheLastTarget)
{
    target_chooser chooser({ "a" });
    auto const route = makeRoute({ { "a1", "a" }, { "a2", "a" } });
    fail(chooser, "a1", start);
    EXPECT_EQ(countChoices(chooser, route, start)["a1"], 0);
    EXPECT_GT(countChoices(chooser, route, start + milliseconds(1000))["a1"], 300);

    auto const back = start + milliseconds(1000);
    report(chooser, "a1", attempt_outcome::Lost, std::nullopt, back);
    EXPECT_EQ(countChoices(chooser, route, back + milliseconds(1999))["a1"], 0)
        << "the second ejection is not longer than the first";

    fail(chooser, "a2", back);
    auto const counts = countChoices(chooser, route, back);
    EXPECT_EQ(counts.size(), 1u) << "one of two targets may be ejected, and the other must stay in use";
    generator random(1);
    EXPECT_EQ(chooser.choose(route, { counts.begin()->first }, back, random)->id == counts.begin()->first, false)
        << "the ejected target is not chosen when no other is left";
}

TEST(TargetChooser, SendsFewCallsToATargetDuringItsSlowStart)
{
    auto service = fixture::makeService("slots", { "L1", "L2" }, 10);
    service.slowStart = seconds(1);
    auto const configuration = fixture::makeConfiguration({ service });
    membership_table members;
    members.merge(fixture::makeMember("vm1", "a", 1, { { "warm", "slots", "L1", 1, target_state::Ready, 10 } }));
    target_chooser chooser({ "a" });
    chooser.setSnapshot(*routing_snapshot::build(configuration, members), start - seconds(10));
    members.merge(fixture::makeMember("vm2", "a", 2, { { "cold", "slots", "L2", 1, target_state::Ready, 10 } }));
    auto const snapshot = routing_snapshot::build(configuration, members);
    chooser.setSnapshot(*snapshot, start);
    auto const& route = *snapshot->service("slots");
    report(chooser, "warm", attempt_outcome::Answered, 400, start);
    EXPECT_EQ(countChoices(chooser, route, start + milliseconds(100))["cold"], 0);
    EXPECT_GT(countChoices(chooser, route, start + milliseconds(900))["cold"], 900);
}

TEST(TargetChooser, ChoosesTheSameTargetForAKeyInEveryZone)
{
    auto const route = makeRoute({ { "a1", "a" }, { "a2", "a" }, { "b1", "b" }, { "c1", "c" } });
    auto const smaller = makeRoute({ { "a1", "a" }, { "a2", "a" }, { "c1", "c" } });
    target_chooser inZoneA({ "a" });
    target_chooser inZoneB({ "b" });
    std::map<std::string, int> counts;
    for (int i = 0; i < 400; ++i) {
        auto const key = "key-" + std::to_string(i);
        auto const here = inZoneA.chooseForKey(route, {}, key, key_affinity::Strict, start)->id;
        EXPECT_EQ(here, inZoneB.chooseForKey(route, {}, key, key_affinity::Strict, start)->id);
        auto const after = inZoneB.chooseForKey(smaller, {}, key, key_affinity::Strict, start)->id;
        EXPECT_TRUE(here == "b1" || here == after) << "a key moves although its target is still there";
        ++counts[here];
    }
    for (auto const& [target, count] : counts)
        EXPECT_GT(count, 60) << target;
}

TEST(TargetChooser, SkipsALoadedTargetForALoadAwareKeyButNotForAStrictOne)
{
    auto const route = makeRoute({ { "a1", "a" }, { "a2", "a" } });
    target_chooser chooser({ "a" });
    auto const first = chooser.chooseForKey(route, {}, "key", key_affinity::Strict, start)->id;
    report(chooser, first, attempt_outcome::Refused, 2000, start);
    EXPECT_EQ(chooser.chooseForKey(route, {}, "key", key_affinity::Strict, start)->id, first);
    EXPECT_NE(chooser.chooseForKey(route, {}, "key", key_affinity::LoadAware, start)->id, first);
}

} // namespace merlinpier
