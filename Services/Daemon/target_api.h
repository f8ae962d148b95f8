#pragma once

#include "daemon.h"

#include <LibHttp/http_server.h>

namespace merlinpier {

// The interface for the targets of the own VM: POST /targets/announce, /targets/{id}/drain, /targets/{id}/leave.
class target_api {
public:
    explicit target_api(daemon&);

    http_response answer(http_request const&);

private:
    http_response announce(http_request const&);

    daemon& m_daemon;
};

} // namespace merlinpier
