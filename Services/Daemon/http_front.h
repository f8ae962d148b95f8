#pragma once

#include "caller_api.h"
#include "operator_api.h"
#include "target_api.h"

namespace merlinpier {

// The daemon's HTTP listener: hands each request to the interface that its path belongs to.
class http_front final : public http_handler {
public:
    http_front(daemon&, discovery&);

    void didReceiveRequest(http_request, std::shared_ptr<http_responder>) override;

private:
    caller_api m_callers;
    target_api m_targets;
    operator_api m_operators;
};

} // namespace merlinpier
