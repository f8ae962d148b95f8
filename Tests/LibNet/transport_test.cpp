#include "recording_listener.h"

#include <LibNet/frame_reader.h>
#include <LibNet/socket.h>
#include <LibNet/transport.h>
#include <algorithm>
#include <atomic>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <thread>

namespace merlinpier {

namespace {

std::unique_ptr<transport> create(transport_listener& listener, transport_settings settings = {})
{
    if (settings.listenOn.address.empty())
        settings.listenOn.address = "127.0.0.1";
    auto created = transport::tryCreate(settings, listener);
    return created.isError() ? nullptr : created.releaseValue();
}

// Opens a plain blocking connection, to send what a transport never would.
descriptor connectPlainly(std::uint16_t port)
{
    auto socket = beginConnect({ "127.0.0.1", port }, "127.0.0.1").releaseValue();
    sockaddr_storage peer {};
    socklen_t size = sizeof(peer);
    while (getpeername(socket.number(), reinterpret_cast<sockaddr*>(&peer), &size) != 0)
        std::this_thread::yield();
    return socket;
}

class TransportTest : public testing::Test {
protected:
    void SetUp() override
    {
        m_client = create(m_clientEvents);
        m_server = create(m_serverEvents, serverSettings());
        ASSERT_TRUE(m_client && m_server);
    }
    void TearDown() override
    {
        m_client->stop();
        m_server->stop();
    }
    virtual transport_settings serverSettings() const { return {}; }

    endpoint serverEndpoint() const { return { "127.0.0.1", m_server->port() }; }

    recording_listener m_clientEvents;
    recording_listener m_serverEvents;
    std::unique_ptr<transport> m_client;
    std::unique_ptr<transport> m_server;
};

class SmallTransportTest : public TransportTest {
protected:
    transport_settings serverSettings() const override
    {
        return { .maximumFrameBytes = 100, .maximumUnsentBytes = 1000000, .maximumConnections = 2 };
    }
};

} // namespace

TEST_F(TransportTest, CarriesFramesBothWaysInOrder)
{
    auto const id = m_client->connect(serverEndpoint());
    std::vector<std::string> sent;
    for (int i = 0; i < 300; ++i)
        sent.push_back(std::string(static_cast<std::size_t>(i * 37), static_cast<char>(i)));
    for (auto const& frame : sent)
        m_client->send(id, frame);
    auto const accepted = m_serverEvents.waitForAccepted().first;
    EXPECT_EQ(m_serverEvents.waitForFrames(accepted, sent.size()), sent);
    for (auto const& frame : sent)
        m_server->send(accepted, frame);
    EXPECT_EQ(m_clientEvents.waitForFrames(id, sent.size()), sent);
    EXPECT_EQ(m_client->totals().bytesSent, m_server->totals().bytesReceived);
}

TEST_F(TransportTest, CarriesFramesLargerThanTheSocketsTake)
{
    auto const id = m_client->connect(serverEndpoint());
    m_clientEvents.waitForConnected(id);
    std::string const large(3 * 1024 * 1024, 'x');
    for (int i = 0; i < 4; ++i)
        m_client->send(id, large);
    auto const accepted = m_serverEvents.waitForAccepted().first;
    EXPECT_EQ(m_serverEvents.waitForFrames(accepted, 4), std::vector<std::string>(4, large));
    for (int i = 0; i < 4; ++i)
        m_server->send(accepted, large);
    EXPECT_EQ(m_clientEvents.waitForFrames(id, 4), std::vector<std::string>(4, large));
}

TEST_F(TransportTest, KeepsFramesOfManyThreadsWhole)
{
    auto const id = m_client->connect(serverEndpoint());
    std::vector<std::thread> threads;
    for (char letter = 'a'; letter < 'e'; ++letter) {
        threads.emplace_back([&, letter] {
            for (int i = 0; i < 500; ++i)
                m_client->send(id, std::string(1000, letter));
        });
    }
    for (auto& thread : threads)
        thread.join();
    auto const accepted = m_serverEvents.waitForAccepted().first;
    for (auto const& frame : m_serverEvents.waitForFrames(accepted, 2000))
        ASSERT_EQ(frame, std::string(1000, frame.front()));
}

TEST_F(TransportTest, ConnectsFromTheAddressThatItListensOn)
{
    recording_listener events;
    auto const other = create(events, { .listenOn = { "127.0.0.9", 0 } });
    ASSERT_TRUE(other);
    other->connect(serverEndpoint());
    EXPECT_EQ(m_serverEvents.waitForAccepted().second.address, "127.0.0.9");
    other->stop();
}

TEST_F(TransportTest, TellsWhenNobodyListens)
{
    auto const port = m_server->port();
    m_server->stop();
    m_server.reset();
    m_server = create(m_serverEvents);
    auto const id = m_client->connect({ "127.0.0.8", port });
    EXPECT_EQ(m_clientEvents.waitForClosed(id).kind, error_kind::Unavailable);
}

TEST_F(TransportTest, TellsBothSidesOfAClose)
{
    auto const id = m_client->connect(serverEndpoint());
    m_clientEvents.waitForConnected(id);
    auto const accepted = m_serverEvents.waitForAccepted().first;
    m_client->close(id);
    EXPECT_EQ(m_clientEvents.waitForClosed(id).kind, error_kind::Unavailable);
    EXPECT_EQ(m_serverEvents.waitForClosed(accepted).kind, error_kind::Unavailable);
    m_server->send(accepted, "into nothing");
    EXPECT_EQ(m_server->totals().connectionsOpen, 0U);
}

// The fence rests on this: what lies unread in the buffers of a closed connection is never delivered.
TEST_F(TransportTest, DeliversNoFrameAfterClose)
{
    m_serverEvents.setOnFrame([this](connection_id id) { m_server->close(id); });
    auto const id = m_client->connect(serverEndpoint());
    for (int i = 0; i < 100; ++i)
        m_client->send(id, "frame");
    auto const accepted = m_serverEvents.waitForAccepted().first;
    m_serverEvents.waitForClosed(accepted);
    EXPECT_EQ(m_serverEvents.frameCount(accepted), 1U);
}

TEST_F(SmallTransportTest, ClosesAConnectionThatAnnouncesTooLargeAFrame)
{
    auto const socket = connectPlainly(m_server->port());
    std::string const bytes = framePrefix(2) + "ok" + framePrefix(101);
    ASSERT_EQ(::send(socket.number(), bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    auto const accepted = m_serverEvents.waitForAccepted().first;
    EXPECT_EQ(m_serverEvents.waitForClosed(accepted).kind, error_kind::Corrupt);
    EXPECT_EQ(m_serverEvents.frameCount(accepted), 1U);
}

TEST_F(SmallTransportTest, RefusesToSendTooLargeAFrame)
{
    m_client->connect(serverEndpoint());
    auto const accepted = m_serverEvents.waitForAccepted().first;
    m_server->send(accepted, std::string(101, 'x'));
    EXPECT_EQ(m_serverEvents.waitForClosed(accepted).kind, error_kind::BadInput);
}

TEST_F(SmallTransportTest, ClosesAConnectionWhoseOtherSideDoesNotRead)
{
    auto const socket = connectPlainly(m_server->port());
    auto const accepted = m_serverEvents.waitForAccepted().first;
    std::atomic<bool> isClosed = false;
    std::thread waiter([&] {
        EXPECT_EQ(m_serverEvents.waitForClosed(accepted).kind, error_kind::Unavailable);
        isClosed = true;
    });
    while (!isClosed)
        m_server->send(accepted, std::string(100, 'x'));
    waiter.join();
}

TEST_F(SmallTransportTest, RefusesConnectionsAboveItsLimit)
{
    auto const first = m_client->connect(serverEndpoint());
    auto const second = m_client->connect(serverEndpoint());
    m_serverEvents.waitForAccepted(1);
    auto const third = m_client->connect(serverEndpoint());
    m_clientEvents.waitForClosed(third);
    EXPECT_EQ(m_server->totals().connectionsAccepted, 2U);
    m_client->close(first);
    m_serverEvents.waitForClosed(m_serverEvents.waitForAccepted(0).first);
    m_client->connect(serverEndpoint());
    m_serverEvents.waitForAccepted(2);
    m_client->close(second);
}

TEST_F(TransportTest, RefusesAnAddressInUse)
{
    auto const another = transport::tryCreate({ .listenOn = serverEndpoint() }, m_serverEvents);
    ASSERT_TRUE(another.isError());
    EXPECT_EQ(another.failure().kind, error_kind::Unavailable);
}

TEST_F(TransportTest, DoesNothingAfterStop)
{
    auto const id = m_client->connect(serverEndpoint());
    m_clientEvents.waitForConnected(id);
    m_client->stop();
    m_client->send(id, "late");
    m_client->close(id);
    m_client->connect(serverEndpoint());
    m_serverEvents.waitForClosed(m_serverEvents.waitForAccepted().first);
    EXPECT_EQ(m_client->totals().connectionsOpen, 0U);
}

TEST(FrameReader, CutsFramesHoweverTheBytesArrive)
{
    std::string const stream = framePrefix(3) + "abc" + framePrefix(0) + framePrefix(2) + "de";
    for (std::size_t step = 1; step <= stream.size(); ++step) {
        frame_reader reader(10);
        std::vector<std::string> frames;
        for (std::size_t i = 0; i < stream.size(); i += step) {
            std::string const piece = stream.substr(i, step);
            reader.append(piece.data(), piece.size());
            while (auto frame = reader.next())
                frames.push_back(*frame);
        }
        EXPECT_EQ(frames, (std::vector<std::string> { "abc", "", "de" }));
    }
}

} // namespace merlinpier
