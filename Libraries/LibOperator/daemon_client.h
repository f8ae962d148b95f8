#pragma once

#include <LibCore/result.h>
#include <LibCore/time.h>
#include <LibHttp/http_client.h>
#include <cstddef>
#include <string>
#include <vector>

namespace merlinpier {

// Speaks the operators' HTTP API with the first of several daemons that can be reached. Errors that a daemon answers
// with are returned as they are: another daemon is asked only if one cannot be reached.
class daemon_client {
public:
    // The daemons as "10.0.0.1:8080", in order of preference; at least one.
    daemon_client(http_client&, std::vector<std::string> daemons);

    // Returns the body of the answer. Reading changes nothing, so a daemon that does not answer in time counts as one
    // that cannot be reached. Unavailable if no daemon can be reached.
    result<std::string> get(std::string const& pathWithQuery, milliseconds timeout);
    // Returns the body of the answer. OutcomeUnknown if a daemon may have acted on the request; the next call goes to
    // another daemon then.
    result<std::string> post(std::string const& path, std::string const& body, milliseconds timeout);

private:
    result<std::string> exchange(http_client_request const&, std::string const& path);
    void moveOn() { m_current = (m_current + 1) % m_daemons.size(); }

    http_client& m_client;
    std::vector<std::string> m_daemons;
    std::size_t m_current { 0 };
};

} // namespace merlinpier
