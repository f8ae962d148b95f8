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
        m_simulation.settings.initialPeerWait = milliseconds(500);
        for (auto const* address : addresses)
            m_simulation.start(address, peersOf(address));
    }

    version_number commit(std::optional<version_number> version = {})
    {
        m_newest = version.value_or(m_newest + 1);
        return m_simulation.commit(answersWith(m_newest), m_newest);
    }

    distribution_simulation m_simulation { 1 };

private:
    version_number m_newest { 0 };
};

} // namespace

TEST_F(RestoredPlatformTest, AppliesAVersionThatReusesARevision)
{
    commit();
    auto const copy = m_simulation.copyPlatform();
    commit();
    commit();
    m_simulation.run(seconds(1));
    ASSERT_TRUE(m_simulation.allApplied(3));
    m_simulation.restorePlatform(copy);
    m_simulation.run(seconds(1));
    EXPECT_TRUE(m_simulation.allApplied(3)) << "a daemon went back to the version of the copy";
    commit(3);
    // This write gets the revision that version 3 had before the restore.
    commit(4);
    m_simulation.run(milliseconds(500));
    EXPECT_TRUE(m_simulation.allApplied(4));
}

TEST_F(RestoredPlatformTest, IgnoresAnAnswerOfTheFormerEra)
{
    commit();
    m_simulation.run(seconds(1));
    auto const copy = m_simulation.copyPlatform();
    m_simulation.restorePlatform(copy);
    m_simulation.run(seconds(1));
    auto late = copy.objects.at(headKey);
    late.era = 1;
    late.revision = 50;
    generator source(1);
    m_simulation.at("a1").didWatchPlatform(std::optional(late), m_simulation.now, source);
    commit();
    m_simulation.run(milliseconds(500));
    EXPECT_TRUE(m_simulation.allApplied(2));
}

TEST_F(RestoredPlatformTest, ADaemonThatStartsAppliesTheVersionOfItsPeersFirst)
{
    commit();
    auto const copy = m_simulation.copyPlatform();
    commit();
    m_simulation.run(seconds(1));
    m_simulation.restorePlatform(copy);
    for (auto const* address : { "a1", "a3" }) {
        m_simulation.start(address, peersOf(address));
        m_simulation.run(seconds(1));
        EXPECT_EQ(m_simulation.applied[address], std::vector<version_number> { 2 }) << address;
    }
}

TEST_F(RestoredPlatformTest, ADaemonWithoutContactAppliesThePlatformsVersionAfterTheWait)
{
    commit();
    m_simulation.run(seconds(1));
    m_simulation.isLinkDown = [](auto&, auto&) {
        return true;
    };
    auto& alone = m_simulation.start("a1", peersOf("a1"));
    m_simulation.run(milliseconds(450));
    EXPECT_EQ(alone.store().applied()->version(), 0u);
    m_simulation.run(milliseconds(150));
    EXPECT_EQ(alone.store().applied()->version(), 1u);
}

} // namespace merlinpier
