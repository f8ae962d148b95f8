#pragma once

#include <LibCore/time.h>
#include <LibNet/transport.h>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace merlinpier {

// Keeps what was lately sent on each connection, so that it can be sent again when the connection turns out to have
// gone silent. The receivers of such messages must tolerate repetitions.
class recent_messages {
public:
    // Messages are kept for the given time, and up to the given size of all messages of a connection together.
    recent_messages(milliseconds retention, std::size_t maximumBytes);

    void didSend(connection_id, std::string const& encoded, time_point now);
    // Removes the messages of the connection and returns those that are not older than the retention, oldest first.
    std::vector<std::string> take(connection_id, time_point now);
    // Frees what is older than the retention, on connections on which nothing is sent any more too.
    void expire(time_point now);
    void forget(connection_id connection) { m_sent.erase(connection); }

private:
    struct sent_message {
        std::string encoded;
        time_point at {};
    };
    struct sent_messages {
        std::deque<sent_message> messages;
        std::size_t bytes { 0 };
    };

    void expire(sent_messages&, time_point now) const;

    milliseconds m_retention;
    std::size_t m_maximumBytes;
    std::map<connection_id, sent_messages> m_sent;
};

} // namespace merlinpier
