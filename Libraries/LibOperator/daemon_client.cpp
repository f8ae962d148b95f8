#include <LibOperator/daemon_client.h>

#include <LibConfiguration/submission_json.h>

namespace merlinpier {

namespace {

constexpr int statusOk = 200;

std::string joined(std::vector<std::string> const& names)
{
    std::string text;
    for (auto const& name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text;
}

} // namespace

daemon_client::daemon_client(http_client& client, std::vector<std::string> daemons)
    : m_client(client)
    , m_daemons(std::move(daemons))
{
}

result<std::string> daemon_client::get(std::string const& pathWithQuery, milliseconds timeout)
{
    http_client_request request;
    request.timeout = timeout;
    return exchange(request, pathWithQuery);
}

result<std::string> daemon_client::post(std::string const& path, std::string const& body, milliseconds timeout)
{
    http_client_request request;
    request.method = "POST";
    request.headers = { { "Content-Type", "application/json" } };
    request.body = body;
    request.timeout = timeout;
    request.reuse = connection_reuse::Forbidden;
    return exchange(request, path);
}

result<std::string> daemon_client::remove(std::string const& path, milliseconds timeout)
{
    http_client_request request;
    request.method = "DELETE";
    request.timeout = timeout;
    request.reuse = connection_reuse::Forbidden;
    return exchange(request, path);
}

result<std::string> daemon_client::exchange(http_client_request const& request, std::string const& path)
{
    bool const isRead = request.method == "GET";
    std::string lastFailure;
    for (std::size_t tried = 0; tried < m_daemons.size(); ++tried) {
        auto attempt = request;
        attempt.url = "http://" + m_daemons[m_current] + path;
        auto const answer = sendAndWait(m_client, attempt);
        if (!answer.isError() && answer.value().status == statusOk)
            return answer.value().body;
        if (!answer.isError())
            return parseError(answer.value().body);
        selectNextDaemon();
        lastFailure = answer.failure().message;
        if (answer.failure().kind != error_kind::Unavailable && !isRead)
            return answer.failure();
    }
    return error { error_kind::Unavailable, "unable to reach any daemon of " + joined(m_daemons) + ": " + lastFailure,
        "check the addresses, or pass further daemons with --daemon" };
}

} // namespace merlinpier
