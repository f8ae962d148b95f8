#pragma once

#include "daemon.h"

#include <LibHttp/http_server.h>

namespace merlinpier {

// The callers' interface: METHOD /call/{service}/{path}. See docs/design/interfaces.md.
class caller_api {
public:
    explicit caller_api(daemon&);

    void didReceiveRequest(http_request, std::shared_ptr<http_responder>);

private:
    daemon& m_daemon;
    std::uint64_t m_nextCall { 1 };
};

} // namespace merlinpier
