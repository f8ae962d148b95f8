#include "distribution_simulation.h"

#include <Tests/LibConfiguration/configuration_samples.h>
#include <algorithm>
#include <gtest/gtest.h>

// A platform that was restored from a copy has lost its newest writes and assigns their revisions again. The versions
// that daemons apply must neither go back nor stop.

namespace merlinpier {

namespace {

// Two relays that both watch the platform and a subscriber of both.
constexpr char const* addresses[] = { "a1", "a2", "a3" };

std::vector<questionnaire> answersWith(version_number number)
{
    auto slots = sampleAnswers("slots");
    slots.owner = "team " + std::to_string(number);
    return { sampleAnswers("bookings"), slots };
}

distribution_peers peersOf(std::string const& address)
{
    distribution_peers peers;
    peers.isRelay = address != "a3";
    for (auto const* other : addresses) {
        if (other != address && other != std::string("a3"))
            peers.relays.emplace_back(other);
        if (other != address && peers.isRelay)
            peers.subscribers.emplace_back(other);
    }
    return peers;
}

class RestoredPlatformTest : public testing::Test {
protected:
    RestoredPlatformTest()
    {
        simulation.settings.initialPeerWait = milliseconds(500);
        for (auto const* address : addresses)
            simulation.start(address, peersOf(address));
    }

    version_number commit(std::optional<version_number> version = {})
    {
        m_newest = version.value_or(m_newest + 1);
        return simulation.commit(answersWith(m_newest), m_newest);
    }

    distribution_simulation simulation { 1 };

private:
    version_number m_newest { 0 };
};

} // namespace

TEST_F(RestoredPlatformTest, AppliesAVersionThatReusesARevision)
{
    commit();
    auto const copy = simulation.copyPlatform();
    commit();
    commit();
    simulation.run(seconds(1));
    ASSERT_TRUE(simulation.allApplied(3));
    simulation.restorePlatform(copy);
    simulation.run(seconds(1));
    EXPECT_TRUE(simulation.allApplied(3)) << "a daemon went back to the version of the copy";
    commit(3);
    // This write gets the revision that version 3 had before the restore.
    commit(4);
    simulation.run(milliseconds(500));
    EXPECT_TRUE(simulation.allApplied(4));
}

TEST_F(RestoredPlatformTest, IgnoresAnAnswerOfTheFormerEra)
{
    commit();
    simulation.run(seconds(1));
    auto const copy = simulation.copyPlatform();
    simulation.restorePlatform(copy);
    simulation.run(seconds(1));
    auto late = copy.objects.at(headKey);
    late.era = 1;
    late.revision = 50;
    generator source(1);
    simulation.at("a1").didWatchPlatform(std::optional(late), simulation.now, source);
    commit();
    simulation.run(milliseconds(500));
    EXPECT_TRUE(simulation.allApplied(2));
}

TEST_F(RestoredPlatformTest, ADaemonThatStartsAppliesTheVersionOfItsPeersFirst)
{
    commit();
    auto const copy = simulation.copyPlatform();
    commit();
    simulation.run(seconds(1));
    simulation.restorePlatform(copy);
    for (auto const* address : { "a1", "a3" }) {
        simulation.start(address, peersOf(address));
        simulation.run(seconds(1));
        EXPECT_EQ(simulation.applied[address], std::vector<version_number> { 2 }) << address;
    }
}

TEST_F(RestoredPlatformTest, ADaemonWithoutContactAppliesThePlatformsVersionAfterTheWait)
{
    commit();
    simulation.run(seconds(1));
    simulation.isLinkDown = [](auto&, auto&) {
        return true;
    };
    auto& alone = simulation.start("a1", peersOf("a1"));
    simulation.run(milliseconds(450));
    EXPECT_EQ(alone.store().applied()->version(), 0u);
    simulation.run(milliseconds(150));
    EXPECT_EQ(alone.store().applied()->version(), 1u);
}

} // namespace merlinpier
