#include <LibNet/link_table.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

using actions = std::vector<link_action>;

std::string const peer = "127.0.0.2:7000";
constexpr std::uint64_t firstInstance = 77;
constexpr std::uint64_t secondInstance = 88;

// Plays the owner of a table and the peer, with times in milliseconds.
class LinkTableTest : public testing::Test {
protected:
    time_point at(int ms) const { return m_start + milliseconds(ms); }

    // Opens a connection for the generation and lets the peer answer its hello.
    actions makeReady(std::uint64_t generation, connection_id connection, std::uint64_t instance, int ms)
    {
        m_table.didOpen(peer, generation, connection, at(ms));
        return m_table.didReceiveHelloAnswer(connection, { "vm", instance, generation }, at(ms));
    }

    // Ticks every 20 ms up to and including the time; returns all actions but pings.
    actions tickUntil(int ms)
    {
        actions all;
        for (; m_tickedMs <= ms; m_tickedMs += 20) {
            for (auto const& action : m_table.tick(at(m_tickedMs))) {
                if (std::holds_alternative<send_ping>(action))
                    ++m_pings;
                else
                    all.push_back(action);
            }
        }
        return all;
    }

    link_table m_table { link_settings {} };
    int m_pings { 0 };

private:
    time_point m_start { seconds(1000) };
    int m_tickedMs { 0 };
};

} // namespace

TEST_F(LinkTableTest, OpensOneLinkAndTellsWhenItIsReady)
{
    EXPECT_EQ(m_table.require(peer, at(0)), (actions { open_connection { peer, 1 } }));
    EXPECT_EQ(m_table.require(peer, at(0)), actions {});
    EXPECT_EQ(m_table.current(peer), std::nullopt);
    link_ready const ready { peer, 10, 1, firstInstance };
    EXPECT_EQ(makeReady(1, 10, firstInstance, 5), (actions { ready }));
    EXPECT_EQ(m_table.current(peer), ready);
    EXPECT_EQ(m_table.require(peer, at(6)), actions {});
}

TEST_F(LinkTableTest, LeavesAQuietLinkAloneWhenNothingIsOutstanding)
{
    m_table.require(peer, at(0));
    makeReady(1, 10, firstInstance, 0);
    EXPECT_EQ(tickUntil(60000), actions {});
    EXPECT_EQ(m_pings, 0);
}

TEST_F(LinkTableTest, KeepsALinkWhosePeerAnswersPings)
{
    m_table.require(peer, at(0));
    makeReady(1, 10, firstInstance, 0);
    m_table.setOutstanding(peer, 1, at(0));
    for (int ms = 100; ms <= 3000; ms += 100) {
        EXPECT_EQ(tickUntil(ms), actions {});
        m_table.didReceive(10, at(ms));
    }
    EXPECT_GE(m_pings, 25);
}

TEST_F(LinkTableTest, ReplacesASilentLinkAndAsksAboutItsCalls)
{
    m_table.require(peer, at(0));
    makeReady(1, 10, firstInstance, 0);
    m_table.setOutstanding(peer, 2, at(0));
    EXPECT_EQ(tickUntil(280), actions {});
    EXPECT_GE(m_pings, 2);
    EXPECT_EQ(tickUntil(300), (actions { open_connection { peer, 2 } }));
    EXPECT_EQ(m_table.current(peer), std::nullopt);
    EXPECT_EQ(makeReady(2, 11, firstInstance, 310),
        (actions { link_lost { peer, 1 }, link_ready { peer, 11, 2, firstInstance }, close_connection { 10 } }));
    // What arrives late on the closed connection counts for nothing.
    m_table.didReceive(10, at(320));
    EXPECT_EQ(m_table.didClose(10, at(330)), actions {});
    EXPECT_EQ(m_table.current(peer)->generation, 2U);
}

// Frames of ours arrive and the peer's do not: from here this looks like silence both ways.
TEST_F(LinkTableTest, ReplacesALinkThatIsSilentInOneDirection)
{
    m_table.require(peer, at(0));
    makeReady(1, 10, firstInstance, 0);
    m_table.setOutstanding(peer, 1, at(0));
    tickUntil(100);
    m_table.didReceive(10, at(100));
    EXPECT_EQ(tickUntil(380), actions {});
    EXPECT_EQ(tickUntil(400), (actions { open_connection { peer, 2 } }));
}

TEST_F(LinkTableTest, CountsSilenceFromWhenSomethingIsOutstanding)
{
    m_table.require(peer, at(0));
    makeReady(1, 10, firstInstance, 0);
    tickUntil(5000);
    m_table.setOutstanding(peer, 1, at(5000));
    EXPECT_EQ(tickUntil(5280), actions {});
    EXPECT_EQ(tickUntil(5300), (actions { open_connection { peer, 2 } }));
}

TEST_F(LinkTableTest, FindsSilenceUnderFramesThatAreNoCalls)
{
    m_table.require(peer, at(0));
    makeReady(1, 10, firstInstance, 0);
    tickUntil(1000);
    m_table.didSend(peer, at(1000));
    m_table.didReceive(10, at(1001));
    EXPECT_EQ(tickUntil(2000), actions {});
    EXPECT_EQ(m_pings, 0);
    m_table.didSend(peer, at(2000));
    m_table.didSend(peer, at(2200));
    EXPECT_EQ(tickUntil(2300), (actions { open_connection { peer, 2 } }));
}

// A process that stood still has not listened, so it may not blame the peer.
TEST_F(LinkTableTest, DoesNotTakeItsOwnPauseForSilence)
{
    m_table.require(peer, at(0));
    makeReady(1, 10, firstInstance, 0);
    m_table.setOutstanding(peer, 1, at(0));
    tickUntil(100);
    auto const afterPause = m_table.tick(at(2000));
    ASSERT_EQ(afterPause.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<send_ping>(afterPause.front()));
    m_table.didReceive(10, at(2001));
    EXPECT_EQ(m_table.current(peer)->generation, 1U);
}

TEST_F(LinkTableTest, GivesUpAConnectThatNeverCompletes)
{
    m_table.require(peer, at(0));
    m_table.didOpen(peer, 1, 10, at(0));
    EXPECT_EQ(tickUntil(480), actions {});
    EXPECT_EQ(tickUntil(500), (actions { close_connection { 10 }, link_unreachable { peer } }));
}

TEST_F(LinkTableTest, GivesUpASilentLinkWithItsReplacement)
{
    m_table.require(peer, at(0));
    makeReady(1, 10, firstInstance, 0);
    m_table.setOutstanding(peer, 1, at(0));
    tickUntil(300);
    m_table.didOpen(peer, 2, 11, at(300));
    EXPECT_EQ(m_table.didClose(11, at(310)),
        (actions { link_lost { peer, 1 }, close_connection { 10 }, link_unreachable { peer } }));
    EXPECT_EQ(m_table.current(peer), std::nullopt);
}

TEST_F(LinkTableTest, IgnoresALateHelloAnswer)
{
    m_table.require(peer, at(0));
    m_table.didOpen(peer, 1, 10, at(0));
    tickUntil(500);
    EXPECT_EQ(m_table.didReceiveHelloAnswer(10, { "vm", firstInstance, 1 }, at(510)), actions {});
    EXPECT_EQ(m_table.current(peer), std::nullopt);
    EXPECT_EQ(m_table.require(peer, at(700)), (actions { open_connection { peer, 2 } }));
    EXPECT_EQ(m_table.didReceiveHelloAnswer(10, { "vm", firstInstance, 1 }, at(710)), actions {});
    EXPECT_EQ(makeReady(2, 11, firstInstance, 720), (actions { link_ready { peer, 11, 2, firstInstance } }));
}

TEST_F(LinkTableTest, RefusesAHelloAnswerForAnotherGeneration)
{
    m_table.require(peer, at(0));
    m_table.didOpen(peer, 1, 10, at(0));
    EXPECT_EQ(m_table.didReceiveHelloAnswer(10, { "vm", firstInstance, 5 }, at(1)),
        (actions { close_connection { 10 }, link_unreachable { peer } }));
}

TEST_F(LinkTableTest, RaisesTheGenerationAcrossARestartOfThePeer)
{
    m_table.require(peer, at(0));
    makeReady(1, 10, firstInstance, 0);
    m_table.setOutstanding(peer, 1, at(0));
    EXPECT_EQ(m_table.didClose(10, at(50)), (actions { link_lost { peer, 1 }, open_connection { peer, 2 } }));
    EXPECT_EQ(makeReady(2, 11, secondInstance, 60), (actions { link_ready { peer, 11, 2, secondInstance } }));
}

TEST_F(LinkTableTest, ReopensAResetLinkOnlyWhenItIsNeeded)
{
    m_table.require(peer, at(0));
    makeReady(1, 10, firstInstance, 0);
    EXPECT_EQ(m_table.didClose(10, at(50)), (actions { link_lost { peer, 1 } }));
    EXPECT_EQ(tickUntil(1000), actions {});
    EXPECT_EQ(m_table.require(peer, at(1000)), (actions { open_connection { peer, 2 } }));
}

TEST_F(LinkTableTest, FailsFastAfterAFailureAndTriesAgainLater)
{
    m_table.require(peer, at(0));
    m_table.didOpen(peer, 1, 10, at(0));
    EXPECT_EQ(m_table.didClose(10, at(1)), (actions { link_unreachable { peer } }));
    EXPECT_EQ(m_table.require(peer, at(50)), (actions { link_unreachable { peer } }));
    EXPECT_EQ(m_table.require(peer, at(101)), (actions { open_connection { peer, 2 } }));
    m_table.didOpen(peer, 2, 11, at(101));
    EXPECT_EQ(m_table.didClose(11, at(102)), (actions { link_unreachable { peer } }));
    EXPECT_EQ(m_table.require(peer, at(150)), (actions { link_unreachable { peer } }));
    EXPECT_EQ(m_table.require(peer, at(202)), (actions { open_connection { peer, 3 } }));
}

TEST_F(LinkTableTest, TriesAgainByItselfWhileCallsAreOutstanding)
{
    m_table.require(peer, at(0));
    makeReady(1, 10, firstInstance, 0);
    tickUntil(20);
    m_table.setOutstanding(peer, 1, at(20));
    m_table.didClose(10, at(30));
    m_table.didOpen(peer, 2, 11, at(30));
    EXPECT_EQ(m_table.didClose(11, at(31)), (actions { link_unreachable { peer } }));
    EXPECT_EQ(tickUntil(120), actions {});
    EXPECT_EQ(tickUntil(140), (actions { open_connection { peer, 3 } }));
}

TEST_F(LinkTableTest, FindsASecondSilenceRightAfterTheFirst)
{
    m_table.require(peer, at(0));
    makeReady(1, 10, firstInstance, 0);
    m_table.setOutstanding(peer, 1, at(0));
    tickUntil(300);
    makeReady(2, 11, firstInstance, 310);
    EXPECT_EQ(tickUntil(600), actions {});
    EXPECT_EQ(tickUntil(620), (actions { open_connection { peer, 3 } }));
    EXPECT_EQ(makeReady(3, 12, firstInstance, 625),
        (actions { link_lost { peer, 2 }, link_ready { peer, 12, 3, firstInstance }, close_connection { 11 } }));
}

TEST_F(LinkTableTest, ReplacesALinkThatItsOwnerTakesForSilent)
{
    EXPECT_EQ(m_table.replace(peer, at(0)), actions {});
    m_table.require(peer, at(0));
    makeReady(1, 10, firstInstance, 5);
    EXPECT_EQ(m_table.replace(peer, at(10)), (actions { open_connection { peer, 2 } }));
    EXPECT_EQ(m_table.current(peer), std::nullopt);
    EXPECT_EQ(m_table.replace(peer, at(15)), actions {});
    EXPECT_EQ(makeReady(2, 11, firstInstance, 20),
        (actions { link_lost { peer, 1 }, link_ready { peer, 11, 2, firstInstance }, close_connection { 10 } }));
}

} // namespace merlinpier
