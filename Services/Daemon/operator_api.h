#pragma once

#include "daemon.h"

#include <LibHttp/http_server.h>

namespace merlinpier {

// The HTTP answer for an error: a JSON body with kind, message and remedy, and the status that fits the kind.
http_response errorResponse(error const&);

// The operators' interface: /config, /status, /state, /explain, /metrics and /health. See docs/design/interfaces.md.
class operator_api {
public:
    explicit operator_api(daemon&);

    void didReceiveRequest(http_request const&, std::shared_ptr<http_responder>);

private:
    void submit(http_request const&, std::shared_ptr<http_responder> const&);
    void history(std::shared_ptr<http_responder> const&);
    void stateOf(std::string const& vm, std::shared_ptr<http_responder> const&);
    http_response check(http_request const&) const;
    http_response services() const;
    http_response abortRollout(std::string const& path);
    http_response tenantNamed(std::string const& encodedName) const;
    http_response liftBlock(std::string const& fingerprint);
    http_response service(std::string const& name) const;

    daemon& m_daemon;
};

} // namespace merlinpier
