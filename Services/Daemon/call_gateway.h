#pragma once

#include "peer_hub.h"

#include <LibCalls/call_client.h>
#include <LibHttp/http_server.h>
#include <LibMetrics/metrics.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace merlinpier {

// Receives the call's identifier and its final outcome.
using call_completion = std::function<void(std::string const& id, final_outcome)>;

// The first daemon's side of calls as a process part: drives call_client with requests of callers and with what arrives
// from the targets' daemons, and carries out its actions.
class call_gateway {
public:
    call_gateway(call_client_settings, chooser_settings, std::shared_ptr<crashing_requests>,
        std::shared_ptr<rollout_exposure>, peer_hub&, metrics&, std::uint64_t seed);

    // Starts a call; the completion gets its one final outcome, unless the responder's caller has gone before.
    void start(caller_request, std::shared_ptr<http_responder> const&, call_completion);
    // Called when a target has said in an answer that it leaves, with the start time of its incarnation.
    void setDepartureHandler(std::function<void(std::string const& target, std::uint64_t startedAt)>);
    void setDaemons(std::size_t count) { m_client.setDaemons(count); }
    void setSnapshot(std::shared_ptr<routing_snapshot const>);
    std::shared_ptr<routing_snapshot const> snapshot() const;

    void didReceive(std::string const& address, message);
    void didBecomeReady(std::string const& address, std::uint64_t instance, std::uint64_t generation);
    void didBecomeUnreachable(std::string const& address);
    void tick();
    // The process stops and ends after the given time: all calls get their outcome before.
    void beginStop(duration timeLeft) { m_client.beginStop(currentTime(), currentTime() + timeLeft); }

    // What would become of a call that was started now; changes nothing.
    call_explanation explain(caller_request) const;
    std::size_t unsettled() const;
    // The call whose caller has waited longest, for the log of a stop.
    struct waiting_call {
        std::string id;
        duration waitingFor { 0 };
    };
    std::optional<waiting_call> longestWaiting() const;
    call_client_totals totals() const;
    std::vector<std::string> ejected() const;

private:
    struct waiting_caller {
        std::uint64_t number { 0 };
        call_completion completion;
        time_point startedAt;
    };
    // A call that has its final outcome, and everybody who waits for it.
    struct completion {
        complete_call finished;
        std::vector<waiting_caller> callers;
    };
    using completions = std::vector<completion>;

    completions carryOut(std::vector<client_action>);
    void dispatch(std::string const& address, call_request);
    std::vector<waiting_caller> takeCallers(std::string const& id);
    void answer(completions);
    void answerOne(complete_call, waiting_caller const&);
    void cancel(std::string const& id, std::uint64_t callerNumber);

    peer_hub& m_hub;
    metrics& m_metrics;
    call_client m_client;
    generator m_generator;
    std::shared_ptr<routing_snapshot const> m_snapshot;
    std::function<void(std::string const& target, std::uint64_t startedAt)> m_didDepart;
    // A repeat with the same Idempotency-Key joins the same call.
    std::multimap<std::string, waiting_caller> m_callers;
    std::uint64_t m_lastCaller { 0 };
};

} // namespace merlinpier
