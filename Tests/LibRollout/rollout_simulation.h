#pragma once

#include <LibRollout/rollout_controller.h>
#include <LibRollout/run_evidence.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace merlinpier::simulation {

// How a new version behaves beside the old one.
struct version_fault {
    double failureRate { 0 };
    double slowness { 1 };
    // Time after the order from which the fault shows; or only under the whole load, after the switch.
    milliseconds after { 0 };
    bool onlyUnderLoad { false };
    // Index of the only kind of call that shows it; negative for all.
    int onlyKind { -1 };
    // Only the first target of the version shows it, as on a bad VM.
    bool onlyFirstTarget { false };
};

struct fleet_settings {
    std::uint64_t seed { 1 };
    std::size_t daemons { 12 };
    std::size_t zones { 3 };
    std::size_t oldTargets { 4 };
    std::size_t newTargets { 4 };
    // Requests a second of the service, from all daemons together.
    double requestRate { 200 };
    seconds orderDuration { 12 };
    // Failures of both versions that no version is to blame for.
    double commonFailureRate { 0.001 };
    version_fault fault {};
    // Range of the targets' VM speeds; 3 in 100 runs take seven times as long.
    double slowestVm { 0.7 };
    double fastestVm { 1.3 };
    // Whether the daemons of a zone that see changes equally late share one view.
    bool sharesViews { false };
    // One daemon in so many sees changes up to 1.5 s late; 0 for none.
    std::size_t laggingDaemons { 8 };
    // Times after the order.
    milliseconds storeDownFrom { 0 };
    milliseconds storeDownUntil { 0 };
    // A zone without messages from and to the others.
    milliseconds partitionFrom { 0 };
    milliseconds partitionUntil { 0 };
    // One answer to a write in so many is lost; 0 for none.
    std::size_t lostWriteAnswers { 0 };
    // Daemons restarted at random times, one after another.
    std::size_t restarts { 0 };
    // All daemons restart at this time after the order; 0 for never.
    milliseconds allRestartAt { 0 };
};

struct fleet_outcome {
    std::string finalState;
    // From the order to the final status in the store.
    milliseconds finalAfter { 0 };
    std::uint64_t requests { 0 };
    std::uint64_t exposed { 0 };
    std::uint64_t badAnswers { 0 };
    // From the 50th bad answer to the last request sent to the new version; negative if there were fewer.
    milliseconds lastSentAfterFiftieth { -1 };
    std::uint64_t unserved { 0 };
    // Requests that ran at an old target after the store said done, or at a new one after it said rolled back for 2 s.
    std::uint64_t ranLate { 0 };
    std::uint64_t writes { 0 };
    std::uint64_t lists { 0 };
    std::string fault;
};

// A fleet of daemons with their rollout controllers, targets and a store, without a network: messages arrive after
// random delays, and time is simulated.
class fleet {
public:
    explicit fleet(fleet_settings);
    fleet_outcome run();

private:
    struct simulated_daemon {
        std::string vm;
        std::size_t number { 0 };
        std::size_t zone { 0 };
        std::size_t rankInZone { 0 };
        std::uint64_t incarnation { 1 };
        std::uint64_t sequence { 0 };
        duration lag { 0 };
        std::unique_ptr<rollout_controller> controller;
        run_evidence evidence;
        // Daemons of a zone share a view in large fleets, which keeps the simulation short.
        std::shared_ptr<membership_table> view;
        std::vector<target_record> targets;
        std::vector<rollout_report> reports;
        std::map<std::string, int> running;
        time_point restingSince {};
        double speed { 1 };
        std::uint64_t process { 1 };
        // Whether it has the records of its peers. Before, a daemon has no configuration and takes no requests.
        bool isReady { false };
    };

    void at(time_point, std::function<void()>);
    void start(simulated_daemon&);
    void tick(simulated_daemon&);
    void followTargets(simulated_daemon&);
    void publish(simulated_daemon&);
    void carryOut(simulated_daemon&, std::vector<rollout_action>);
    void write(simulated_daemon&, write_status const&);
    void list(simulated_daemon&);
    bool isStoreDown() const;
    bool isCut(simulated_daemon const&, simulated_daemon const&) const;
    void scheduleRequest(simulated_daemon&);
    void request(simulated_daemon&);
    bool tryRun(simulated_daemon& origin, simulated_daemon& host, bool isCanary, int kind);
    bool showsFault(target_record const&, int kind) const;
    milliseconds sinceOrder() const;
    std::uint64_t wallClock() const;

    fleet_settings m_settings;
    generator m_random;
    time_point m_now;
    time_point m_orderedAt;
    std::multimap<time_point, std::function<void()>> m_events;
    std::vector<std::unique_ptr<simulated_daemon>> m_daemons;
    std::map<std::string, simulated_daemon*> m_hosts;
    // One daemon for each view.
    std::vector<simulated_daemon*> m_receivers;
    stored_rollout m_object;
    bool m_hasObject { false };
    // Earlier contents of the store, for stale lists.
    std::vector<std::pair<time_point, stored_rollout>> m_history;
    std::optional<time_point> m_finalAt;
    std::optional<time_point> m_fiftiethBad;
    time_point m_lastSentToNew;
    fleet_outcome m_outcome;
};

} // namespace merlinpier::simulation
