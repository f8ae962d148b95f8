#include <LibNet/send_queue.h>

#include <LibNet/frame_reader.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <sys/uio.h>

namespace merlinpier {

namespace {

constexpr std::size_t chunksPerWrite = 32;

} // namespace

void send_queue::push(std::string frame)
{
    m_waitingBytes += framePrefixBytes + frame.size();
    m_chunks.push_back(framePrefix(frame.size()));
    if (!frame.empty())
        m_chunks.push_back(std::move(frame));
}

int send_queue::flush(descriptor const& socket)
{
    while (!m_chunks.empty()) {
        std::array<iovec, chunksPerWrite> parts {};
        std::size_t const count = std::min(chunksPerWrite, m_chunks.size());
        for (std::size_t i = 0; i < count; ++i)
            parts[i] = { m_chunks[i].data(), m_chunks[i].size() };
        parts[0].iov_base = m_chunks[0].data() + m_firstWritten;
        parts[0].iov_len -= m_firstWritten;
        msghdr header {};
        header.msg_iov = parts.data();
        header.msg_iovlen = count;
        ssize_t const written = sendmsg(socket.number(), &header, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            return errno == EAGAIN || errno == EWOULDBLOCK ? 0 : errno;
        drop(static_cast<std::size_t>(written));
    }
    return 0;
}

void send_queue::drop(std::size_t bytes)
{
    m_waitingBytes -= bytes;
    m_writtenBytes += bytes;
    while (bytes > 0) {
        std::size_t const left = m_chunks.front().size() - m_firstWritten;
        if (bytes < left) {
            m_firstWritten += bytes;
            return;
        }
        bytes -= left;
        m_firstWritten = 0;
        m_chunks.pop_front();
    }
}

} // namespace merlinpier
