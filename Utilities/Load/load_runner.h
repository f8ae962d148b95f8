#pragma once

#include <LibCore/mutex.h>
#include <Utilities/Load/arrival_schedule.h>
#include <Utilities/Load/history_checker.h>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace merlinpier {

// Where a run sends its calls, and how many.
struct load_plan {
    // "IP:PORT" each, taken in turn.
    std::vector<std::string> daemons;
    // Targets called directly in the same run, for comparison; may be empty.
    std::vector<std::string> directTargets;
    // Calls a second through the daemons, and directly.
    double rate { 100 };
    double directRate { 100 };
    duration length { 0 };
    arrival_spread spread { arrival_spread::Random };
    std::uint64_t seed { 1 };
    // HTTP clients, each with a thread.
    unsigned clients { 4 };
};

// Counts of a run under way.
struct load_progress {
    std::uint64_t sent { 0 };
    std::uint64_t ended { 0 };
    std::uint64_t answered { 0 };
};

// Sends the calls of a plan at their intended starts and records what each came to.
class load_runner {
public:
    load_runner(load_plan, call_planner);

    // Returns when every call has ended, in order of their ends.
    std::vector<call_record> run();
    // Any thread may call while the run is under way.
    load_progress progress() const;

private:
    struct next_arrival {
        duration at { 0 };
        call_route route { call_route::ThroughDaemon };
    };

    std::optional<next_arrival> takeNextArrival();
    std::string const& nextAddress(call_route);
    void start(planned_call, duration at);
    void didEnd(planned_call const&, duration at, result<http_response> const&);
    void waitUntilAllEnded();

    load_plan const m_plan;
    call_planner m_planner;
    std::vector<std::unique_ptr<http_client>> m_clients;
    arrival_schedule m_daemonArrivals;
    arrival_schedule m_directArrivals;
    std::optional<duration> m_nextThroughDaemon;
    std::optional<duration> m_nextDirect;
    std::size_t m_daemonsUsed { 0 };
    std::size_t m_directTargetsUsed { 0 };
    time_point m_startedAt;
    std::atomic<std::uint64_t> m_sent { 0 };
    std::atomic<std::uint64_t> m_answered { 0 };

    mutable mutex m_mutex { lock_rank::Leaf };
    condition m_changed;
    std::vector<call_record> m_records ABSL_GUARDED_BY(m_mutex);
};

} // namespace merlinpier
