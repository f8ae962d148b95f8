#include <Tests/LibHttp/raw_socket_target.h>

#include <absl/strings/match.h>
#include <absl/time/time.h>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace merlinpier {

namespace {

constexpr absl::Duration recheck = absl::Seconds(1);

std::size_t contentLength(std::string const& head)
{
    constexpr std::string_view name = "\r\nContent-Length: ";
    auto const found = head.find(name);
    return found == std::string::npos ? 0 : std::stoul(head.substr(found + name.size()));
}

// Takes a whole request off the front of what was read; empty if it is not whole yet.
std::string takeRequest(std::string& received)
{
    auto const headEnd = received.find("\r\n\r\n");
    if (headEnd == std::string::npos)
        return {};
    std::size_t const size = headEnd + 4 + contentLength(received.substr(0, headEnd + 2));
    if (received.size() < size)
        return {};
    auto request = received.substr(0, size);
    received.erase(0, size);
    return request;
}

} // namespace

raw_socket_target::raw_socket_target(script script)
    : m_script(std::move(script))
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(m_listener, reinterpret_cast<sockaddr const*>(&address), sizeof address);
    listen(m_listener, 16);
    socklen_t size = sizeof address;
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { acceptConnections(); });
}

raw_socket_target::~raw_socket_target()
{
    stopListening();
    m_acceptor.join();
    std::vector<std::thread> servers;
    {
        mutex_lock lock(m_mutex);
        for (int const connection : m_connections)
            shutdown(connection, SHUT_RDWR);
        servers.swap(m_servers);
    }
    for (auto& server : servers)
        server.join();
    for (int const connection : m_connections)
        close(connection);
    close(m_listener);
}

std::string raw_socket_target::url(std::string const& path) const
{
    return "http://127.0.0.1:" + std::to_string(m_port) + path;
}

std::vector<std::string> raw_socket_target::requests() const
{
    mutex_lock lock(m_mutex);
    return m_requests;
}

void raw_socket_target::waitForRequests(std::size_t count) const
{
    mutex_lock lock(m_mutex);
    while (m_requests.size() < count)
        m_changed.waitFor(m_mutex, recheck);
}

void raw_socket_target::waitForClosedConnection() const
{
    mutex_lock lock(m_mutex);
    while (m_closedByPeer == 0)
        m_changed.waitFor(m_mutex, recheck);
}

void raw_socket_target::stopListening() { shutdown(m_listener, SHUT_RDWR); }

void raw_socket_target::acceptConnections()
{
    while (true) {
        int const connection = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            return;
        mutex_lock lock(m_mutex);
        m_connections.push_back(connection);
        m_servers.emplace_back([this, connection] { serve(connection); });
    }
}

void raw_socket_target::serve(int connection)
{
    std::string received;
    std::array<char, 65536> buffer {};
    while (true) {
        ssize_t const count = recv(connection, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            break;
        received.append(buffer.data(), static_cast<std::size_t>(count));
        for (auto request = takeRequest(received); !request.empty(); request = takeRequest(received)) {
            if (answer(connection, request) == raw_reply::after::KeepOpen)
                continue;
            shutdown(connection, SHUT_RDWR);
            return;
        }
    }
    mutex_lock lock(m_mutex);
    ++m_closedByPeer;
    m_changed.notifyAll();
}

raw_reply::after raw_socket_target::answer(int connection, std::string const& request)
{
    std::size_t before = 0;
    {
        mutex_lock lock(m_mutex);
        before = m_requests.size();
        m_requests.push_back(request);
        m_changed.notifyAll();
    }
    auto const reply = m_script(request, before);
    if (reply.afterwards == raw_reply::after::CloseAndStopListening)
        stopListening();
    send(connection, reply.bytes.data(), reply.bytes.size(), MSG_NOSIGNAL);
    return reply.afterwards;
}

std::string wholeAnswer(std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace merlinpier
