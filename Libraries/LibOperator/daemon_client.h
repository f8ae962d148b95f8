#pragma once

#include <LibCore/result.h>
#include <LibCore/time.h>
#include <LibHttp/http_client.h>
#include <cstddef>
#include <string>
#include <vector>

namespace merlinpier {

// Client of the operator HTTP API. Sends requests to one of several daemons and fails over to the next one only if a
// daemon is unreachable; an error that a daemon answers with is returned unchanged.
class daemon_client {
public:
    // Addresses of the daemons, such as "10.0.0.1:8080", in order of preference; at least one.
    daemon_client(http_client&, std::vector<std::string> daemons);

    // Returns the body of the answer. A GET is safe to repeat, so a daemon that does not answer in time is treated as
    // unreachable. Fails with Unavailable if no daemon is reachable.
    result<std::string> get(std::string const& pathWithQuery, milliseconds timeout);
    // Returns the body of the answer. Fails with Unavailable if no daemon is reachable, and with OutcomeUnknown if a
    // daemon may have processed the request; the next call then goes to another daemon.
    result<std::string> post(std::string const& path, std::string const& body, milliseconds timeout);
    // As post(), to take something back.
    result<std::string> remove(std::string const& path, milliseconds timeout);

private:
    result<std::string> exchange(http_client_request const&, std::string const& path);
    void selectNextDaemon() { m_current = (m_current + 1) % m_daemons.size(); }

    http_client& m_client;
    std::vector<std::string> m_daemons;
    std::size_t m_current { 0 };
};

} // namespace merlinpier
