#include <Utilities/Load/call_planner.h>

namespace merlinpier {

namespace {

constexpr std::uint64_t pathNumbers = 1000;
constexpr milliseconds defaultTimeout { 30'000 };
// A daemon gives its final answer at the deadline; it may take this long to arrive.
constexpr milliseconds answerMargin { 2000 };

std::string callPath(planned_call const& call) { return "/call/" + call.entry.service + call.path; }

bool methodHasBody(std::string const& method) { return method != "GET" && method != "HEAD" && method != "DELETE"; }

} // namespace

call_planner::call_planner(request_mix mix, call_shape shape, std::string runName, std::uint64_t seed)
    : m_mix(std::move(mix))
    , m_shape(shape)
    , m_runName(std::move(runName))
    , m_source(seed)
{
}

planned_call call_planner::next(call_route route)
{
    planned_call call;
    call.requestId = m_runName + "-" + std::to_string(m_count++);
    call.route = route;
    call.entry = m_mix.draw(m_source);
    call.path = fillPath(call.entry.path, uniformBelow(m_source, pathNumbers));
    if (methodHasBody(call.entry.method))
        call.body = makeBody(call.requestId);
    auto const deadline = m_shape.deadline.value_or(call.entry.deadline);
    call.timeout = deadline > milliseconds::zero() ? deadline + answerMargin : defaultTimeout;
    call.headers = makeHeaders(call);
    return call;
}

std::string call_planner::makeBody(std::string const& requestId)
{
    std::string body = requestId + " ";
    while (body.size() < m_shape.bodyBytes)
        body += static_cast<char>('a' + uniformBelow(m_source, 26));
    return body;
}

std::vector<http_field> call_planner::makeHeaders(planned_call const& call) const
{
    std::vector<http_field> headers { { "Request-Id", call.requestId } };
    if (m_shape.work)
        headers.push_back({ "Work-Ms", std::to_string(m_shape.work->count()) });
    if (m_shape.paddingBytes > 0)
        headers.push_back({ "Padding-Bytes", std::to_string(m_shape.paddingBytes) });
    if (m_shape.deadline)
        headers.push_back({ "Merlinpier-Deadline-Ms", std::to_string(m_shape.deadline->count()) });
    if (m_shape.hasIdempotencyKey)
        headers.push_back({ "Idempotency-Key", call.requestId });
    std::string chain;
    for (unsigned i = 1; i < m_shape.depth; ++i)
        chain += (chain.empty() ? "" : ",") + callPath(call);
    if (!chain.empty())
        headers.push_back({ "Call-Next", chain });
    return headers;
}

http_client_request makeRequest(planned_call const& call, std::string const& address)
{
    http_client_request request;
    request.method = call.entry.method;
    request.url = "http://" + address + (call.route == call_route::Direct ? call.path : callPath(call));
    request.headers = call.headers;
    request.body = call.body;
    request.timeout = call.timeout;
    // A repeat by libcurl would be a second request of the caller, which no one could tell from a doubled run.
    request.reuse = call.entry.isIdempotent ? connection_reuse::Allowed : connection_reuse::Forbidden;
    return request;
}

} // namespace merlinpier
