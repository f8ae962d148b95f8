#pragma once

#include <LibCore/mutex.h>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace merlinpier {

// What a raw_socket_target does once it has read a request.
struct raw_reply {
    enum class after { KeepOpen, Close, CloseAndStopListening };

    // Sent as it stands.
    std::string bytes;
    after afterwards { after::KeepOpen };
};

// A target that speaks no HTTP of its own: it reads whole requests from a socket and sends back the bytes that the test
// wants, however wrong they are.
class raw_socket_target {
public:
    // Receives a whole request, and how many have been read before it on any connection.
    using script = std::function<raw_reply(std::string const& request, std::size_t before)>;

    explicit raw_socket_target(script);
    ~raw_socket_target();
    raw_socket_target(raw_socket_target const&) = delete;
    raw_socket_target& operator=(raw_socket_target const&) = delete;

    std::string url(std::string const& path) const;
    // Every request read so far, in order.
    std::vector<std::string> requests() const;
    void waitForRequests(std::size_t count) const;
    // Waits until the other side has closed a connection.
    void waitForClosedConnection() const;

private:
    void acceptConnections();
    void serve(int connection);
    raw_reply::after answer(int connection, std::string const& request);
    void stopListening();

    script const m_script;
    int m_listener { -1 };
    int m_port { 0 };
    mutable mutex m_mutex { lock_rank::Leaf };
    mutable condition m_changed;
    std::vector<std::string> m_requests ABSL_GUARDED_BY(m_mutex);
    std::vector<int> m_connections ABSL_GUARDED_BY(m_mutex);
    std::size_t m_closedByPeer ABSL_GUARDED_BY(m_mutex) { 0 };
    std::vector<std::thread> m_servers ABSL_GUARDED_BY(m_mutex);
    std::thread m_acceptor;
};

// A whole answer with its length.
std::string wholeAnswer(std::string const& body);

} // namespace merlinpier
