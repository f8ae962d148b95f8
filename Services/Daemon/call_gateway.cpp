#include "call_gateway.h"

#include "caller_answer.h"

#include <LibCalls/request_fingerprint.h>
#include <LibCore/log.h>
#include <algorithm>

namespace merlinpier {

call_gateway::call_gateway(call_client_settings client, chooser_settings chooser,
    std::shared_ptr<crashing_requests> crashing, std::shared_ptr<rollout_exposure> exposure, peer_hub& hub,
    metrics& figures, std::uint64_t seed)
    : m_hub(hub)
    , m_metrics(figures)
    , m_client(client, std::move(chooser), std::move(crashing), std::move(exposure))
    , m_generator(seed)
{
}

void call_gateway::start(
    caller_request request, std::shared_ptr<http_responder> const& responder, call_completion completion)
{
    auto const id = request.id;
    logInfo("call_received",
        { { "call", id }, { "service", request.service }, { "caller", request.caller },
            { "kind", request.policy ? request.policy->name : "" },
            { "priority", request.policy ? static_cast<int>(request.policy->priority) : 0 },
            { "version", m_snapshot ? m_snapshot->version() : 0 },
            { "remaining_ms", request.remaining ? request.remaining->count() : 0 },
            { "request", fingerprintText(requestFingerprint(request.caller, request.path, request.body)) } });
    auto const number = ++m_lastCaller;
    m_callers.emplace(id, waiting_caller { number, std::move(completion), currentTime() });
    auto done = carryOut(m_client.start(std::move(request), currentTime(), m_generator));
    if (done.empty())
        responder->setDisconnectHandler([this, id, number] { cancel(id, number); });
    answer(std::move(done));
}

void call_gateway::setDepartureHandler(std::function<void(std::string const&, std::uint64_t)> didDepart)
{
    m_didDepart = std::move(didDepart);
}

void call_gateway::setSnapshot(std::shared_ptr<routing_snapshot const> snapshot)
{
    m_snapshot = snapshot;
    m_client.setSnapshot(std::move(snapshot), currentTime());
}

call_explanation call_gateway::explain(caller_request request) const
{
    return m_client.explain(std::move(request), currentTime(), m_generator);
}

std::shared_ptr<routing_snapshot const> call_gateway::snapshot() const { return m_snapshot; }

void call_gateway::didReceive(std::string const& address, message content)
{
    completions done;
    done = carryOut(m_client.didReceive(address, content, currentTime(), m_generator));
    m_hub.setOutstanding(address, m_client.outstanding(address));
    // The callers get the body itself rather than a copy if nothing else shares it.
    content = message();
    answer(std::move(done));
}

void call_gateway::didBecomeReady(std::string const& address, std::uint64_t instance, std::uint64_t generation)
{
    completions done;
    done = carryOut(m_client.didBecomeReady(address, instance, generation, currentTime(), m_generator));
    for (auto& call : m_hub.takeWaiting(address))
        dispatch(address, std::move(call));
    answer(std::move(done));
}

void call_gateway::didBecomeUnreachable(std::string const& address)
{
    completions done;
    // The decisions send these elsewhere themselves, so the hub must not send them as well.
    m_hub.takeWaiting(address);
    done = carryOut(m_client.didBecomeUnreachable(address, currentTime(), m_generator));
    m_hub.setOutstanding(address, m_client.outstanding(address));
    answer(std::move(done));
}

void call_gateway::tick()
{
    completions done;
    done = carryOut(m_client.tick(currentTime(), m_generator));
    answer(std::move(done));
}

void call_gateway::cancel(std::string const& id, std::uint64_t callerNumber)
{
    auto const [first, last] = m_callers.equal_range(id);
    auto const found
        = std::find_if(first, last, [&](auto const& entry) { return entry.second.number == callerNumber; });
    if (found == last)
        return;
    auto const spent = currentTime() - found->second.startedAt;
    m_callers.erase(found);
    m_metrics.add("merlinpier_calls_abandoned_total");
    logInfo("call_abandoned", { { "call", id }, { "after_ms", toMilliseconds(spent) } });
    answer(carryOut(m_client.cancel(id, currentTime())));
}

std::size_t call_gateway::unsettled() const { return m_client.unsettled(); }

std::optional<call_gateway::waiting_call> call_gateway::longestWaiting() const
{
    auto const longest = std::min_element(m_callers.begin(), m_callers.end(),
        [](auto const& first, auto const& second) { return first.second.startedAt < second.second.startedAt; });
    if (longest == m_callers.end())
        return std::nullopt;
    return waiting_call { longest->first, currentTime() - longest->second.startedAt };
}

call_client_totals call_gateway::totals() const { return m_client.totals(); }

std::vector<std::string> call_gateway::ejected() const { return m_client.chooser().ejected(currentTime()); }

call_gateway::completions call_gateway::carryOut(std::vector<client_action> actions)
{
    completions done;
    for (auto& action : actions) {
        if (auto* wanted = std::get_if<dispatch_call>(&action)) {
            logInfo("call_dispatched",
                { { "call", wanted->call.id }, { "target", wanted->call.target }, { "to", wanted->address },
                    { "remaining_ms", static_cast<std::uint64_t>(wanted->call.remainingMs) },
                    { "late", wanted->call.isLate ? "yes" : "no" } });
            dispatch(wanted->address, std::move(wanted->call));
        } else if (auto const* about = std::get_if<send_to_target>(&action)) {
            std::visit([&](auto const& content) { m_hub.sendAboutCall(about->address, content); }, about->content);
        } else if (auto const* back = std::get_if<withdraw_dispatch>(&action)) {
            m_hub.dropWaiting(back->address, back->id);
        } else if (auto const* departed = std::get_if<target_departed>(&action)) {
            if (m_didDepart)
                m_didDepart(departed->target, departed->startedAt);
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

void call_gateway::answer(completions done)
{
    for (auto& [finished, callers] : done) {
        for (std::size_t i = 0; i + 1 < callers.size(); ++i)
            answerOne(finished, callers[i]);
        if (!callers.empty())
            answerOne(std::move(finished), callers.back());
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

void call_gateway::answerOne(complete_call finished, waiting_caller const& caller)
{
    auto const spent = std::chrono::duration<double, std::milli>(currentTime() - caller.startedAt);
    m_metrics.observe("merlinpier_call_ms", spent.count());
    m_metrics.add(std::string("merlinpier_calls_total{outcome=\"") + outcomeName(finished.outcome) + "\"}");
    if (auto const* refused = std::get_if<call_not_run>(&finished.outcome))
        m_metrics.add(std::string("merlinpier_calls_not_run_total{reason=\"") + reasonName(refused->reason) + "\"}");
    if (auto const* answered = std::get_if<call_answered>(&finished.outcome))
        logInfo("call_answered",
            { { "call", finished.id }, { "target", answered->target },
                { "status", static_cast<std::uint64_t>(answered->answer.status) },
                { "attempts", static_cast<std::uint64_t>(answered->attempts) },
                { "load_permille", static_cast<std::uint64_t>(answered->answer.loadPermille) },
                { "after_ms", static_cast<std::int64_t>(spent.count()) } });
    else if (auto const* refused = std::get_if<call_not_run>(&finished.outcome))
        logWarning("call_not_run",
            { { "call", finished.id }, { "reason", reasonName(refused->reason) },
                { "retry_after_ms", static_cast<std::uint64_t>(refused->retryAfterMs) },
                { "after_ms", static_cast<std::int64_t>(spent.count()) } });
    else
        logWarning("call_outcome_unknown",
            { { "call", finished.id }, { "reason", std::get<call_outcome_unknown>(finished.outcome).message },
                { "after_ms", static_cast<std::int64_t>(spent.count()) } });
    caller.completion(finished.id, std::move(finished.outcome));
}

} // namespace merlinpier
