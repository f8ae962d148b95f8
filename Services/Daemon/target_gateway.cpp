#include "target_gateway.h"

#include "caller_answer.h"

namespace merlinpier {

namespace {

constexpr char const* notRunHeader = "Merlinpier-Not-Run";
// A target on the own VM accepts within this time or does not run.
constexpr milliseconds targetConnectTimeout { 500 };

// By this header a target vouches that it ran nothing of the call.
bool isShed(http_response const& response)
{
    return response.status == 503 && response.header(notRunHeader).value_or("") == "true";
}

http_client_request requestFor(run_call const& wanted)
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
    request.timeout = wanted.timeout;
    request.connectTimeout = std::min(wanted.timeout, targetConnectTimeout);
    request.reuse = wanted.call.isIdempotent ? connection_reuse::Allowed : connection_reuse::Forbidden;
    return request;
}

call_answer answerFrom(std::string const& id, http_response response)
{
    call_answer answer;
    answer.id = id;
    answer.status = static_cast<std::uint32_t>(response.status);
    for (auto& header : response.headers) {
        if (!isHopByHop(header.name))
            answer.headers.push_back({ std::move(header.name), std::move(header.value) });
    }
    answer.body = std::move(response.body);
    return answer;
}

} // namespace

target_gateway::target_gateway(call_server_settings settings, milliseconds lease, peer_hub& hub, metrics& figures)
    : m_hub(hub)
    , m_metrics(figures)
    , m_targets(lease)
    , m_server(settings)
    , m_configuration(configuration_set::createEmpty())
    , m_http(http_client::create())
{
}

void target_gateway::setChangeHandler(std::function<void()> didChange) { m_didChange = std::move(didChange); }

void target_gateway::setConfiguration(std::shared_ptr<configuration_set const> configuration)
{
    {
        mutex_lock lock(m_mutex);
        m_configuration = std::move(configuration);
    }
    reportChange();
}

result<empty> target_gateway::announce(target_announcement const& announcement, std::uint64_t highestKnownClaim)
{
    {
        mutex_lock lock(m_mutex);
        TRY(m_targets.announce(announcement, highestKnownClaim, currentTime()));
    }
    reportChange();
    return empty {};
}

result<empty> target_gateway::drain(std::string const& id)
{
    {
        mutex_lock lock(m_mutex);
        TRY(m_targets.drain(id, currentTime()));
    }
    reportChange();
    return empty {};
}

result<empty> target_gateway::leave(std::string const& id)
{
    {
        mutex_lock lock(m_mutex);
        TRY(m_targets.leave(id, currentTime()));
    }
    reportChange();
    return empty {};
}

void target_gateway::drainAll()
{
    {
        mutex_lock lock(m_mutex);
        m_targets.drainAll(currentTime());
    }
    reportChange();
}

void target_gateway::didLoseClaim(std::string const& licence, std::uint64_t claim)
{
    {
        mutex_lock lock(m_mutex);
        m_targets.didLoseClaim(licence, claim);
    }
    reportChange();
}

std::vector<target_record> target_gateway::records() const
{
    mutex_lock lock(m_mutex);
    return m_targets.records(*m_configuration);
}

void target_gateway::raiseFence(std::uint64_t instance, std::uint64_t generation)
{
    mutex_lock lock(m_mutex);
    m_server.raiseFence({ instance, generation }, currentTime());
}

void target_gateway::didReceive(std::uint64_t instance, std::uint64_t generation, message const& content)
{
    call_origin const origin { instance, generation };
    auto const now = currentTime();
    mutex_lock lock(m_mutex);
    if (auto const* call = std::get_if<call_request>(&content))
        carryOut(m_server.didReceiveCall(origin, *call, m_targets, *m_configuration, now));
    else if (auto const* cancelled = std::get_if<call_cancel>(&content))
        carryOut(m_server.didReceiveCancel(origin, *cancelled, now));
    else if (auto const* acknowledged = std::get_if<call_acknowledge>(&content))
        m_server.didReceiveAcknowledge(origin, *acknowledged);
    else if (auto const* query = std::get_if<call_query>(&content))
        carryOut(m_server.didReceiveQuery(origin, *query, now));
}

void target_gateway::tick()
{
    {
        mutex_lock lock(m_mutex);
        m_targets.tick(currentTime());
        carryOut(m_server.tick(currentTime()));
    }
    reportChange();
}

std::size_t target_gateway::unsettled() const
{
    mutex_lock lock(m_mutex);
    return m_server.unsettled();
}

std::map<std::string, target_load> target_gateway::loads() const
{
    mutex_lock lock(m_mutex);
    return m_server.loads();
}

void target_gateway::carryOut(std::vector<server_action> actions)
{
    for (auto& action : actions) {
        if (auto* wanted = std::get_if<run_call>(&action)) {
            run(std::move(*wanted));
        } else if (auto const* aborted = std::get_if<abort_call>(&action)) {
            auto const exchange = m_exchanges.find(aborted->id);
            if (exchange != m_exchanges.end())
                m_http->cancel(exchange->second);
        } else if (auto const* reply = std::get_if<reply_to_origin>(&action)) {
            m_hub.sendToOrigin(reply->instance, reply->content);
        }
    }
}

void target_gateway::run(run_call wanted)
{
    std::string const id = wanted.call.id;
    m_metrics.add("merlinpier_target_runs_total");
    m_exchanges[id] = m_http->send(
        requestFor(wanted), [this, id](result<http_response> response) { didEnd(id, std::move(response)); });
}

void target_gateway::didEnd(std::string const& id, result<http_response> response)
{
    auto const now = currentTime();
    mutex_lock lock(m_mutex);
    m_exchanges.erase(id);
    if (!response.isError() && !isShed(response.value())) {
        carryOut(m_server.didFinish(id, answerFrom(id, response.releaseValue()), now));
        return;
    }
    bool const certainlyNotRun = !response.isError() || response.failure().kind == error_kind::Unavailable;
    carryOut(certainlyNotRun ? m_server.didFail(id, now) : m_server.didLose(id, now));
}

void target_gateway::reportChange()
{
    bool changed = false;
    {
        mutex_lock lock(m_mutex);
        auto records = m_targets.records(*m_configuration);
        changed = records != m_lastRecords;
        m_lastRecords = std::move(records);
    }
    if (changed && m_didChange)
        m_didChange();
}

} // namespace merlinpier
