#pragma once

#include <LibCore/time.h>
#include <LibNet/transport.h>
#include <LibWire/link_messages.h>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace merlinpier {

// When a link counts as silent.
struct link_settings {
    // How often a link with calls outstanding is pinged.
    milliseconds pingPeriod { 100 };
    // Without any frame for this long while something is outstanding, a connection is silent.
    milliseconds silenceTimeout { 300 };
    // A connection that is not open, hello answered, within this time has failed.
    milliseconds connectTimeout { 500 };
    // A peer that could not be reached is not tried again for this long.
    milliseconds retryDelay { 100 };
    // When ticks are further apart than this, this process itself stood still, and what it did not hear in that time
    // says nothing about its peers.
    milliseconds stallAllowance { 150 };
};

// Asks the owner to open a connection to the address and to report it by didOpen().
struct open_connection {
    std::string address;
    std::uint64_t generation { 0 };
    bool operator==(open_connection const&) const = default;
};
// Asks the owner to close a connection.
struct close_connection {
    connection_id connection { 0 };
    bool operator==(close_connection const&) const = default;
};
// Asks the owner to send a ping on a connection.
struct send_ping {
    connection_id connection { 0 };
    std::uint64_t number { 0 };
    bool operator==(send_ping const&) const = default;
};
// Tells the owner that calls may be sent on the connection, with this generation, to this instance of the peer.
struct link_ready {
    std::string address;
    connection_id connection { 0 };
    std::uint64_t generation { 0 };
    std::uint64_t instance { 0 };
    bool operator==(link_ready const&) const = default;
};
// Tells the owner that calls sent on lower generations have to be asked about once the link is ready again.
struct link_lost {
    std::string address;
    std::uint64_t generation { 0 };
    bool operator==(link_lost const&) const = default;
};
// Tells the owner that the peer could not be reached: nothing can be asked there now.
struct link_unreachable {
    std::string address;
    bool operator==(link_unreachable const&) const = default;
};
using link_action = std::variant<open_connection, close_connection, send_ping, link_ready, link_lost, link_unreachable>;

// Decides about the outgoing connections of a daemon: one current link for each peer address, generations that only
// rise, pings while something is outstanding, and a new connection beside one that went silent. From the moment a link
// counts as silent nothing more is sent on it. Holds no socket, clock or lock.
class link_table {
public:
    explicit link_table(link_settings);

    // Something is to be sent to the peer: opens a link unless one is open or opening; link_unreachable if the last
    // attempt failed just now.
    std::vector<link_action> require(std::string const& address, time_point now);
    // The owner takes the current connection to the peer for silent: opens a new one, and sends nothing on the old one
    // any more. Does nothing if there is none.
    std::vector<link_action> replace(std::string const& address, time_point now);
    // The owner carried out an open_connection.
    void didOpen(std::string const& address, std::uint64_t generation, connection_id, time_point now);
    std::vector<link_action> didReceiveHelloAnswer(connection_id, hello_answer const&, time_point now);
    // Any other frame arrived on the connection.
    void didReceive(connection_id, time_point now);
    std::vector<link_action> didClose(connection_id, time_point now);
    // How many calls wait for an answer on the link to the peer now.
    void setOutstanding(std::string const& address, std::size_t count, time_point now);
    // Anything was sent on the link: until the next frame arrives it is watched as if a call were outstanding. This
    // finds silence under heartbeats and pushes too, at the cost of a ping only if no answer comes within a period.
    void didSend(std::string const& address, time_point now);
    // To be called every few tens of milliseconds.
    std::vector<link_action> tick(time_point now);

    // The connection to send on, if the link to the peer is ready.
    std::optional<link_ready> current(std::string const& address) const;

private:
    // A connection that is being opened, or that is or was the current one.
    struct attempt {
        std::uint64_t generation { 0 };
        std::optional<connection_id> connection;
        time_point openedAt;
        std::uint64_t instance { 0 };
        time_point heardAt;
        time_point pingedAt;
    };
    struct link;

    link& linkTo(std::string const& address);
    link* linkOf(connection_id);
    void open(link&, time_point now, std::vector<link_action>&);
    void drop(std::optional<attempt>&, std::vector<link_action>&);
    void loseCurrent(link&, std::vector<link_action>&);
    void failOpening(link&, time_point now, std::vector<link_action>&);
    void tickLink(link&, time_point now, std::vector<link_action>&);
    void watchCurrent(link&, time_point now, std::vector<link_action>&);

    link_settings m_settings;
    std::map<std::string, std::shared_ptr<link>> m_links;
    std::map<connection_id, std::string> m_addresses;
    std::uint64_t m_pings { 0 };
    std::optional<time_point> m_tickedAt;
    // Silence counts from here at the earliest.
    time_point m_listeningSince;
};

} // namespace merlinpier
