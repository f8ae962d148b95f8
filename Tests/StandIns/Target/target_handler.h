#pragma once

#include <Tests/StandIns/Target/target_environment.h>

namespace merlinpier {

// The HTTP interface of the stand-in of a target: /ledger, /health and /load; any other request is work.
class target_handler final : public http_handler {
public:
    explicit target_handler(target_environment&);

    // ^http_handler
    void didReceiveRequest(http_request, std::shared_ptr<http_responder>) override;

private:
    http_response health() const;
    http_response load() const;
    // Takes the limit on requests and the departure that the target names from now on.
    http_response setNotice(http_request const&);
    void run(http_request, std::shared_ptr<http_responder>);

    target_environment& m_environment;
};

} // namespace merlinpier
