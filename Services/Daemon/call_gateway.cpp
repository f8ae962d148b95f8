#include "call_gateway.h"

#include "caller_answer.h"

namespace merlinpier {

call_gateway::call_gateway(
    call_client_settings client, chooser_settings chooser, peer_hub& hub, metrics& figures, std::uint64_t seed)
    : m_hub(hub)
    , m_metrics(figures)
    , m_client(client, std::move(chooser))
    , m_generator(seed)
{
}

void call_gateway::start(caller_request request, std::shared_ptr<http_responder> responder)
{
    auto const id = request.id;
    completions done;
    {
        mutex_lock lock(m_mutex);
        m_callers.emplace(id, waiting_caller { responder, currentTime() });
        done = carryOut(m_client.start(std::move(request), currentTime(), m_generator));
    }
    if (done.empty())
        responder->setDisconnectHandler([this, id] { cancel(id); });
    answer(done);
}

void call_gateway::setSnapshot(std::shared_ptr<routing_snapshot const> snapshot)
{
    mutex_lock lock(m_mutex);
    m_snapshot = snapshot;
    m_client.setSnapshot(std::move(snapshot), currentTime());
}

std::shared_ptr<routing_snapshot const> call_gateway::snapshot() const
{
    mutex_lock lock(m_mutex);
    return m_snapshot;
}

void call_gateway::didReceive(std::string const& address, message const& content)
{
    completions done;
    {
        mutex_lock lock(m_mutex);
        done = carryOut(m_client.didReceive(address, content, currentTime(), m_generator));
        m_hub.setOutstanding(address, m_client.outstanding(address));
    }
    answer(done);
}

void call_gateway::didBecomeReady(std::string const& address, std::uint64_t instance, std::uint64_t generation)
{
    completions done;
    {
        mutex_lock lock(m_mutex);
        done = carryOut(m_client.didBecomeReady(address, instance, generation, currentTime(), m_generator));
        for (auto& call : m_hub.takeWaiting(address))
            dispatch(address, std::move(call));
    }
    answer(done);
}

void call_gateway::didBecomeUnreachable(std::string const& address)
{
    completions done;
    {
        mutex_lock lock(m_mutex);
        // The decisions send these elsewhere themselves, so the hub must not send them as well.
        m_hub.takeWaiting(address);
        done = carryOut(m_client.didBecomeUnreachable(address, currentTime(), m_generator));
        m_hub.setOutstanding(address, m_client.outstanding(address));
    }
    answer(done);
}

void call_gateway::tick()
{
    completions done;
    {
        mutex_lock lock(m_mutex);
        done = carryOut(m_client.tick(currentTime(), m_generator));
    }
    answer(done);
}

void call_gateway::cancel(std::string const& id)
{
    completions done;
    {
        mutex_lock lock(m_mutex);
        done = carryOut(m_client.cancel(id, currentTime()));
    }
    answer(done);
}

std::size_t call_gateway::unsettled() const
{
    mutex_lock lock(m_mutex);
    return m_client.unsettled();
}

call_client_totals call_gateway::totals() const
{
    mutex_lock lock(m_mutex);
    return m_client.totals();
}

std::vector<std::string> call_gateway::ejected() const
{
    mutex_lock lock(m_mutex);
    return m_client.chooser().ejected(currentTime());
}

call_gateway::completions call_gateway::carryOut(std::vector<client_action> actions)
{
    completions done;
    for (auto& action : actions) {
        if (auto* wanted = std::get_if<dispatch_call>(&action)) {
            dispatch(wanted->address, std::move(wanted->call));
        } else if (auto const* about = std::get_if<send_to_target>(&action)) {
            std::visit([&](auto const& content) { m_hub.sendAboutCall(about->address, content); }, about->content);
        } else if (auto const* back = std::get_if<take_back_call>(&action)) {
            m_hub.dropWaiting(back->address, back->id);
        } else if (auto* finished = std::get_if<complete_call>(&action)) {
            auto callers = takeCallers(finished->id);
            done.push_back({ std::move(*finished), std::move(callers) });
        }
    }
    return done;
}

void call_gateway::dispatch(std::string const& address, call_request call)
{
    std::string const id = call.id;
    if (auto const generation = m_hub.sendCall(address, std::move(call)))
        m_client.didSend(id, address, *generation, currentTime());
    m_hub.setOutstanding(address, m_client.outstanding(address));
}

void call_gateway::answer(completions const& done)
{
    for (auto const& [finished, callers] : done) {
        for (auto const& caller : callers)
            answerOne(finished, caller);
    }
}

std::vector<call_gateway::waiting_caller> call_gateway::takeCallers(std::string const& id)
{
    std::vector<waiting_caller> callers;
    auto const [first, last] = m_callers.equal_range(id);
    for (auto it = first; it != last; ++it)
        callers.push_back(it->second);
    m_callers.erase(first, last);
    return callers;
}

void call_gateway::answerOne(complete_call const& finished, waiting_caller const& caller)
{
    auto const spent = std::chrono::duration<double, std::milli>(currentTime() - caller.startedAt);
    m_metrics.observe("merlinpier_call_ms", spent.count());
    m_metrics.add(std::string("merlinpier_calls_total{outcome=\"") + outcomeName(finished.outcome) + "\"}");
    if (auto const* refused = std::get_if<call_not_run>(&finished.outcome))
        m_metrics.add(std::string("merlinpier_calls_not_run_total{reason=\"") + reasonName(refused->reason) + "\"}");
    caller.responder->respond(callerAnswer(finished.id, finished.outcome));
}

} // namespace merlinpier
