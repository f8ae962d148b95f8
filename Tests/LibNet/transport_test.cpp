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
        client = create(clientEvents);
        server = create(serverEvents, serverSettings());
        ASSERT_TRUE(client && server);
    }
    void TearDown() override
    {
        client->stop();
        server->stop();
    }
    virtual transport_settings serverSettings() const { return {}; }

    endpoint serverEndpoint() const { return { "127.0.0.1", server->port() }; }

    recording_listener clientEvents;
    recording_listener serverEvents;
    std::unique_ptr<transport> client;
    std::unique_ptr<transport> server;
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
    auto const id = client->connect(serverEndpoint());
    std::vector<std::string> sent;
    for (int i = 0; i < 300; ++i)
        sent.push_back(std::string(static_cast<std::size_t>(i * 37), static_cast<char>(i)));
    for (auto const& frame : sent)
        client->send(id, frame);
    auto const accepted = serverEvents.waitForAccepted().first;
    EXPECT_EQ(serverEvents.waitForFrames(accepted, sent.size()), sent);
    for (auto const& frame : sent)
        server->send(accepted, frame);
    EXPECT_EQ(clientEvents.waitForFrames(id, sent.size()), sent);
    EXPECT_EQ(client->totals().bytesSent, server->totals().bytesReceived);
}

TEST_F(TransportTest, CarriesFramesLargerThanTheSocketsTake)
{
    auto const id = client->connect(serverEndpoint());
    clientEvents.waitForConnected(id);
    std::string const large(3 * 1024 * 1024, 'x');
    for (int i = 0; i < 4; ++i)
        client->send(id, large);
    auto const accepted = serverEvents.waitForAccepted().first;
    EXPECT_EQ(serverEvents.waitForFrames(accepted, 4), std::vector<std::string>(4, large));
}

TEST_F(TransportTest, KeepsFramesOfManyThreadsWhole)
{
    auto const id = client->connect(serverEndpoint());
    std::vector<std::thread> threads;
    for (char letter = 'a'; letter < 'e'; ++letter) {
        threads.emplace_back([&, letter] {
            for (int i = 0; i < 500; ++i)
                client->send(id, std::string(1000, letter));
        });
    }
    for (auto& thread : threads)
        thread.join();
    auto const accepted = serverEvents.waitForAccepted().first;
    for (auto const& frame : serverEvents.waitForFrames(accepted, 2000))
        ASSERT_EQ(frame, std::string(1000, frame.front()));
}

TEST_F(TransportTest, ConnectsFromTheAddressThatItListensOn)
{
    recording_listener events;
    auto const other = create(events, { .listenOn = { "127.0.0.9", 0 } });
    ASSERT_TRUE(other);
    other->connect(serverEndpoint());
    EXPECT_EQ(serverEvents.waitForAccepted().second.address, "127.0.0.9");
    other->stop();
}

TEST_F(TransportTest, TellsWhenNobodyListens)
{
    auto const port = server->port();
    server->stop();
    server.reset();
    server = create(serverEvents);
    auto const id = client->connect({ "127.0.0.8", port });
    EXPECT_EQ(clientEvents.waitForClosed(id).kind, error_kind::Unavailable);
}

TEST_F(TransportTest, TellsBothSidesOfAClose)
{
    auto const id = client->connect(serverEndpoint());
    clientEvents.waitForConnected(id);
    auto const accepted = serverEvents.waitForAccepted().first;
    client->close(id);
    EXPECT_EQ(clientEvents.waitForClosed(id).kind, error_kind::Unavailable);
    EXPECT_EQ(serverEvents.waitForClosed(accepted).kind, error_kind::Unavailable);
    server->send(accepted, "into nothing");
    EXPECT_EQ(server->totals().connectionsOpen, 0U);
}

// The fence rests on this: what lies unread in the buffers of a closed connection is never delivered.
TEST_F(TransportTest, DeliversNoFrameAfterClose)
{
    serverEvents.setOnFrame([this](connection_id id) { server->close(id); });
    auto const id = client->connect(serverEndpoint());
    for (int i = 0; i < 100; ++i)
        client->send(id, "frame");
    auto const accepted = serverEvents.waitForAccepted().first;
    serverEvents.waitForClosed(accepted);
    EXPECT_EQ(serverEvents.frameCount(accepted), 1U);
}

TEST_F(SmallTransportTest, ClosesAConnectionThatAnnouncesTooLargeAFrame)
{
    auto const socket = connectPlainly(server->port());
    std::string const bytes = framePrefix(2) + "ok" + framePrefix(101);
    ASSERT_EQ(::send(socket.number(), bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    auto const accepted = serverEvents.waitForAccepted().first;
    EXPECT_EQ(serverEvents.waitForClosed(accepted).kind, error_kind::Corrupt);
    EXPECT_EQ(serverEvents.frameCount(accepted), 1U);
}

TEST_F(SmallTransportTest, RefusesToSendTooLargeAFrame)
{
    client->connect(serverEndpoint());
    auto const accepted = serverEvents.waitForAccepted().first;
    server->send(accepted, std::string(101, 'x'));
    EXPECT_EQ(serverEvents.waitForClosed(accepted).kind, error_kind::BadInput);
}

TEST_F(SmallTransportTest, ClosesAConnectionWhoseOtherSideDoesNotRead)
{
    auto const socket = connectPlainly(server->port());
    auto const accepted = serverEvents.waitForAccepted().first;
    std::atomic<bool> isClosed = false;
    std::thread waiter([&] {
        EXPECT_EQ(serverEvents.waitForClosed(accepted).kind, error_kind::Unavailable);
        isClosed = true;
    });
    while (!isClosed)
        server->send(accepted, std::string(100, 'x'));
    waiter.join();
}

TEST_F(SmallTransportTest, RefusesConnectionsAboveItsLimit)
{
    auto const first = client->connect(serverEndpoint());
    auto const second = client->connect(serverEndpoint());
    serverEvents.waitForAccepted(1);
    auto const third = client->connect(serverEndpoint());
    clientEvents.waitForClosed(third);
    EXPECT_EQ(server->totals().connectionsAccepted, 2U);
    client->close(first);
    serverEvents.waitForClosed(serverEvents.waitForAccepted(0).first);
    client->connect(serverEndpoint());
    serverEvents.waitForAccepted(2);
    client->close(second);
}

TEST_F(TransportTest, RefusesAnAddressInUse)
{
    auto const another = transport::tryCreate({ .listenOn = serverEndpoint() }, serverEvents);
    ASSERT_TRUE(another.isError());
    EXPECT_EQ(another.failure().kind, error_kind::Unavailable);
}

TEST_F(TransportTest, DoesNothingAfterStop)
{
    auto const id = client->connect(serverEndpoint());
    clientEvents.waitForConnected(id);
    client->stop();
    client->send(id, "late");
    client->close(id);
    client->connect(serverEndpoint());
    serverEvents.waitForClosed(serverEvents.waitForAccepted().first);
    EXPECT_EQ(client->totals().connectionsOpen, 0U);
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
