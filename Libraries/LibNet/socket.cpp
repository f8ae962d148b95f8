#include <LibNet/socket.h>

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace merlinpier {

namespace {

// Connections that are accepted send no larger segments than Ethernet's, whatever the interface allows. On the loopback
// interface segments of up to 64 KB may be larger than a small window of the other side; the sender then waits for a
// probe timer before it sends a part of one, which slowed frames in parts to a quarter.
constexpr int maximumSegmentBytes = 1460;

constexpr int listenBacklog = 1024;

// The kernel gives up connections that went silent without a reset. A waiting watch on the platform notices by this
// alone, and a version has to be in force within two seconds of the time from which its VM counts as connected again.
constexpr int keepAliveIdleSeconds = 2;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
constexpr int unacknowledgedDataTimeoutMs = 4000;

sockaddr_in socketAddress(endpoint const& point)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(point.port);
    inet_pton(AF_INET, point.address.c_str(), &address.sin_addr);
    return address;
}

void setOption(int socket, int level, int name, int value) { setsockopt(socket, level, name, &value, sizeof(value)); }

void setConnectionOptions(int socket)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedDataTimeoutMs);
}

descriptor openSocket() { return descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)); }

int bindTo(descriptor const& socket, endpoint const& local)
{
    auto const address = socketAddress(local);
    return bind(socket.number(), reinterpret_cast<sockaddr const*>(&address), sizeof(address));
}

} // namespace

descriptor& descriptor::operator=(descriptor&& other) noexcept
{
    if (this == &other)
        return *this;
    if (isValid())
        ::close(m_number);
    m_number = other.release();
    return *this;
}

descriptor::~descriptor()
{
    if (isValid())
        ::close(m_number);
}

int descriptor::release() { return std::exchange(m_number, -1); }

error networkError(std::string const& what, int errorNumber)
{
    return { error_kind::Unavailable, what + ": " + std::generic_category().message(errorNumber),
        "check that the address is right, that the process there runs and that the network lets it through" };
}

error connectFailure(endpoint const& to, int errorNumber)
{
    auto failure = networkError("cannot connect to " + to.text(), errorNumber);
    if (errorNumber == ECONNREFUSED)
        failure.kind = error_kind::Refused;
    return failure;
}

result<descriptor> listenOn(endpoint const& point)
{
    auto socket = openSocket();
    if (!socket.isValid())
        return networkError("no socket for " + point.text(), errno);
    setOption(socket.number(), SOL_SOCKET, SO_REUSEADDR, 1);
    setOption(socket.number(), IPPROTO_TCP, TCP_MAXSEG, maximumSegmentBytes);
    if (bindTo(socket, point) != 0 || listen(socket.number(), listenBacklog) != 0)
        return networkError("cannot listen on " + point.text(), errno);
    return socket;
}

std::uint16_t boundPort(descriptor const& socket)
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    getsockname(socket.number(), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

result<descriptor> beginConnect(endpoint const& to, std::string const& localAddress)
{
    auto socket = openSocket();
    if (!socket.isValid())
        return networkError("no socket for " + to.text(), errno);
    setConnectionOptions(socket.number());
    // The port is chosen when connecting, so that ports are shared between connections to different peers.
    setOption(socket.number(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1);
    if (bindTo(socket, { localAddress, 0 }) != 0)
        return networkError("cannot connect from " + localAddress, errno);
    auto const address = socketAddress(to);
    bool const isConnected
        = ::connect(socket.number(), reinterpret_cast<sockaddr const*>(&address), sizeof(address)) == 0;
    if (!isConnected && errno != EINPROGRESS)
        return connectFailure(to, errno);
    return socket;
}

int connectError(descriptor const& socket)
{
    int code = 0;
    socklen_t size = sizeof(code);
    getsockopt(socket.number(), SOL_SOCKET, SO_ERROR, &code, &size);
    return code;
}

accepted_socket acceptNext(descriptor const& listening)
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    descriptor socket(
        accept4(listening.number(), reinterpret_cast<sockaddr*>(&address), &size, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!socket.isValid())
        return { descriptor(), {} };
    setConnectionOptions(socket.number());
    std::array<char, INET_ADDRSTRLEN> text {};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return { std::move(socket), { text.data(), ntohs(address.sin_port) } };
}

void disableStallTimeout(descriptor const& socket) { setOption(socket.number(), IPPROTO_TCP, TCP_USER_TIMEOUT, 0); }

} // namespace merlinpier
