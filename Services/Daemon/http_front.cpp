#include "http_front.h"

namespace merlinpier {

http_front::http_front(daemon& owner, discovery& departures)
    : m_callers(owner)
    , m_targets(owner, departures)
    , m_operators(owner)
{
}

void http_front::didReceiveRequest(http_request request, std::shared_ptr<http_responder> responder)
{
    if (request.path.starts_with("/call/")) {
        m_callers.didReceiveRequest(std::move(request), std::move(responder));
        return;
    }
    if (request.path.starts_with("/targets/")) {
        m_targets.didReceiveRequest(request, responder);
        return;
    }
    m_operators.didReceiveRequest(request, responder);
}

} // namespace merlinpier
