#include <LibNet/accepted_links.h>
#include <LibNet/recent_messages.h>
#include <gtest/gtest.h>

namespace merlinpier {

namespace {

using actions = std::vector<accepted_link_action>;

constexpr link_settings settings { .pingPeriod = milliseconds(500), .silenceTimeout = milliseconds(1000) };
constexpr connection_id connection = 7;
constexpr milliseconds tickPeriod { 100 };

time_point at(int ms) { return time_point(seconds(1000)) + milliseconds(ms); }

// Ticks from the first time to the last, both included, and returns all actions.
actions tickBetween(accepted_links& links, int firstMs, int lastMs)
{
    actions all;
    for (int ms = firstMs; ms <= lastMs; ms += static_cast<int>(tickPeriod.count())) {
        auto const taken = links.tick(at(ms));
        all.insert(all.end(), taken.begin(), taken.end());
    }
    return all;
}

} // namespace

TEST(AcceptedLinks, PingsAndThenClosesAConnectionThatStaysSilent)
{
    accepted_links links(settings);
    links.tick(at(0));
    links.didSend(connection, at(0));
    EXPECT_EQ(tickBetween(links, 100, 400), actions {});
    EXPECT_EQ(tickBetween(links, 500, 900), (actions { send_ping { connection, 1 } }));
    EXPECT_EQ(tickBetween(links, 1000, 2000), (actions { close_connection { connection } }));
}

TEST(AcceptedLinks, LeavesConnectionsAloneThatAnswerOrCarryNothing)
{
    accepted_links links(settings);
    EXPECT_EQ(tickBetween(links, 0, 3000), actions {});
    links.didSend(connection, at(3000));
    links.didReceive(connection);
    EXPECT_EQ(tickBetween(links, 3100, 6000), actions {});
}

TEST(AcceptedLinks, CountsSilenceFromTheFirstUnansweredMessage)
{
    accepted_links links(settings);
    links.tick(at(0));
    links.didSend(connection, at(0));
    tickBetween(links, 100, 900);
    links.didSend(connection, at(900));
    EXPECT_EQ(tickBetween(links, 1000, 1000), (actions { close_connection { connection } }));
}

// Guards against taking all peers for silent after this process was paused.
TEST(AcceptedLinks, DoesNotCountTimeInWhichItWasNotTicked)
{
    accepted_links links(settings);
    links.tick(at(0));
    links.didSend(connection, at(0));
    auto const afterPause = links.tick(at(5000));
    EXPECT_EQ(afterPause, (actions { send_ping { connection, 1 } }));
    links.didReceive(connection);
    EXPECT_EQ(tickBetween(links, 5100, 8000), actions {});
}

TEST(RecentMessages, ReturnsWhatIsNotOlderThanTheRetentionOnce)
{
    recent_messages recent(milliseconds(1000), 100);
    recent.didSend(connection, "old", at(0));
    recent.didSend(connection, "first", at(500));
    recent.didSend(connection, "second", at(1200));
    EXPECT_EQ(recent.take(connection, at(1400)), (std::vector<std::string> { "first", "second" }));
    EXPECT_EQ(recent.take(connection, at(1400)), std::vector<std::string> {});
}

TEST(RecentMessages, KeepsNoMoreThanTheMaximumSize)
{
    recent_messages recent(milliseconds(1000), 10);
    recent.didSend(connection, "123456", at(0));
    recent.didSend(connection, "abcdef", at(10));
    EXPECT_EQ(recent.take(connection, at(20)), (std::vector<std::string> { "abcdef" }));
    recent.didSend(connection, std::string(11, 'x'), at(30));
    EXPECT_EQ(recent.take(connection, at(40)), std::vector<std::string> {});
}

} // namespace merlinpier
