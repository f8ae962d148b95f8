#include "own_target_dialect.h"

namespace merlinpier {

namespace {

constexpr char const* notRunHeader = "Merlinpier-Not-Run";
constexpr notice_headers noticeHeaders { "Merlinpier-Request-Limit", "Merlinpier-Leaving", "true", "Merlinpier-Load" };
// Fits into one frame between daemons, with its headers.
constexpr std::size_t maximumAnswerBytes = 3 * 1024 * 1024;
constexpr int statusServiceUnavailable = 503;
// A target on the own VM accepts within this time or does not run.
constexpr milliseconds targetConnectTimeout { 500 };

} // namespace

http_client_request own_target_dialect::requestFor(run_call const& wanted) const
{
    http_client_request request;
    request.method = wanted.call.method;
    request.url = "http://" + wanted.targetAddress + wanted.call.path;
    for (auto const& header : wanted.call.headers)
        request.headers.push_back({ header.name, header.value });
    request.headers.push_back({ "Merlinpier-Call-Id", wanted.call.id });
    request.headers.push_back({ "Merlinpier-Deadline-Ms", std::to_string(wanted.timeout.count()) });
    request.headers.push_back({ "Merlinpier-Hops", std::to_string(wanted.call.hops) });
    request.body = wanted.call.body;
    request.maximumBodyBytes = maximumAnswerBytes;
    request.timeout = wanted.timeout;
    request.connectTimeout = std::min(wanted.timeout, targetConnectTimeout);
    request.reuse = wanted.call.isIdempotent ? connection_reuse::Allowed : connection_reuse::Forbidden;
    return request;
}

target_verdict own_target_dialect::judge(run_call const&, http_response const& response) const
{
    bool const isShed
        = response.status == statusServiceUnavailable && response.header(notRunHeader).value_or("") == "true";
    return isShed ? target_verdict::NotRun : target_verdict::Ran;
}

target_notice own_target_dialect::readNotice(http_response const& response) const
{
    return readTargetNotice(response, noticeHeaders);
}

} // namespace merlinpier
