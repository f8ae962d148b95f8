#pragma once

#include <LibNet/socket.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace merlinpier {

// Frames that wait to be written to a socket, in order. Not safe for use by several threads.
class send_queue {
public:
    // Adds a frame with its length prefix.
    void push(std::string frame);
    // Writes as much as the socket takes now. Returns 0, or the error number that ended the connection.
    int flush(descriptor const&);

    bool isEmpty() const { return m_chunks.empty(); }
    std::size_t waitingBytes() const { return m_waitingBytes; }
    std::uint64_t writtenBytes() const { return m_writtenBytes; }

private:
    void drop(std::size_t bytes);

    std::deque<std::string> m_chunks;
    // How much of the first chunk has been written.
    std::size_t m_firstWritten { 0 };
    std::size_t m_waitingBytes { 0 };
    std::uint64_t m_writtenBytes { 0 };
};

} // namespace merlinpier
