#pragma once

#include <LibCore/generator.h>
#include <LibCore/time.h>
#include <LibRouting/routing_snapshot.h>
#include <LibRouting/target_observation.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace merlinpier {

// How a target is chosen. Random is a baseline to measure against.
enum class choice_policy { LeastLoadedOfTwo, Random, ExpectedFinish };

// What a target is chosen for.
struct call_demand {
    // Name of the call's policy.
    std::string kind;
    // What is left of the latency objective, or of the deadline where there is none.
    duration objective { 0 };
    // Bytes that request and answer are expected to carry.
    std::size_t bytes { 0 };
    // Bytes of the request's body, which a refusal lets cross in vain.
    std::size_t requestBytes { 0 };

    bool operator==(call_demand const&) const = default;
};

struct chooser_settings {
    std::string zone;
    choice_policy policy { choice_policy::LeastLoadedOfTwo };
    // Calls leave the zone when its targets are loaded above this many thousandths of their slots.
    std::uint32_t spillPermille { 900 };
    // A target is ejected after this many failures in a row, for the first time below; longer each further time.
    std::uint32_t failuresToEject { 3 };
    milliseconds firstEjection { 1000 };
    milliseconds longestEjection { 30000 };
    // At most this share of a service's targets is ejected, and never the last.
    double maximumEjectedShare { 0.5 };
    // Load that was heard longer ago than this counts as unknown.
    milliseconds loadLifetime { 2000 };
    // For ExpectedFinish: how many targets of the own zone a call is offered to, one after the other, on condition that
    // it can begin at once, before it waits at one.
    std::uint32_t probes { 2 };
    // For ExpectedFinish, in parts of the worth of a call that ends in time: what a late end loses, and what a kilobyte
    // between availability zones costs.
    double latenessCost { 0.6 };
    double otherZoneCostPerKilobyte { 0.14 };
};

// How closely a keyed call holds to the first target of its rendezvous order. Strict takes it whatever its load and
// failures, so that a repeat meets the ledger that knows the key; LoadAware passes over loaded and ejected ones.
enum class key_affinity { Strict, LoadAware };

// What a finished attempt shows about its target.
enum class attempt_outcome { Answered, Refused, Unreachable, Lost };

// Chooses targets by own observation: outstanding calls, the load carried by answers, failures. Endpoints that report
// health or load on their own are not asked. Holds no clock, lock or random source.
class target_chooser {
public:
    explicit target_chooser(chooser_settings);

    // Chooses among the service's targets less those already tried; nothing if none is left. Own zone first, then by
    // the lesser load of two taken at random (power of two choices, Mitzenmacher 2001).
    std::optional<route_target> choose(
        service_route const&, std::set<std::string> const& tried, time_point now, generator&) const;
    // Chooses by the policy; with ExpectedFinish, the target where the call is worth most by when it is likely to end
    // and by what it costs to carry it there.
    std::optional<route_target> chooseFor(
        service_route const&, call_demand const&, std::set<std::string> const& tried, time_point now, generator&) const;
    // When a call of the kind that is sent now is likely to end at the target.
    duration expectedFinish(route_target const&, std::string const& kind, time_point now) const;
    // Targets of the own zone that a call may be offered to, less those already tried.
    std::size_t sameZoneTargetCount(service_route const&, std::set<std::string> const& tried, time_point now) const;
    chooser_settings const& settings() const { return m_settings; }
    // Whether a call that was refused elsewhere has a good chance there.
    bool isRetryWorthwhile(route_target const&, call_demand const&, time_point now) const;
    // Chooses the same target for the same key at every daemon: the first of its order by rendezvous hash (Thaler and
    // Ravishankar 1998) over the targets of all zones. Strict includes targets that are leaving.
    std::optional<route_target> chooseForKey(service_route const&, std::set<std::string> const& tried,
        std::string const& key, key_affinity, time_point now) const;
    // Whether the target is loaded above the share at which calls spill from it.
    bool isLoaded(route_target const&, time_point now) const;
    void didSend(std::string const& target, time_point now);
    // An attempt has ended; load in thousandths of the slots, if its answer carried it.
    void didEnd(std::string const& target, attempt_outcome, std::optional<std::uint32_t> loadPermille, time_point now);
    // The target's daemon refused a call of the kind for want of room; didEnd() has been told of its load.
    void didRefuseForLoad(std::string const& target, std::string const& kind, duration retryAfter, time_point now);
    // When a call of the kind may come back, if every target left would most likely refuse it now; nothing if there is
    // one to offer it to.
    std::optional<duration> expectedRetryAfter(
        service_route const&, call_demand const&, std::set<std::string> const& tried, time_point now) const;
    // The target's daemon told what calls of the kind have lately needed there.
    void didReportServiceTime(std::string const& target, std::string const& kind, duration);
    // Forgets targets that are in no service of the snapshot any more; new ones start slowly.
    void setSnapshot(routing_snapshot const&, time_point now);
    std::vector<std::string> ejected(time_point now) const;
    std::size_t outstanding(std::string const& target) const;

private:
    using candidates = std::vector<route_target const*>;

    candidates admissible(service_route const&, std::set<std::string> const& tried, time_point now) const;
    candidates withoutEjected(candidates, time_point now) const;
    route_target const* lesserOfTwo(candidates const&, time_point now, generator&) const;
    std::uint64_t score(route_target const&, time_point now) const;
    static candidates sample(candidates, generator&);
    bool hasFreshLoad(route_target const&, time_point now) const;
    // The refusal that a call would most likely meet again at a target of another zone; nothing if it
    // should be offered there.
    load_refusal const* expectedRefusal(route_target const&, call_demand const&, time_point now) const;
    double cost(route_target const&, call_demand const&, time_point now) const;
    duration typicalServiceTime(std::string const& kind) const;
    void didFail(target_observation&, time_point now) const;

    chooser_settings m_settings;
    std::map<std::string, target_observation> m_observations;
    // Over all targets, for those that have not run a kind of call yet.
    service_times m_serviceTimes;
};

} // namespace merlinpier
