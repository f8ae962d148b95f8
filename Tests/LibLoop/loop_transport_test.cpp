#include <Tests/LibLoop/loop_fixture.h>

#include <LibLoop/loop_transport.h>
#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace merlinpier {

namespace {

// Letters that hardly compress.
std::string drawBytes(std::size_t count, unsigned seed)
{
    std::mt19937 random(seed);
    std::string bytes(count, '\0');
    std::generate(bytes.begin(), bytes.end(), [&] { return static_cast<char>(random()); });
    return bytes;
}

class keeping_listener final : public transport_listener {
public:
    void didAccept(connection_id id, endpoint const&) override { accepted.push_back(id); }
    void didConnect(connection_id id) override { connected.push_back(id); }
    void didReceiveFrame(connection_id, std::string frame) override { frames.push_back(std::move(frame)); }
    void didReceivePart(connection_id) override
    {
        ++parts;
        if (auto const action = std::exchange(atNextPart, nullptr))
            action();
    }
    void didReceiveBytes(connection_id) override { ++pieces; }
    void didClose(connection_id id, error) override { closed.push_back(id); }

    std::vector<connection_id> accepted;
    std::vector<connection_id> connected;
    std::vector<connection_id> closed;
    std::vector<std::string> frames;
    int parts { 0 };
    // Called once, with the next part.
    std::function<void()> atNextPart;
    // Times that bytes came without a whole frame or part.
    int pieces { 0 };
};

// A daemon that opens a connection and one that answers on it.
class LoopTransportTest : public testing::Test {
protected:
    void SetUp() override
    {
        auto const settings = transport_settings { .listenOn = { "127.0.0.1", 0 } };
        m_target = loop_transport::tryCreate(*m_loop, settings, m_targetEvents).releaseValue();
        m_origin = loop_transport::tryCreate(*m_loop, settings, m_originEvents).releaseValue();
        m_origin->connect({ "127.0.0.1", m_target->port() });
        ASSERT_TRUE(fixture::runUntil(
            *m_loop, [&] { return !m_targetEvents.accepted.empty() && !m_originEvents.connected.empty(); }));
    }

    connection_id accepted() const { return m_targetEvents.accepted.front(); }
    bool waitForFrames(std::size_t count)
    {
        return fixture::runUntil(*m_loop, [&] { return m_originEvents.frames.size() >= count; });
    }

    std::unique_ptr<event_loop> m_loop { fixture::makeLoop() };
    keeping_listener m_targetEvents;
    keeping_listener m_originEvents;
    std::unique_ptr<transport> m_target;
    std::unique_ptr<transport> m_origin;
};

} // namespace

// Guards against a peer that counts as silent while a large frame of its arrives over a slow link: pings wait behind
// it.
TEST_F(LoopTransportTest, ReportsBytesOfAFrameThatIsNotWhole)
{
    int slowPieces = 0;
    {
        fixture::plain_listener listener;
        auto const id = m_origin->connect({ "127.0.0.1", listener.port() });
        auto peer = listener.accept();
        ASSERT_TRUE(fixture::runUntil(*m_loop, [&] { return m_originEvents.connected.back() == id; }));
        // The prefix of a frame of 100,000 bytes, and its first bytes, a few at a time.
        EXPECT_TRUE(peer.send(std::string({ '\xa0', '\x86', '\x01', '\0' })));
        for (int i = 1; i <= 5 && slowPieces == i - 1; ++i) {
            EXPECT_TRUE(peer.send(std::string(10, 'x')));
            slowPieces += fixture::runUntil(*m_loop, [&] { return m_originEvents.pieces >= i; }) ? 1 : 0;
        }
    }
    EXPECT_EQ(slowPieces, 5);
    EXPECT_TRUE(m_originEvents.frames.empty());
}

// Guards against small frames that wait for large ones, and against histories of the compression that differ after
// frames have overtaken each other.
TEST_F(LoopTransportTest, SmallFramesOvertakeTheLargeOnesBeforeThem)
{
    m_target->allowParts(accepted());
    auto const large = drawBytes(2000000, 1);
    auto const larger = drawBytes(2500000, 2);
    m_target->sendBulk(accepted(), larger, { "a", currentTime() + seconds(20) });
    m_target->sendBulk(accepted(), large, { "b", currentTime() + seconds(10) });
    std::vector<std::string> small;
    for (unsigned i = 0; i < 20; ++i) {
        small.push_back("answer number " + std::to_string(i) + " of the same kind as those before it");
        m_target->send(accepted(), small.back());
    }
    EXPECT_GT(m_target->totals().bulkBytesWaiting, 4000000U);
    ASSERT_TRUE(waitForFrames(small.size() + 2));
    auto const& frames = m_originEvents.frames;
    EXPECT_TRUE(std::equal(small.begin(), small.end(), frames.begin()));
    EXPECT_EQ(frames[small.size()], large);
    EXPECT_EQ(frames[small.size() + 1], larger);
    EXPECT_GT(m_originEvents.parts, 200);
    EXPECT_EQ(m_target->totals().bulkBytesWaiting, 0U);
    EXPECT_GT(m_target->totals().bulkBytesSent, 4500000U);
}

// Guards against parts that are sent to a daemon of an earlier release.
TEST_F(LoopTransportTest, SendsWholeFramesToAPeerThatTakesNoParts)
{
    auto const large = drawBytes(300000, 1);
    m_target->sendBulk(accepted(), large, { "a", currentTime() + seconds(10) });
    m_target->send(accepted(), "small");
    ASSERT_TRUE(waitForFrames(2));
    EXPECT_EQ(m_originEvents.frames, (std::vector<std::string> { large, "small" }));
    EXPECT_EQ(m_originEvents.parts, 0);
    EXPECT_EQ(m_target->totals().partsSent, 0U);
}

// Guards against a frame that was cut off and is handed on nevertheless, and against one that is sent to its end
// although nobody waits for it.
TEST_F(LoopTransportTest, HandsOnNothingOfAFrameThatIsWithdrawn)
{
    m_target->allowParts(accepted());
    m_target->sendBulk(accepted(), drawBytes(3500000, 1), { "withdrawn", currentTime() + seconds(10) });
    m_originEvents.atNextPart = [&] {
        EXPECT_GT(m_target->totals().bulkBytesWaiting, 0U) << "the frame has been sent whole";
        m_target->withdraw(accepted(), "withdrawn");
    };
    ASSERT_TRUE(fixture::runUntil(*m_loop, [&] { return m_originEvents.parts > 0; }));
    EXPECT_EQ(m_target->totals().bulkBytesWaiting, 0U);
    m_target->send(accepted(), "after it");
    auto const next = drawBytes(100000, 2);
    m_target->sendBulk(accepted(), next, { "next", currentTime() + seconds(10) });
    ASSERT_TRUE(waitForFrames(2));
    EXPECT_EQ(m_originEvents.frames, (std::vector<std::string> { "after it", next }));
}

TEST_F(LoopTransportTest, HandsOnNothingOfAFrameWhoseConnectionIsLost)
{
    m_target->allowParts(accepted());
    m_target->sendBulk(accepted(), drawBytes(3500000, 1), { "cut", currentTime() + seconds(10) });
    m_originEvents.atNextPart = [&] {
        EXPECT_GT(m_target->totals().bulkBytesWaiting, 0U) << "the frame has been sent whole";
        m_target->close(accepted());
    };
    ASSERT_TRUE(fixture::runUntil(*m_loop, [&] { return !m_originEvents.closed.empty(); }));
    EXPECT_TRUE(m_originEvents.frames.empty());
    EXPECT_EQ(m_target->totals().bulkBytesWaiting, 0U);
}

} // namespace merlinpier
