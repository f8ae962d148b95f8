#include "cluster.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

namespace merlinpier {

namespace {

// Sends raw bytes to a peer listener and waits until the daemon closes the connection.
void sendRawBytes(std::string const& address, std::string const& bytes)
{
    auto const colon = address.find(':');
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ(connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof(to)), 0);
    ASSERT_EQ(send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    shutdown(socket, SHUT_WR);
    char rest[256];
    while (recv(socket, rest, sizeof(rest), 0) > 0) { }
    close(socket);
}

std::string randomBytes(std::mt19937& source, std::size_t count)
{
    std::string bytes;
    while (bytes.size() < count)
        bytes += static_cast<char>(source());
    return bytes;
}

} // namespace

// Whatever arrives at a daemon's listeners gets a typed error, changes nothing and ends no process.
TEST(BadInput, EndsNoProcessAndChangesNothing)
{
    cluster processes({ .zones = { "zone-a" }, .daemonsPerZone = 1 });
    processes.startPlatform();
    processes.startDaemons();
    auto const address = processes.httpAddress(0);
    auto answers = nlohmann::json::parse(
        R"({"service": "desk", "owner": "Desk team", "dependencies": [], "allowed_callers": ["shop"],
            "entry_points": [{"name": "read", "method": "GET", "path": "/items/{id}", "idempotent": true,
                              "class": "interactive", "deadline_ms": 500}],
            "licences": ["desk-1"], "slots_per_copy": 2, "drain_time_ms": 1000})");
    auto shop = answers;
    shop["service"] = "shop";
    shop["allowed_callers"] = { "*" };
    shop["licences"] = { "shop-1" };
    ASSERT_EQ(processes.submit(0, shop, "shop").value().status, 200);
    ASSERT_EQ(processes.submit(0, answers, "desk").value().status, 200);
    ASSERT_TRUE(processes.waitInForce(0, 2));

    EXPECT_EQ(processes.send(address, "POST", "/config/submissions", "{").value().status, 400);
    auto unknownKey = answers;
    unknownKey["colour"] = "red";
    EXPECT_EQ(processes.submit(0, unknownKey, "unknown-key").value().status, 400);
    EXPECT_EQ(processes.send(address, "POST", "/targets/announce", "[]").value().status, 400);
    EXPECT_EQ(processes.send(address, "GET", "/nowhere").value().status, 404);
    EXPECT_EQ(processes.send(address, "GET", "/status?version=x").value().status, 400);
    auto const outsider = processes.send(address, "GET", "/call/desk/items/1");
    EXPECT_EQ(outsider.value().status, 403);
    EXPECT_EQ(outsider.value().header("Merlinpier-Outcome"), "not-run");
    auto const allowed = processes.send(address, "GET", "/call/desk/items/1", "", { { "Merlinpier-Caller", "shop" } });
    // Allowed, but there is no target yet.
    EXPECT_EQ(allowed.value().status, 503);
    EXPECT_TRUE(allowed.value().header("Retry-After").has_value());
    EXPECT_EQ(processes.send(address, "GET", "/call/nothing/x").value().status, 404);
    EXPECT_EQ(processes.send(address, "POST", "/call/desk/x", std::string(2 * 1024 * 1024, 'x')).value().status, 413);

    std::mt19937 source(20261203);
    for (int i = 0; i < 50; ++i)
        sendRawBytes(processes.peerAddress(0), randomBytes(source, 1 + source() % 4000));
    sendRawBytes(processes.peerAddress(0), std::string("\xff\xff\xff\x7f", 4));
    EXPECT_TRUE(processes.daemonProcess(0).isRunning()) << processes.daemonProcess(0).log();
    EXPECT_EQ(processes.read(address, "/config/services")["version"], 2);
}

} // namespace merlinpier
