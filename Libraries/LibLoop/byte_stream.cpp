#include <LibLoop/byte_stream.h>

#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace merlinpier {

namespace {

constexpr std::size_t readBufferBytes = 64 * 1024;
// Reads of one stream in one turn, so that a busy peer does not hold up the others.
constexpr int readsPerTurn = 4;
// Up to this size, bytes that wait are gathered in one string, so that small messages are written by one system call.
constexpr std::size_t gatheredBytes = 4 * 1024;

std::array<char, readBufferBytes>& readBuffer()
{
    static std::array<char, readBufferBytes> buffer;
    return buffer;
}

} // namespace

byte_stream::byte_stream(
    event_loop& loop, endpoint const& to, std::string const& localAddress, byte_stream_listener& listener)
    : m_loop(loop)
    , m_listener(listener)
    , m_peer(to)
{
    auto socket = beginConnect(to, localAddress);
    if (socket.isError())
        m_openFailure = socket.releaseFailure();
    else
        m_socket = socket.releaseValue();
    // Failures are reported at the end of the turn, never from inside the constructor.
    if (m_socket.isValid())
        updateWatch();
    else
        m_loop.requestFlush(*this);
}

byte_stream::byte_stream(event_loop& loop, accepted_socket accepted, byte_stream_listener& listener)
    : m_loop(loop)
    , m_listener(listener)
    , m_socket(std::move(accepted.socket))
    , m_peer(std::move(accepted.from))
    , m_isConnected(true)
{
    updateWatch();
}

byte_stream::~byte_stream()
{
    if (m_isDestroyed)
        *m_isDestroyed = true;
    m_loop.cancelFlush(*this);
    if (m_socket.isValid())
        m_loop.unwatch(m_socket.number());
}

void byte_stream::send(std::string bytes)
{
    if (bytes.empty())
        return;
    m_unsentBytes += bytes.size();
    if (!m_unsent.empty() && m_unsent.back().size() + bytes.size() <= gatheredBytes)
        m_unsent.back().append(bytes);
    else
        m_unsent.push_back(std::move(bytes));
    if (m_isConnected)
        m_loop.requestFlush(*this);
}

void byte_stream::limitKernelBuffer(int bytes)
{
    if (m_socket.isValid())
        setsockopt(m_socket.number(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes, sizeof bytes);
}

void byte_stream::waitForStalledPeer()
{
    if (m_socket.isValid())
        disableStallTimeout(m_socket);
}

void byte_stream::pauseReading()
{
    m_isReading = false;
    updateWatch();
}

void byte_stream::resumeReading()
{
    m_isReading = true;
    updateWatch();
}

void byte_stream::finishWriting()
{
    m_isFinishing = true;
    m_loop.requestFlush(*this);
}

bool byte_stream::hasUnreadBytes() const
{
    int count = 0;
    return m_socket.isValid() && ioctl(m_socket.number(), FIONREAD, &count) == 0 && count > 0;
}

bool byte_stream::isBroken() const { return !m_socket.isValid() || socketError() != 0; }

int byte_stream::socketError() const
{
    int code = 0;
    socklen_t size = sizeof code;
    getsockopt(m_socket.number(), SOL_SOCKET, SO_ERROR, &code, &size);
    return code;
}

void byte_stream::updateWatch()
{
    if (!m_socket.isValid())
        return;
    bool const wantsReading = m_isConnected && m_isReading && !m_hasReachedEnd;
    bool const wantsWriting = !m_isConnected || unsentBytes() > 0;
    // A peer that leaves is noticed while nothing is read from it.
    bool const wantsEnd = m_isConnected && !m_isReading && !m_hasSeenEnd && !m_hasReachedEnd;
    auto const bits = (wantsReading ? 1U : 0U) | (wantsWriting ? 2U : 0U) | (wantsEnd ? 4U : 0U);
    m_loop.watch(m_socket.number(), static_cast<readiness>(bits), *this);
}

void byte_stream::didBecomeReadable()
{
    if (!m_isConnected) {
        didBecomeWritable();
        return;
    }
    m_isEndKnown = m_isEndKnown || m_loop.isEndKnown();
    // Behind the end only a reset, or the close of both sides, is reported. The system tells of a reset by the state of
    // the socket then, no longer by a read.
    if (m_hasReachedEnd || (!m_isReading && m_hasSeenEnd)) {
        int const code = socketError();
        fail(networkError("the connection with " + m_peer.text() + " broke", code != 0 ? code : ECONNRESET));
        return;
    }
    if (!m_isReading) {
        m_hasSeenEnd = true;
        updateWatch();
        m_listener.didReachEnd();
        return;
    }
    bool isDestroyed = false;
    m_isDestroyed = &isDestroyed;
    auto& buffer = readBuffer();
    for (int i = 0; i < readsPerTurn; ++i) {
        ssize_t const count = recv(m_socket.number(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            break;
        if (count < 0) {
            m_isDestroyed = nullptr;
            fail(networkError("the connection with " + m_peer.text() + " broke", errno));
            return;
        }
        if (count == 0) {
            m_hasReachedEnd = true;
            updateWatch();
            m_isDestroyed = nullptr;
            m_listener.didReachEnd();
            return;
        }
        m_listener.didReceiveBytes({ buffer.data(), static_cast<std::size_t>(count) });
        if (isDestroyed)
            return;
        if (!m_isReading || !m_socket.isValid() || static_cast<std::size_t>(count) < buffer.size())
            break;
    }
    m_isDestroyed = nullptr;
}

void byte_stream::didBecomeWritable()
{
    if (!m_isConnected) {
        if (int const code = connectError(m_socket); code != 0) {
            fail(connectFailure(m_peer, code));
            return;
        }
        m_isConnected = true;
        updateWatch();
        bool isDestroyed = false;
        m_isDestroyed = &isDestroyed;
        m_listener.didConnect();
        if (isDestroyed)
            return;
        m_isDestroyed = nullptr;
    }
    flush();
}

void byte_stream::flush()
{
    if (m_openFailure) {
        fail(*std::exchange(m_openFailure, std::nullopt));
        return;
    }
    if (!m_isConnected)
        return;
    bool const hadUnsent = unsentBytes() > 0;
    while (unsentBytes() > 0) {
        auto const& first = m_unsent.front();
        // MSG_MORE keeps a header and the body after it in one segment.
        int const flags = MSG_NOSIGNAL | (m_unsent.size() > 1 ? MSG_MORE : 0);
        ssize_t const written = ::send(m_socket.number(), first.data() + m_written, first.size() - m_written, flags);
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            break;
        if (written < 0) {
            fail(networkError("the connection with " + m_peer.text() + " broke", errno));
            return;
        }
        dropWritten(static_cast<std::size_t>(written));
    }
    if (unsentBytes() == 0 && m_isFinishing)
        shutdown(m_socket.number(), SHUT_WR);
    updateWatch();
    if (hadUnsent && unsentBytes() == 0)
        m_listener.didWriteAll();
}

void byte_stream::dropWritten(std::size_t bytes)
{
    m_unsentBytes -= bytes;
    m_writtenBytes += bytes;
    m_written += bytes;
    if (m_written < m_unsent.front().size())
        return;
    m_unsent.pop_front();
    m_written = 0;
}

void byte_stream::didThrow()
{
    m_isDestroyed = nullptr;
    fail({ error_kind::Internal, "the connection with " + m_peer.text() + " failed in this process",
        "see connection_handler_failed in the log" });
}

void byte_stream::fail(error reason)
{
    if (m_socket.isValid()) {
        m_loop.unwatch(m_socket.number());
        m_socket = descriptor();
    }
    m_loop.cancelFlush(*this);
    m_isConnected = false;
    m_isReading = false;
    m_listener.didFail(std::move(reason));
}

} // namespace merlinpier
