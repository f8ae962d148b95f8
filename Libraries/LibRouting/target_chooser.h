#pragma once

#include <LibCore/generator.h>
#include <LibCore/time.h>
#include <LibRouting/link_load.h>
#include <LibRouting/routing_snapshot.h>
#include <LibRouting/target_observation.h>
#include <LibRouting/target_outlook.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace merlinpier {

// The load-balancing policy. LeastLoadedOfTwo takes the less loaded of two random targets, Random is a baseline for
// measurements, and ExpectedFinish weighs when the call is expected to end against the cost of leaving the zone.
enum class choice_policy { LeastLoadedOfTwo, Random, ExpectedFinish };

// The properties of a call that the choice of its target depends on.
struct call_demand {
    // The name of the call's policy; service times and refusals are kept by kind.
    std::string kind;
    // The time left of the latency objective, or of the deadline if there is no objective.
    duration objective { 0 };
    // Expected size of the bodies of request and answer together.
    std::size_t bytes { 0 };
    // Size of the request's body, which is transferred for nothing if the target refuses the call.
    std::size_t requestBytes { 0 };
    // Whether the answer is large, so that the link of the target's VM counts like its slots.
    bool isBulk { false };

    bool operator==(call_demand const&) const = default;
};

struct chooser_settings {
    // The availability zone of this daemon.
    std::string zone;
    choice_policy policy { choice_policy::LeastLoadedOfTwo };
    // Calls spill over to other zones when the targets of the own zone are loaded above this many thousandths of their
    // slots.
    std::uint32_t spilloverPermille { 900 };
    // A target is ejected after this many consecutive failures: for the base time at first, then for twice as long each
    // time, up to the maximum.
    std::uint32_t consecutiveFailuresToEject { 3 };
    milliseconds baseEjectionTime { 1000 };
    milliseconds maximumEjectionTime { 30000 };
    // At most this share of a service's targets is ejected at once, and never the last one.
    double maximumEjectedShare { 0.5 };
    // A load report older than this does not count towards the load score.
    milliseconds loadReportLifetime { 2000 };
    // For ExpectedFinish: the number of targets of the own zone that are asked in turn to start a call at once, before
    // it may wait in a target's queue.
    std::uint32_t probes { 2 };
    // For ExpectedFinish, as fractions of the value of a call that ends in time: the loss if it is late, and the cost
    // of each kilobyte transferred between availability zones.
    double latenessCost { 0.6 };
    double crossZoneCostPerKilobyte { 0.14 };
    // The VM of this daemon, on which answers pass no link.
    std::string vm {};
};

// Whether a call with an idempotency key may leave the first target of its rendezvous order. Strict never leaves it,
// whatever its load and failures, so that a repeat reaches the ledger that knows the key. LoadAware skips targets that
// are ejected or loaded above the spillover threshold.
enum class key_affinity { Strict, LoadAware };

// How an attempt ended, as far as it tells about the target. Unreachable and Lost count as failures.
enum class attempt_outcome { Answered, Refused, Unreachable, Lost };

// Chooses targets by what this daemon observes of its own calls: attempts in flight, loads and service times reported
// by answers, refusals and failures. It polls no health or load endpoint. Not thread-safe; the caller passes time and
// random source.
class target_chooser {
public:
    explicit target_chooser(chooser_settings);

    // Chooses among the service's targets that have not been tried; returns nothing if none is left. Takes the less
    // loaded of two random targets of the own zone (power of two choices, Mitzenmacher 2001). If that one is loaded
    // above the spillover threshold, it takes the less loaded of two targets of any zone instead, unless that has more
    // load. With Random, every target is equally likely.
    std::optional<route_target> choose(
        service_route const&, std::set<std::string> const& tried, time_point now, generator&) const;
    // Chooses by the policy. ExpectedFinish takes the target of least cost, made up of the loss from a late end and the
    // transfer between zones; returns nothing also if all targets that are left are expected to refuse the call.
    std::optional<route_target> chooseFor(
        service_route const&, call_demand const&, std::set<std::string> const& tried, time_point now, generator&) const;
    // Returns how long a call of the kind is expected to take at the target if sent now: queueing and service time.
    duration expectedFinish(route_target const&, std::string const& kind, time_point now) const;
    // Returns how many eligible targets of the own zone have not been tried.
    std::size_t sameZoneTargetCount(service_route const&, std::set<std::string> const& tried, time_point now) const;
    chooser_settings const& settings() const { return m_settings; }
    // Whether to retry a call at the target after another target refused it.
    bool isRetryWorthwhile(route_target const&, call_demand const&, time_point now) const;
    // Chooses by rendezvous hashing (Thaler and Ravishankar 1998) over the targets of all zones, so that every daemon
    // chooses the same target for the same key. Strict includes targets that are leaving.
    std::optional<route_target> chooseForKey(service_route const&, std::set<std::string> const& tried,
        std::string const& key, key_affinity, time_point now) const;
    // Whether the target is loaded above the spillover threshold.
    bool isAboveSpillover(route_target const&, time_point now) const;
    // Records that an attempt was sent to the target.
    void didSend(std::string const& target, time_point now);
    // Records that a bulk call was sent to the target, or that it has ended, by the expected size of its answer.
    void didSendBulk(route_target const&, std::size_t bytes);
    void didEndBulk(route_target const&, std::size_t bytes);
    // Expected bytes of bulk answers under way on the link of the VM with that address, of this daemon's own calls.
    std::size_t bulkBytesUnderWay(std::string const& address) const;
    // Records that an attempt has ended, with the target's load in thousandths of its slots if the answer reported it.
    void didEnd(std::string const& target, attempt_outcome, std::optional<std::uint32_t> loadPermille, time_point now);
    // Records that the target's daemon refused a call of the kind for overload. Call didEnd() with the load first.
    void didRefuseForLoad(std::string const& target, std::string const& kind, duration retryAfter, time_point now);
    // If every untried target is expected to refuse the call now, returns after what time to retry it; nothing if there
    // is a target to send it to, or no target at all.
    std::optional<duration> expectedRetryAfter(
        service_route const&, call_demand const&, std::set<std::string> const& tried, time_point now) const;
    // Records the service time of calls of the kind that the target's daemon reported.
    void didReportServiceTime(std::string const& target, std::string const& kind, duration);
    // Records the target's pace, in percent of the usual time; 0 if the target announces none.
    void didReportPace(std::string const& target, std::uint32_t percent, time_point now);
    // Whether a target of the service has lately announced a pace.
    bool announcesPace(service_route const&, time_point now) const;
    // Drops the observations of targets that no service of the snapshot has any more, once no attempt is in flight;
    // starts the slow start of new ones.
    void setSnapshot(routing_snapshot const&, time_point now);
    // Returns what is known of each of the service's targets with regard to such a call.
    std::vector<target_outlook> outlook(service_route const&, call_demand const&, time_point now) const;
    // How chooseFor() chooses, for operators.
    char const* choiceRule() const;
    // Returns the ids of the targets that are ejected now.
    std::vector<std::string> ejected(time_point now) const;
    // Returns how many attempts are in flight to the target.
    std::size_t outstanding(std::string const& target) const;

private:
    using candidates = std::vector<route_target const*>;

    // Returns the untried targets that are not ejected; if there are none, the untried ones that are.
    candidates eligibleTargets(service_route const&, std::set<std::string> const& tried, time_point now) const;
    candidates withoutEjected(candidates, time_point now) const;
    route_target const* lessLoadedOfTwo(candidates const&, time_point now, generator&) const;
    std::uint64_t loadScore(route_target const&, time_point now) const;
    static candidates takeSample(candidates, generator&);
    bool hasFreshLoadReport(route_target const&, time_point now) const;
    // Returns the recent refusal by a target of another zone that the call is expected to meet again; null if the call
    // may be sent there.
    load_refusal const* expectedRefusal(route_target const&, call_demand const&, time_point now) const;
    // The cost of running the call at the target, as a fraction of the value of a call that ends in time.
    double cost(route_target const&, call_demand const&, time_point now) const;
    // How long the answer of a bulk call takes on the link of the target's VM, behind those under way; zero for others.
    duration transferTime(route_target const&, call_demand const&) const;
    duration meanServiceTime(std::string const& kind) const;
    void recordFailure(target_observation&, time_point now) const;

    chooser_settings m_settings;
    std::map<std::string, target_observation> m_observations;
    // Service times over all targets, used for a target that has not reported any for a kind of call.
    service_times m_serviceTimes;
    // The links on which answers to this daemon's bulk calls are under way, by the VM's address.
    std::map<std::string, link_load> m_links;
};

} // namespace merlinpier
