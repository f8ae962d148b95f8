#pragma once

#include <LibCore/time.h>
#include <LibNet/frame_part.h>
#include <LibNet/transport.h>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>

namespace merlinpier {

struct frame_scheduler_settings {
    std::size_t partBytes { largeFrameBytes };
    // Connections on which parts are written at the same time. Each has up to two parts in the kernel's buffer and a
    // congestion window on the wire; with more of them, the VM's own link would hold as many, and every small frame
    // would wait behind them. Two keep the link busy while one connection waits for its peer.
    std::size_t activeConnections { 2 };
    // A connection that has not taken its part within this time no longer counts as one of those.
    milliseconds stallTimeout { 100 };
};

// A part to be written to a connection.
struct scheduled_part {
    connection_id connection { 0 };
    frame_part part;

    bool operator==(scheduled_part const&) const = default;
};

// Decides which part of which large frame is written next, over all connections of a transport, since they share the
// VM's link. Small frames do not pass through here: they are written at once, so they wait for one part at most. Among
// large frames, the one of the earliest deadline goes first. Holds no socket or clock.
class frame_scheduler {
public:
    explicit frame_scheduler(frame_scheduler_settings = {});

    // Adds a compressed frame. The label names it for withdraw().
    void add(connection_id, std::string frame, bulk_frame, time_point now);
    // Returns the next part that may be written now, if there is one. The owner reports didWrite() when the connection
    // has taken the whole of it.
    std::optional<scheduled_part> next(time_point now);
    void didWrite(connection_id);
    // Drops a frame whose receiver does not want it any more, unless its last part has been handed out.
    void withdraw(connection_id, std::string const& label);
    void didClose(connection_id);

    // Whether nothing is left to be written.
    bool isEmpty() const;
    std::size_t waitingBytes() const { return m_waitingBytes; }
    std::size_t waitingBytes(connection_id) const;
    std::uint64_t expiredFrames() const { return m_expiredFrames; }

private:
    struct waiting_frame {
        std::uint32_t stream { 0 };
        std::uint64_t arrival { 0 };
        std::string bytes;
        std::size_t written { 0 };
        bulk_frame terms;
        bool isDropped { false };
    };
    struct link {
        std::list<waiting_frame> frames;
        // When the part was handed out that the connection has not taken yet.
        std::optional<time_point> handedAt;
        std::uint32_t lastStream { 0 };
    };

    void dropExpired(time_point now);
    void drop(waiting_frame&);
    bool isActive(link const&, time_point now) const;
    frame_part takePart(link&, std::list<waiting_frame>::iterator);

    frame_scheduler_settings m_settings;
    std::map<connection_id, link> m_links;
    std::uint64_t m_arrivals { 0 };
    std::size_t m_waitingBytes { 0 };
    std::uint64_t m_expiredFrames { 0 };
};

} // namespace merlinpier
