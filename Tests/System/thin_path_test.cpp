#include "cluster.h"

#include <LibCore/digest.h>
#include <gtest/gtest.h>

namespace merlinpier {

// Nine daemons in three availability zones find each other, a questionnaire submitted to one is in force on all, and a
// caller gets the whole answer of a target in another zone from any daemon.
TEST(ThinPath, ServesARequestFromAnyDaemonToATargetInAnyZone)
{
    cluster processes;
    processes.startPlatform();
    processes.startDaemons();
    auto const accepted = processes.submitFile(4, "examples/targowisko/zones.json");
    ASSERT_FALSE(accepted.isError()) << accepted.failure().text();
    ASSERT_EQ(accepted.value().status, 200) << accepted.value().body;
    ASSERT_TRUE(processes.waitInForce(7, 1));

    auto const service = processes.read(processes.httpAddress(0), "/config/services/zones");
    auto const licence = service["answers"]["licences"][0].get<std::string>();
    auto const& entry = service["answers"]["entry_points"][0];
    processes.startTarget(2, "zones", licence);
    for (int vm = 0; vm < processes.vmCount(); ++vm) {
        ASSERT_TRUE(processes.waitForTargets(vm, "zones", 1));
        auto const path = "/call/zones" + entry["path"].get<std::string>();
        auto const answer
            = processes.send(processes.httpAddress(vm), entry["method"].get<std::string>(), path, "body of " + path);
        ASSERT_FALSE(answer.isError()) << answer.failure().text();
        ASSERT_EQ(answer.value().status, 200) << answer.value().body;
        EXPECT_EQ(answer.value().header("Merlinpier-Outcome"), "answered");
        auto const body = nlohmann::json::parse(answer.value().body);
        EXPECT_EQ(body["target"], licence);
        EXPECT_EQ(body["body_digest"], contentDigest("body of " + path));
    }
}

} // namespace merlinpier
