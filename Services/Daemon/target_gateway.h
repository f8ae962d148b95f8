#pragma once

#include "peer_hub.h"

#include <LibCalls/call_server.h>
#include <LibCalls/local_targets.h>
#include <LibHttp/http_client.h>
#include <LibMetrics/metrics.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace merlinpier {

// The targets of this VM and their daemon's side of calls as a process part: drives call_server with what other daemons
// send and with what the targets answer over HTTP, and carries out its actions. Guarded by one lock of rank Admission.
class target_gateway {
public:
    target_gateway(call_server_settings, milliseconds lease, peer_hub&, metrics&);

    // Called, with no lock held, when the records of the targets may have changed.
    void setChangeHandler(std::function<void()>);
    void setConfiguration(std::shared_ptr<configuration_set const>);

    result<empty> announce(target_announcement const&, std::uint64_t highestKnownClaim);
    result<empty> drain(std::string const& id);
    result<empty> leave(std::string const& id);
    void drainAll();
    void didLoseClaim(std::string const& licence, std::uint64_t claim);
    std::vector<target_record> records() const;

    void raiseFence(std::uint64_t instance, std::uint64_t generation);
    void didReceive(std::uint64_t instance, std::uint64_t generation, message const&);
    void tick();

    std::size_t unsettled() const;
    std::map<std::string, target_load> loads() const;

private:
    void carryOut(std::vector<server_action>) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void run(run_call) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void didEnd(std::string const& id, result<http_response>);
    void reportChange();

    peer_hub& m_hub;
    metrics& m_metrics;
    std::function<void()> m_didChange;
    mutable mutex m_mutex { lock_rank::Admission };
    local_targets m_targets ABSL_GUARDED_BY(m_mutex);
    call_server m_server ABSL_GUARDED_BY(m_mutex);
    std::shared_ptr<configuration_set const> m_configuration ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, http_exchange_id> m_exchanges ABSL_GUARDED_BY(m_mutex);
    std::vector<target_record> m_lastRecords ABSL_GUARDED_BY(m_mutex);
    std::unique_ptr<http_client> m_http;
};

} // namespace merlinpier
