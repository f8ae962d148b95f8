#pragma once

#include "peer_hub.h"

#include <LibCalls/call_client.h>
#include <LibHttp/http_server.h>
#include <LibMetrics/metrics.h>
#include <map>
#include <memory>
#include <string>

namespace merlinpier {

// The first daemon's side of calls as a process part: drives call_client with requests of callers and with what arrives
// from the targets' daemons, and carries out its actions. Guarded by one lock of rank Calls, which is held while calls
// are handed to the hub, so that what the decisions believe sent and what was sent do not part.
class call_gateway {
public:
    call_gateway(call_client_settings, chooser_settings, peer_hub&, metrics&, std::uint64_t seed);

    // Starts a call; the responder gets its one final outcome.
    void start(caller_request, std::shared_ptr<http_responder>);
    void setSnapshot(std::shared_ptr<routing_snapshot const>);
    std::shared_ptr<routing_snapshot const> snapshot() const;

    void didReceive(std::string const& address, message const&);
    void didBecomeReady(std::string const& address, std::uint64_t instance, std::uint64_t generation);
    void didBecomeUnreachable(std::string const& address);
    void tick();

    std::size_t unsettled() const;
    call_client_totals totals() const;
    std::vector<std::string> ejected() const;

private:
    struct waiting_caller {
        std::shared_ptr<http_responder> responder;
        time_point startedAt;
    };
    // A call that has its final outcome, and everybody who waits for it.
    struct completion {
        complete_call finished;
        std::vector<waiting_caller> callers;
    };
    using completions = std::vector<completion>;

    completions carryOut(std::vector<client_action>) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void dispatch(std::string const& address, call_request) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::vector<waiting_caller> takeCallers(std::string const& id) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void answer(completions const&);
    void answerOne(complete_call const&, waiting_caller const&);
    void cancel(std::string const& id);

    peer_hub& m_hub;
    metrics& m_metrics;
    mutable mutex m_mutex { lock_rank::Calls };
    call_client m_client ABSL_GUARDED_BY(m_mutex);
    generator m_generator ABSL_GUARDED_BY(m_mutex);
    std::shared_ptr<routing_snapshot const> m_snapshot ABSL_GUARDED_BY(m_mutex);
    // A repeat with the same Idempotency-Key joins the same call.
    std::multimap<std::string, waiting_caller> m_callers ABSL_GUARDED_BY(m_mutex);
};

} // namespace merlinpier
