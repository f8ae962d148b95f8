#pragma once

#include <LibCore/time.h>
#include <LibNet/link_table.h>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace merlinpier {

using accepted_link_action = std::variant<send_ping, close_connection>;

// Watches connections that peers have opened for silence: a connection on which something was sent is pinged if no
// frame arrives in return, and given up if none arrives after that. The peers watch their own ends with link_table, but
// only for what they send themselves. Holds no socket, clock or lock.
class accepted_links {
public:
    // Uses pingPeriod, silenceTimeout and stallAllowance.
    explicit accepted_links(link_settings const&);

    void didSend(connection_id, time_point now);
    void didReceive(connection_id);
    void didClose(connection_id);
    // To be called every few tens of milliseconds. The owner carries out the actions; a connection that is to be closed
    // is no longer watched.
    std::vector<accepted_link_action> tick(time_point now);

private:
    // A connection on which something was sent and nothing has arrived since.
    struct unanswered {
        time_point since {};
        time_point pingedAt {};
    };

    link_settings m_settings;
    std::map<connection_id, unanswered> m_unanswered;
    std::uint64_t m_pings { 0 };
    std::optional<time_point> m_tickedAt;
    // Silence counts from here at the earliest, since this process may have stood still before.
    time_point m_listeningSince {};
};

} // namespace merlinpier
