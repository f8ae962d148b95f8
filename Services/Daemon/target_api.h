#pragma once

#include "daemon.h"
#include "discovery.h"

#include <LibHttp/http_server.h>
#include <memory>
#include <string>

namespace merlinpier {

// The interface for the targets of the own VM: POST /targets/announce, /targets/{id}/drain, /targets/{id}/leave.
class target_api {
public:
    target_api(daemon&, discovery&);

    void didReceiveRequest(http_request const&, std::shared_ptr<http_responder> const&);

private:
    http_response announce(http_request const&);
    // Answers when the order outlives this process and all other daemons, or the store does not take it in time.
    void drain(std::string const& id, std::shared_ptr<http_responder> const&);
    http_response leave(std::string const& id);

    daemon& m_daemon;
    discovery& m_discovery;
};

} // namespace merlinpier
