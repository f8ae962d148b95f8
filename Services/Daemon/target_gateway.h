#pragma once

#include "peer_hub.h"
#include "target_dialect.h"

#include <LibCalls/call_server.h>
#include <LibCalls/local_targets.h>
#include <LibHttp/http_client.h>
#include <LibMembership/member_entry.h>
#include <LibMetrics/metrics.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace merlinpier {

// The targets of this VM and their daemon's side of calls as a process part: drives call_server with what other daemons
// send and with what the targets answer over HTTP, and carries out its actions.
class target_gateway {
public:
    target_gateway(call_server_settings, milliseconds lease, std::shared_ptr<crashing_requests>, peer_hub&,
        http_client&, target_dialect const&, metrics&);

    // What rollouts say about the targets of this VM.
    struct rollout_view {
        // The order under which the target's runs are counted; 0 if none is under way.
        std::function<std::uint64_t(std::string const& service)> order;
        // Whether targets of the version refuse calls, and whether they may then be shown as drained.
        std::function<bool(std::string const& service, std::string const& version)> refuses;
        std::function<bool(std::string const& service)> mayRest;
    };
    // Follows rollouts from now on.
    void setRolloutView(rollout_view);

    // Called when the records of the targets may have changed.
    void setChangeHandler(std::function<void()>);
    void setConfiguration(std::shared_ptr<configuration_set const>);

    result<empty> announce(target_announcement const&, std::uint64_t highestKnownClaim);
    result<empty> drain(std::string const& id);
    // The target gets no new calls, but finishes what it has.
    result<empty> retire(std::string const& id, std::uint64_t startedAt = 0);
    result<empty> leave(std::string const& id);
    // Records of the targets of this VM that earlier processes of this daemon published.
    void didRestrictBefore(std::vector<target_record> const&);
    // Departures that earlier processes of this daemon stored. From then on, the orders to drain that they acknowledged
    // are known.
    void didDepartBefore(std::vector<target_departure> const&);
    // What earlier processes acknowledged is not known, so a target that may have been leaving is confirmed first.
    void awaitEarlierDepartures() { m_targets.awaitEarlierDepartures(); }
    // Whether the target gets no calls until it has reported once more.
    bool isUnconfirmed(std::string const& id) const { return m_targets.isUnconfirmed(id); }
    // The departure to record if the target leaves on its own account.
    std::optional<target_departure> departureOf(std::string const& id) const;
    // The state of an announced target, apart from rollouts; nullopt if it is not announced.
    std::optional<target_state> stateOf(std::string const& id) const;
    void drainAll();
    void didLoseClaim(std::string const& licence, std::uint64_t claim);
    std::vector<target_record> records() const;

    void raiseFence(std::uint64_t instance, std::uint64_t generation);
    void didReceive(std::uint64_t instance, std::uint64_t generation, message const&);
    void tick();

    std::size_t unsettled() const;
    std::size_t running() const { return m_server.running(); }
    // Whether a target of this VM may be at work on something that it makes calls for: a run that is under way, one
    // that ended a moment ago, or one that an earlier process of this daemon began.
    bool mayBeAtWork() const;
    void didFailInnerCall() { m_server.didFailInnerCall(currentTime()); }
    double retriedShare() const { return m_server.retriedShare(); }
    std::map<std::string, target_load> loads() const;
    // Calls refused because the VM's link could not send their answers in time.
    std::uint64_t linkRefusals() const { return m_server.linkRefusals(); }
    std::optional<admission_outlook> outlook(std::string const& target, admission_request const&) const;

private:
    void receiveCall(call_origin const&, call_request const&, time_point now);
    void carryOut(std::vector<server_action>);
    void didRefuse(call_refused const&);
    void run(run_call);
    void didEnd(std::string const& id, result<http_response>);
    // Finds out whether the target's process still takes connections, unless that is under way.
    void check(check_target const&);
    void didCheck(std::string const& target, listener_state);
    void followRollouts();
    void reportChange();
    // Takes in what a target says about itself in an answer to a call that was sent to it at the given time.
    void didReceiveNotice(std::string const& target, target_notice const&, target_verdict, time_point sentAt);
    void didReceiveLoad(std::string const& target, target_notice const&);
    void applyRequestLimit(std::string const& target, char const* source);

    struct running_exchange {
        run_call run;
        http_exchange_id exchange { 0 };
        time_point startedAt {};
    };

    peer_hub& m_hub;
    http_client& m_http;
    target_dialect const& m_dialect;
    metrics& m_metrics;
    std::function<void()> m_didChange;
    rollout_view m_rollouts;
    local_targets m_targets;
    std::shared_ptr<run_evidence> m_evidence;
    call_server m_server;
    std::shared_ptr<configuration_set const> m_configuration;
    std::map<std::string, running_exchange> m_exchanges;
    std::set<std::string> m_checkedTargets;
    // When a call was last seen running, or this daemon began.
    time_point m_lastAtWork { currentTime() };
    // Targets whose last announced load could not be used, so that it is logged once.
    std::set<std::string> m_targetsWithBadLoad;
    // Targets that a rollout has closed, and since when they have had no calls.
    std::map<std::string, time_point> m_restingSince;
    std::vector<target_record> m_lastRecords;
    // Shared with the callbacks of exchanges, which do nothing once the gateway is gone.
    std::shared_ptr<bool> m_isAlive;
};

} // namespace merlinpier
