#include <LibRouting/routing_snapshot.h>

#include <Tests/LibRouting/fleet_fixture.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace merlinpier {

namespace {

using namespace fixture;

target_record makeTarget(std::string id, std::string licence, std::uint64_t claim = 1,
    target_state state = target_state::Ready, std::string service = "slots")
{
    return { std::move(id), std::move(service), std::move(licence), claim, state, 6 };
}

std::vector<std::string> idsOf(routing_snapshot const& snapshot)
{
    std::vector<std::string> ids;
    for (auto const& target : snapshot.service("slots")->targets)
        ids.push_back(target.id);
    return ids;
}

} // namespace

TEST(RoutingSnapshot, RoutesOnlyToReadyLicensedTargetsOfAliveMembers)
{
    auto const configuration = makeConfiguration({ makeService("slots", { "L1", "L2", "L3", "L4" }) }, 3);
    membership_table members;
    members.merge(makeMember("vm1", "a", 11,
        { makeTarget("t1", "L1"), makeTarget("t2", "L2", 1, target_state::Starting), makeTarget("t3", "unpaid"),
            makeTarget("t4", "L3", 1, target_state::Ready, "removed") }));
    auto leaving = makeMember("vm2", "a", 12, { makeTarget("t5", "L4") });
    leaving.state = member_state::Leaving;
    members.merge(leaving);
    auto const snapshot = routing_snapshot::build(configuration, members);
    EXPECT_EQ(snapshot->version(), 3u);
    EXPECT_EQ(idsOf(*snapshot), std::vector<std::string> { "t1" });
    EXPECT_EQ(snapshot->service("slots")->targets[0], (route_target { "t1", "vm1", "a", "vm1", 11, 6 }));
    EXPECT_EQ(snapshot->service("removed"), nullptr);
    EXPECT_FALSE(snapshot->verify(*configuration, members).isError());

    members.merge(makeMember("vm1", "a", 11, { makeTarget("t1", "L1", 1, target_state::Draining) }, 2));
    EXPECT_TRUE(snapshot->verify(*configuration, members).isError()) << "verify() accepts a route to a draining target";
    EXPECT_TRUE(snapshot->verify(*configuration_set::createEmpty(), members).isError());
}

TEST(RoutingSnapshot, RoutesToTheHighestClaimOfALicence)
{
    auto const configuration = makeConfiguration({ makeService("slots", { "L1" }) });
    membership_table members;
    members.merge(makeMember("vm1", "a", 1, { makeTarget("t1", "L1", 4) }));
    members.merge(makeMember("vm2", "a", 2, { makeTarget("t2", "L1", 5, target_state::Draining) }));
    EXPECT_TRUE(idsOf(*routing_snapshot::build(configuration, members)).empty())
        << "a lower claim gets calls while a higher one holds the licence";
    members.merge(makeMember("vm2", "a", 2, { makeTarget("t2", "L1", 4) }, 2));
    EXPECT_EQ(idsOf(*routing_snapshot::build(configuration, members)), std::vector<std::string> { "t1" });
}

TEST(RoutingSnapshot, MatchesLiteralSegmentsBeforeParameters)
{
    service_route route;
    route.configuration.answers.entryPoints = { makeEntryPoint("open", "GET", "/slots/{hall}", true),
        makeEntryPoint("literal", "GET", "/slots/all", true), makeEntryPoint("late", "GET", "/{kind}/all", true),
        makeEntryPoint("post", "POST", "/slots/{hall}", false) };
    auto const nameOf = [&](std::string_view method, std::string_view path) {
        auto const* found = route.match(method, path);
        return found ? found->name : "";
    };
    EXPECT_EQ(nameOf("GET", "/slots/all?day=1"), "literal");
    EXPECT_EQ(nameOf("GET", "/slots/7"), "open");
    EXPECT_EQ(nameOf("GET", "/halls/all"), "late");
    EXPECT_EQ(nameOf("POST", "/slots/7"), "post");
    for (auto const* path : { "/slots", "/slots/", "/slots/7/8", "/slots/7/", "", "/" })
        EXPECT_EQ(nameOf("GET", path), "") << path;
}

TEST(RoutingSnapshot, HasNoDanglingRouteAndOneTargetPerLicenceForAnyMembership)
{
    auto const configuration = makeConfiguration({ makeService("slots", { "L0", "L1", "L2" }) });
    EXPECT_TRUE(rc::check([&] {
        membership_table members;
        std::set<std::string> licences;
        int const count = *rc::gen::inRange(0, 6);
        for (int i = 0; i < count; ++i) {
            auto target = makeTarget("t" + std::to_string(i), "L" + std::to_string(*rc::gen::inRange(0, 5)),
                *rc::gen::inRange(1, 4), static_cast<target_state>(*rc::gen::inRange(0, 4)));
            auto member = makeMember("vm" + std::to_string(i), "a", i, { target });
            member.state = static_cast<member_state>(*rc::gen::inRange(0, 3));
            members.merge(member);
        }
        auto const snapshot = routing_snapshot::build(configuration, members);
        RC_ASSERT(!snapshot->verify(*configuration, members).isError());
        for (auto const& target : snapshot->service("slots")->targets) {
            auto const& record = members.find(target.vm)->targets[0];
            RC_ASSERT(licences.insert(record.licence).second);
        }
    }));
}

} // namespace merlinpier
