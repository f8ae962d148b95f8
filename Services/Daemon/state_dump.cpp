#include "state_dump.h"

#include "rollout_report.h"

#include <LibCalls/request_fingerprint.h>
#include <LibCore/json_text.h>
#include <LibWire/state_names.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace merlinpier {

namespace {

// The metric of a target that takes no requests at all: 0 stands for no limit.
constexpr double smallestShownLimit = 0.001;

// Requests a second, or null.
nlohmann::json limitJson(std::optional<double> const& limit)
{
    return limit ? nlohmann::json(*limit) : nlohmann::json();
}

nlohmann::json targetJson(target_record const& target)
{
    return { { "id", target.id }, { "service", target.service }, { "licence", target.licence },
        { "claim", target.claim }, { "state", stateName(target.state) }, { "slots", target.slots },
        { "request_limit", limitJson(target.requestLimit()) }, { "version", target.version } };
}

nlohmann::json memberJson(member_record const& record)
{
    nlohmann::json targets = nlohmann::json::array();
    for (auto const& target : record.targets)
        targets.push_back(targetJson(target));
    return { { "vm", record.vm }, { "zone", record.zone }, { "address", record.address },
        { "http_address", record.httpAddress }, { "incarnation", record.incarnation }, { "sequence", record.sequence },
        { "instance", record.instance }, { "state", stateName(record.state) },
        { "applied_version", record.appliedVersion }, { "refused_version", record.refusedVersion },
        { "refused_reason", record.refusedReason }, { "targets", targets } };
}

nlohmann::json configurationJson(daemon& owner)
{
    auto const summary = owner.configuration().summary();
    return { { "applied", summary.applied }, { "highest_known", summary.highestKnown }, { "floor", summary.floor },
        { "refused", summary.refused }, { "refused_reason", summary.refusedReason }, { "ready", summary.isReady },
        { "platform_silent_ms", summary.platformSilentFor.value_or(milliseconds(0)).count() } };
}

nlohmann::json membershipJson(daemon& owner)
{
    auto const table = owner.membership().table();
    auto const peers = owner.membership().peers();
    nlohmann::json members = nlohmann::json::array();
    for (auto const& [vm, record] : table.records())
        members.push_back(memberJson(record));
    return { { "self", memberJson(owner.membership().self()) }, { "is_relay", peers.isRelay },
        { "relays", peers.relays }, { "subscribers", peers.subscribers }, { "remote_relays", peers.remoteRelays },
        { "suspects", owner.membership().suspects() }, { "members", members } };
}

// The part of a target's load that concerns the order of waiting calls.
nlohmann::json orderJson(target_load const& load)
{
    nlohmann::json ranks = nlohmann::json::array();
    for (auto const& item : load.rankLoads) {
        ranks.push_back({ { "report", item.rank.isReport }, { "tenant_priority", item.rank.tenantPriority },
            { "priority", item.rank.priority }, { "offered_share", item.share } });
    }
    auto const& totals = load.orderTotals;
    return { { "order", orderName(load.order) }, { "ranks", ranks },
        { "tenants_beyond_share", load.tenantsBeyondShare }, { "refused_on_arrival", totals.refusedOnArrival },
        { "displaced", totals.displaced }, { "invited_back", totals.invitedBack },
        { "returned_offered", totals.returnedOffered }, { "returned_started", totals.returnedStarted },
        { "started_by_minimum_share", totals.startedByMinimumShare } };
}

nlohmann::json callsJson(daemon& owner)
{
    auto const totals = owner.calls().totals();
    nlohmann::json targets = nlohmann::json::array();
    for (auto const& [id, load] : owner.targets().loads())
        targets.push_back(
            { { "id", id }, { "slots", load.slots }, { "running", load.running }, { "queued", load.queued },
                { "load_permille", load.loadPermille }, { "request_limit", limitJson(load.requestLimit) },
                { "pace_percent", load.pacePercent }, { "service_order", orderJson(load) } });
    return { { "calls", totals.calls }, { "answered", totals.answered }, { "not_run", totals.notRun },
        { "unknown", totals.unknown }, { "retries", totals.retries }, { "queries", totals.queries },
        { "second_runs",
            { { "sent", totals.hedges }, { "won", totals.hedgesWon }, { "wasted", totals.hedgesWasted } } },
        { "unsettled", owner.calls().unsettled() }, { "ejected", owner.calls().ejected() }, { "own_targets", targets },
        { "own_targets_unsettled", owner.targets().unsettled() } };
}

nlohmann::json routesJson(daemon& owner)
{
    nlohmann::json services = nlohmann::json::object();
    auto const snapshot = owner.calls().snapshot();
    if (!snapshot)
        return services;
    for (auto const& [name, route] : snapshot->services()) {
        auto& targets = services[name] = nlohmann::json::array();
        for (auto const& target : route.targets)
            targets.push_back(target.id);
    }
    return services;
}

char const* standingName(request_standing standing)
{
    switch (standing) {
    case request_standing::Clear:
        return "clear";
    case request_standing::Suspect:
        return "suspect";
    case request_standing::Blocked:
        return "blocked";
    }
    return "clear";
}

nlohmann::json crashingRequestsJson(daemon& owner)
{
    nlohmann::json requests = nlohmann::json::array();
    for (auto const& suspect : owner.crashing().suspects(currentTime()))
        requests.push_back({ { "request", fingerprintText(suspect.evidence.request) },
            { "standing", standingName(suspect.evidence.standing) }, { "crashes", suspect.evidence.crashes },
            { "tested_crashes", suspect.evidence.testedCrashes },
            { "blocked_ms", toMilliseconds(suspect.blockedFor) } });
    return requests;
}

nlohmann::json tenantsJson(daemon& owner)
{
    return nlohmann::json::parse(owner.tenants().allJson(owner.configuration().applied()->tenants()));
}

nlohmann::json transportJson(daemon& owner)
{
    auto const totals = owner.hub().totals();
    return { { "bytes_sent", totals.bytesSent }, { "bytes_received", totals.bytesReceived },
        { "bulk_bytes_sent", totals.bulkBytesSent }, { "bytes_waiting", totals.bytesWaiting },
        { "bulk_bytes_waiting", totals.bulkBytesWaiting }, { "parts_sent", totals.partsSent },
        { "bulk_frames_expired", totals.bulkFramesExpired }, { "connections_open", totals.connectionsOpen },
        { "connections_accepted", totals.connectionsAccepted }, { "link_refusals", owner.targets().linkRefusals() },
        { "control_bytes", owner.hub().controlBytes() } };
}

// The number of ranks is that of the configured priorities; only ranks with load are shown.
void setOrderGauges(metrics& figures, std::string const& target, target_load const& load)
{
    bool const isInForce = load.order == admission_order::ServiceOrder;
    auto const set = [&](char const* name, double value) {
        figures.setGauge("merlinpier_service_order" + std::string(name) + "{target=\"" + target + "\"}", value);
    };
    set("", isInForce);
    if (!isInForce)
        return;
    auto const& totals = load.orderTotals;
    set("_refused_on_arrival", static_cast<double>(totals.refusedOnArrival));
    set("_displaced", static_cast<double>(totals.displaced));
    set("_invited_back", static_cast<double>(totals.invitedBack));
    set("_returned_offered", static_cast<double>(totals.returnedOffered));
    set("_returned_started", static_cast<double>(totals.returnedStarted));
    set("_started_by_minimum_share", static_cast<double>(totals.startedByMinimumShare));
    set("_tenants_beyond_share", static_cast<double>(load.tenantsBeyondShare.size()));
}

double residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    double pages = 0;
    double resident = 0;
    statm >> pages >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

std::string stateDump(daemon& owner)
{
    nlohmann::json const dump { { "vm", owner.settings().vm }, { "zone", owner.settings().zone },
        { "instance", owner.instance() }, { "draining", owner.isDraining() },
        { "configuration", configurationJson(owner) }, { "membership", membershipJson(owner) },
        { "routes", routesJson(owner) }, { "calls", callsJson(owner) },
        { "crashing_requests", crashingRequestsJson(owner) },
        { "rollouts", nlohmann::json::parse(rolloutsJson(owner)) }, { "tenants", tenantsJson(owner) },
        { "transport", transportJson(owner) } };
    return dump.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string crashingRequests(daemon& owner) { return writeJson({ { "requests", crashingRequestsJson(owner) } }); }

std::string metricsText(daemon& owner)
{
    auto& figures = owner.figures();
    auto const summary = owner.configuration().summary();
    auto const totals = owner.hub().totals();
    figures.setGauge("merlinpier_applied_version", static_cast<double>(summary.applied));
    figures.setGauge("merlinpier_highest_known_version", static_cast<double>(summary.highestKnown));
    figures.setGauge("merlinpier_peer_bytes_sent", static_cast<double>(totals.bytesSent));
    figures.setGauge("merlinpier_peer_bytes_received", static_cast<double>(totals.bytesReceived));
    auto const control = owner.hub().controlBytesSent();
    auto const bulk = totals.bulkBytesSent;
    figures.setGauge("merlinpier_sent_bytes{class=\"control\"}", static_cast<double>(control));
    figures.setGauge("merlinpier_sent_bytes{class=\"bulk\"}", static_cast<double>(bulk));
    figures.setGauge("merlinpier_waiting_bytes{class=\"bulk\"}", static_cast<double>(totals.bulkBytesWaiting));
    figures.setGauge("merlinpier_waiting_bytes{class=\"other\"}", static_cast<double>(totals.bytesWaiting));
    figures.setGauge("merlinpier_bulk_frames_expired", static_cast<double>(totals.bulkFramesExpired));
    figures.setGauge("merlinpier_link_refusals", static_cast<double>(owner.targets().linkRefusals()));
    figures.setGauge("merlinpier_control_bytes", static_cast<double>(owner.hub().controlBytes()));
    figures.setGauge("merlinpier_peer_connections", static_cast<double>(totals.connectionsOpen));
    figures.setGauge("merlinpier_retries", static_cast<double>(owner.calls().totals().retries));
    auto const calls = owner.calls().totals();
    figures.setGauge("merlinpier_second_runs{outcome=\"sent\"}", static_cast<double>(calls.hedges));
    figures.setGauge("merlinpier_second_runs{outcome=\"won\"}", static_cast<double>(calls.hedgesWon));
    figures.setGauge("merlinpier_second_runs{outcome=\"wasted\"}", static_cast<double>(calls.hedgesWasted));
    auto const suspects = owner.crashing().suspects(currentTime());
    auto const blocked = std::count_if(suspects.begin(), suspects.end(),
        [](auto const& suspect) { return suspect.evidence.standing == request_standing::Blocked; });
    figures.setGauge("merlinpier_blocked_requests", static_cast<double>(blocked));
    figures.setGauge(
        "merlinpier_suspected_requests", static_cast<double>(suspects.size()) - static_cast<double>(blocked));
    figures.setGauge("merlinpier_resident_bytes", residentBytes());
    figures.setGauge("merlinpier_connection_handler_failures", static_cast<double>(owner.loop().failures()));
    figures.setGauge("merlinpier_event_loop_longest_lag_seconds",
        std::chrono::duration<double>(owner.loop().takeLongestLag()).count());
    figures.setGauge("merlinpier_members", static_cast<double>(owner.membership().table().records().size()));
    for (auto const& [id, load] : owner.targets().loads()) {
        auto const label = "{target=\"" + id + "\"}";
        figures.setGauge("merlinpier_target_load_permille" + label, load.loadPermille);
        figures.setGauge("merlinpier_target_request_limit" + label,
            load.requestLimit ? std::max(*load.requestLimit, smallestShownLimit) : 0);
        figures.setGauge("merlinpier_target_pace_percent" + label, load.pacePercent);
        setOrderGauges(figures, id, load);
    }
    setRolloutMetrics(owner);
    owner.tenants().setGauges();
    return figures.prometheusText();
}

} // namespace merlinpier
