#include "cluster.h"

#include <gtest/gtest.h>

namespace merlinpier {

// Failure: the answer differs from what becomes of the request, or a malformed question ends the process.
TEST(Explain, TellsWhereARequestGoesAndWhetherItIsAdmitted)
{
    cluster processes({ .zones = { "zone-a" }, .daemonsPerZone = 2 });
    processes.startPlatform();
    processes.startDaemons();
    auto const answers = nlohmann::json::parse(
        R"({"service": "desk", "owner": "Desk team", "dependencies": [], "allowed_callers": ["*"],
            "entry_points": [{"name": "read", "method": "GET", "path": "/items/{id}", "idempotent": true,
                              "class": "interactive", "deadline_ms": 500}],
            "licences": ["desk-1"], "slots_per_copy": 2, "drain_time_ms": 1000})");
    ASSERT_EQ(processes.submit(0, answers, "desk").value().status, 200);
    ASSERT_TRUE(processes.waitInForce(0, 1));
    auto const address = processes.httpAddress(0);
    for (auto const* malformed : { "/explain", "/explain?path=/items/1", "/explain?service=desk&host=h&path=/items/1",
             "/explain?service=desk&path=/items/1&deadline=soon" })
        EXPECT_EQ(processes.send(address, "GET", malformed).value().status, 400) << malformed;
    EXPECT_EQ(processes.send(address, "GET", "/explain?host=nowhere&path=/items/1").value().status, 404);
    EXPECT_EQ(processes.send(address, "GET", "/explain?service=desk&path=%ff%fe").value().status, 200);

    auto const question = "/explain?service=desk&path=/items/1&deadline=300";
    auto const without = processes.read(address, question).at("services").at(0);
    EXPECT_TRUE(without.at("choice").is_null());
    EXPECT_FALSE(without.at("refusal").is_null());

    processes.startTarget(1, "desk", "desk-1");
    ASSERT_TRUE(processes.waitForTargets(0, "desk", 1));
    auto const elsewhere = processes.read(address, question);
    EXPECT_EQ(elsewhere.at("services").at(0).at("choice").at("vm"), cluster::vmName(1));
    EXPECT_EQ(elsewhere.at("services").at(0).at("deadline_ms"), 300);
    EXPECT_TRUE(elsewhere.at("services").at(0).at("admission").empty());
    EXPECT_EQ(elsewhere.at("not_known_here").size(), 2u);
    ASSERT_EQ(processes.send(address, "GET", "/call/desk/items/1").value().status, 200);
    auto const own = processes.read(processes.httpAddress(1), question).at("services").at(0);
    ASSERT_EQ(own.at("admission").size(), 1u);
    EXPECT_EQ(own.at("admission").at(0).at("verdict"), "run");
    EXPECT_EQ(own.at("admission").at(0).at("order"), "deadline");
}

} // namespace merlinpier
