#pragma once

#include <LibLoop/event_loop.h>
#include <LibNet/endpoint.h>
#include <LibNet/socket.h>
#include <list>
#include <optional>
#include <string>
#include <string_view>

namespace merlinpier {

// Told of what happens on a byte stream. A listener may destroy its stream from any of these calls.
class byte_stream_listener {
public:
    virtual ~byte_stream_listener() = default;
    virtual void didConnect() = 0;
    virtual void didReceiveBytes(std::string_view) = 0;
    // The other side sends no more; it may still read. Called as soon as that is known: while reading is paused, bytes
    // that arrived before the end may still follow, and after them a second call.
    virtual void didReachEnd() = 0;
    // All bytes that were to be sent have been written to the socket.
    virtual void didWriteAll() { }
    // The connection is over or could not be opened. Nothing more follows.
    virtual void didFail(error) = 0;
};

// One TCP connection on an event loop.
class byte_stream final : private descriptor_listener {
public:
    // Begins to connect from the local address; didConnect() or didFail() follows.
    byte_stream(event_loop&, endpoint const& to, std::string const& localAddress, byte_stream_listener&);
    // Takes over an accepted connection.
    byte_stream(event_loop&, accepted_socket, byte_stream_listener&);
    ~byte_stream() override;
    byte_stream(byte_stream const&) = delete;
    byte_stream& operator=(byte_stream const&) = delete;

    // Queues bytes; they are written at the end of this turn of the loop or when the other side takes them. Many bytes
    // are kept as they are given, without a copy, and freed when they are written.
    void send(std::string bytes);
    std::size_t unsentBytes() const { return m_unsentBytes; }
    // Bytes written to the socket since the connection began.
    std::uint64_t writtenBytes() const { return m_writtenBytes; }
    // From now on the kernel takes bytes only while less than this waits unsent in its buffer. What is given later in
    // time can then still go first.
    void limitKernelBuffer(int bytes);
    bool isConnected() const { return m_isConnected; }
    // Whether bytes have arrived that have not been read yet.
    bool hasUnreadBytes() const;
    // Whether the other side is known to send no more, perhaps behind bytes that have not been read yet.
    bool isEndKnown() const { return m_isEndKnown; }
    // Whether the connection is over, which didFail() may be about to report.
    bool isBroken() const;
    // Keeps the connection while the other side takes nothing of what is sent. The owner then bounds that time itself.
    void waitForStalledPeer();
    // Nothing is read until resumeReading(). The other side's end is reported all the same.
    void pauseReading();
    void resumeReading();
    // Sends what waits, then tells the other side that nothing more follows.
    void finishWriting();
    endpoint const& peer() const { return m_peer; }

private:
    void didBecomeReadable() override;
    void didBecomeWritable() override;
    void flush() override;
    void didThrow() override;
    void dropWritten(std::size_t bytes);
    // Yields the socket's pending error, which the system then forgets.
    int socketError() const;
    void updateWatch();
    void fail(error);

    event_loop& m_loop;
    byte_stream_listener& m_listener;
    descriptor m_socket;
    // Why there is no socket.
    std::optional<error> m_openFailure;
    endpoint m_peer;
    // What waits to be written, in order: none of the strings is empty.
    std::list<std::string> m_unsent;
    std::size_t m_unsentBytes { 0 };
    std::uint64_t m_writtenBytes { 0 };
    // How much of the first string has been written.
    std::size_t m_written { 0 };
    bool m_isConnected { false };
    bool m_isReading { true };
    bool m_isEndKnown { false };
    // The end was reported while reading was paused; bytes before it may still be unread.
    bool m_hasSeenEnd { false };
    bool m_hasReachedEnd { false };
    bool m_isFinishing { false };
    // Points at a flag of the callback that is running, if one is, so that it notices the stream's destruction.
    bool* m_isDestroyed { nullptr };
};

} // namespace merlinpier
