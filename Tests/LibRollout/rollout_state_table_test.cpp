#include <LibRollout/rollout_state_table.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace merlinpier {

namespace {

constexpr std::uint64_t wallClock = 1'700'000'000'000;
time_point const start { seconds(1000) };

stored_rollout storedOrder(std::uint64_t revision, std::optional<stored_status> status = std::nullopt)
{
    return { "slots", "slots", "v2", seconds(12), revision, 40, std::move(status) };
}

rollout_report report(std::uint64_t order, rollout_state state, std::uint32_t ageMs = 0)
{
    return { "slots", order, "v2", state, ageMs, 12'000 };
}

} // namespace

// Guards against daemons that take the same order for two because status writes raise the object's revision.
TEST(RolloutStateTable, IdentifiesAnOrderByTheRevisionBeforeItsFirstStatus)
{
    rollout_state_table first;
    first.learn(storedOrder(41), start, wallClock);
    rollout_state_table second;
    second.learn(storedOrder(44, stored_status { rollout_state::Running, "v2", 41, 0 }), start, wallClock);
    EXPECT_EQ(first.find("slots")->order, 41u);
    EXPECT_EQ(second.find("slots")->order, 41u);
}

// Guards against an order that is ignored because an operator wrote its status along with it.
TEST(RolloutStateTable, IdentifiesAnOrderWithAForeignStatusByItsRevision)
{
    rollout_state_table table;
    table.learn(storedOrder(44, stored_status { rollout_state::Done, "v2", 41, 0 }), start, wallClock);
    auto next = storedOrder(50, stored_status { rollout_state::Running, "v3", 0, 0 });
    next.targetVersion = "v3";
    EXPECT_TRUE(table.learn(next, start, wallClock));
    EXPECT_EQ(table.find("slots")->order, 50u);
}

// Guards against a new order on an object that still has the status of an earlier one.
TEST(RolloutStateTable, TakesAnotherVersionOrAnObjectMadeAnewForANewOrder)
{
    rollout_state_table table;
    table.learn(storedOrder(44, stored_status { rollout_state::RolledBack, "v2", 41, 0 }), start, wallClock);
    auto next = storedOrder(50, stored_status { rollout_state::RolledBack, "v2", 41, 0 });
    next.targetVersion = "v3";
    EXPECT_TRUE(table.learn(next, start, wallClock));
    EXPECT_EQ(table.find("slots")->order, 50u);
    EXPECT_EQ(table.find("slots")->state, rollout_state::Running);
    auto remade = storedOrder(61, stored_status { rollout_state::RolledBack, "v2", 41, 0 });
    remade.createdRevision = 60;
    EXPECT_TRUE(table.learn(remade, start, wallClock));
    EXPECT_EQ(table.find("slots")->state, rollout_state::Running);
}

// Guards against a version that gets calls again after it was found bad, whatever old reports arrive late.
TEST(RolloutStateTable, NeverGoesBackFromRolledBackToRunning)
{
    rollout_state_table table;
    table.learn(report(41, rollout_state::Running), start);
    EXPECT_TRUE(table.rollBack("slots", 41, start));
    EXPECT_FALSE(table.learn(report(41, rollout_state::Running), start));
    EXPECT_FALSE(table.learn(report(41, rollout_state::Switching), start));
    EXPECT_FALSE(
        table.learn(storedOrder(44, stored_status { rollout_state::Switching, "v2", 41, 0 }), start, wallClock));
    EXPECT_EQ(table.find("slots")->state, rollout_state::RolledBack);
    EXPECT_FALSE(table.rollBack("slots", 41, start));
}

// Guards against daemons that disagree with the store: old targets are stopped once it says done.
TEST(RolloutStateTable, AcceptsDoneFromTheStoreOverItsOwnFinding)
{
    rollout_state_table table;
    table.learn(report(41, rollout_state::Switching), start);
    table.rollBack("slots", 41, start);
    EXPECT_TRUE(table.learn(storedOrder(45, stored_status { rollout_state::Done, "v2", 41, 0 }), start, wallClock));
    EXPECT_EQ(table.find("slots")->state, rollout_state::Done);
    EXPECT_FALSE(table.learn(report(41, rollout_state::RolledBack), start));
}

// Guards against deadlines that move with every late copy of a report, and against a whole loss of daemons.
TEST(RolloutStateTable, KeepsTheEarliestTimeOfTheOrder)
{
    rollout_state_table table;
    table.learn(report(41, rollout_state::Running, 3000), start);
    table.learn(report(41, rollout_state::Running, 100), start);
    EXPECT_EQ(table.find("slots")->orderedAt, start - milliseconds(3000));
    rollout_state_table restarted;
    restarted.learn(
        storedOrder(44, stored_status { rollout_state::Running, "v2", 41, wallClock - 5000 }), start, wallClock);
    EXPECT_EQ(restarted.find("slots")->orderedAt, start - milliseconds(5000));
}

// Guards against daemons that disagree because reports reached them in another order or more than once.
TEST(RolloutStateTable, AgreesWhateverTheOrderAndRepetitionOfReports)
{
    rc::check([] {
        auto const states = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
        std::vector<rollout_report> reports;
        for (int const state : states)
            reports.push_back(
                report(static_cast<std::uint64_t>(41 + state / 4), static_cast<rollout_state>(state % 4)));
        rollout_state_table first;
        for (auto const& next : reports)
            first.learn(next, start);
        auto mixed = reports;
        mixed.insert(mixed.end(), reports.begin(), reports.end());
        std::reverse(mixed.begin(), mixed.end());
        rollout_state_table second;
        for (auto const& next : mixed)
            second.learn(next, start);
        RC_ASSERT(first.reports(start) == second.reports(start));
    });
}

} // namespace merlinpier
