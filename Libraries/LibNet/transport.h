#pragma once

#include <LibCore/result.h>
#include <LibCore/time.h>
#include <LibNet/endpoint.h>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace merlinpier {

// Names one connection for the life of a transport; never used again.
using connection_id = std::uint64_t;

// Told of what happens on the connections of a transport. Calls come one at a time from the transport's thread, with
// no lock held, and must not block.
class transport_listener {
public:
    virtual ~transport_listener() = default;
    virtual void didAccept(connection_id, endpoint const& from) = 0;
    virtual void didConnect(connection_id) = 0;
    // One whole frame, without its length prefix.
    virtual void didReceiveFrame(connection_id, std::string frame) = 0;
    // A part of a large frame that is not whole yet: the peer is not silent.
    virtual void didReceivePart(connection_id) { }
    // Bytes of a frame or part that is not whole yet: the peer is not silent, however long that takes.
    virtual void didReceiveBytes(connection_id) { }
    // The connection is over, or could not be opened (Unavailable). Nothing more follows for it.
    virtual void didClose(connection_id, error reason) = 0;
};

// How a large frame that may come late is sent.
struct bulk_frame {
    // Names the frame for withdraw().
    std::string label;
    // When the frame is of no use any more.
    time_point deadline { time_point::max() };

    bool operator==(bulk_frame const&) const = default;
};

// Limits of a transport.
struct transport_settings {
    endpoint listenOn;
    std::size_t maximumFrameBytes { 4 * 1024 * 1024 };
    // A connection whose unsent bytes exceed this is closed.
    std::size_t maximumUnsentBytes { 32 * 1024 * 1024 };
    std::size_t maximumConnections { 4096 };
};

// Bytes moved since the start.
struct transport_totals {
    std::uint64_t bytesSent { 0 };
    std::uint64_t bytesReceived { 0 };
    std::uint64_t connectionsOpen { 0 };
    std::uint64_t connectionsAccepted { 0 };
    // Of the bytes sent, those of frames sent by sendBulk().
    std::uint64_t bulkBytesSent { 0 };
    // Bytes of frames that wait to be written: those sent by sendBulk() in parts, and all others.
    std::uint64_t bulkBytesWaiting { 0 };
    std::uint64_t bytesWaiting { 0 };
    std::uint64_t partsSent { 0 };
    // Frames dropped at their deadline, before they were sent whole.
    std::uint64_t bulkFramesExpired { 0 };

    bool operator==(transport_totals const&) const = default;
};

// Carries frames over TCP connections: a little-endian length of four bytes, then that many bytes. One thread with
// epoll serves all connections; any thread may send.
class transport {
public:
    // Listens at once; the listener must outlive the transport. Port 0 takes a free one.
    static result<std::unique_ptr<transport>> tryCreate(transport_settings, transport_listener&);
    virtual ~transport() = default;

    virtual std::uint16_t port() const = 0;
    // Begins to connect; didConnect or didClose follows.
    virtual connection_id connect(endpoint const&) = 0;
    // Queues a frame, in order; ignored if the connection is over. Writes from the calling thread when nothing waits.
    virtual void send(connection_id, std::string frame) = 0;
    // The peer takes parts of frames on this connection, so that sendBulk() may send such.
    virtual void allowParts(connection_id) { }
    // Queues a frame that may be large: if it is, and the peer takes parts, it goes in parts behind whatever is sent
    // otherwise. Frames of this kind are delivered in any order.
    virtual void sendBulk(connection_id id, std::string frame, bulk_frame) { send(id, std::move(frame)); }
    // Drops a frame sent by sendBulk() as far as it has not been sent.
    virtual void withdraw(connection_id, std::string const& /*label*/) { }
    // Closes without sending what waits; didClose follows.
    virtual void close(connection_id) = 0;
    virtual transport_totals totals() const = 0;
    // Ends the transport's thread; no listener call is made after it returns.
    virtual void stop() = 0;
};

} // namespace merlinpier
