#pragma once

#include <LibCalls/call_client.h>
#include <LibCalls/call_server.h>
#include <Tests/LibRouting/fleet_fixture.h>
#include <functional>
#include <map>
#include <queue>
#include <set>

namespace merlinpier::fixture {

// Fault probabilities of the links and targets of a call_simulation, in thousandths.
struct fault_rates {
    std::uint32_t duplicate { 0 };
    // Frames delayed by up to a second, possibly beyond the end of their connection.
    std::uint32_t late { 0 };
    // Probability per 10 ms that a link goes silent; it is replaced 30 ms later.
    std::uint32_t silence { 0 };
    // Probability per 10 ms that a target's daemon restarts with an empty ledger.
    std::uint32_t restart { 0 };
    // Outcomes of a run other than a complete answer.
    std::uint32_t unreachable { 0 };
    std::uint32_t lost { 0 };
    std::uint32_t shed { 0 };
};

struct simulation_settings {
    std::size_t clients { 1 };
    std::size_t targets { 3 };
    std::uint32_t slots { 6 };
    milliseconds deadline { 500 };
    choice_policy choice { choice_policy::LeastLoadedOfTwo };
    admission_policy admission { admission_policy::SlotsAndQueue };
    retry_policy retries { retry_policy::ProvenOrIdempotent };
    microseconds latency { 500 };
    // Mean work per call; the work is uniformly distributed between 0.5 and 1.5 times the mean.
    milliseconds work { 20 };
    milliseconds reportWork { 100 };
    // Index of a target that its daemon cannot reach.
    std::optional<std::size_t> downTarget;
    // Requests with this body crash the target that runs them; nothing crashes if it is empty.
    std::string crashingBody;
    // How long a target that has crashed is down before its next incarnation starts.
    milliseconds downAfterCrash { 3000 };
    // How long reports of crashes take to another daemon: between half of this and one and a half times this.
    milliseconds reportDelay { 150 };
    // As in call_client_settings.
    std::optional<shared_budget_settings> sharedBudget;
    hedging_mode hedging { hedging_mode::Auto };
    fault_rates faults;
    std::uint64_t seed { 1 };
};

// A call with its start, its end and the outcomes given to its caller.
struct call_history {
    caller_request request;
    bool isIdempotent { false };
    time_point startedAt {};
    time_point completedAt {};
    std::vector<final_outcome> outcomes;
};

// Simulates originating daemons (clients) and targets' daemons (servers) in virtual time, connected by links that lose,
// duplicate, delay and reorder frames. Targets are fakes whose runs take time; runs in excess of the slots slow each
// other down.
class call_simulation {
public:
    explicit call_simulation(simulation_settings);

    // Starts a call at the client; its outcome is in history() once run() has simulated past the end of the call.
    void startCall(std::size_t client, caller_request, bool isIdempotent);
    // Sets a function that is called with each call as soon as the call has its outcome.
    void setObserver(std::function<void(call_history const&)> observer) { m_observer = std::move(observer); }
    void at(time_point, std::function<void()>);
    void run(time_point until);

    time_point now() const { return m_now; }
    generator& random() { return m_random; }
    std::vector<call_history> const& history() const { return m_history; }
    // Number of times that targets started to run each call.
    std::map<std::string, int> const& runs() const { return m_runs; }
    crashing_requests& crashing(std::size_t daemon) { return *m_reports[daemon].decisions; }
    call_client& client(std::size_t index) { return *m_clients[index].decisions; }
    call_server& server(std::size_t index) { return *m_servers[index].decisions; }
    local_targets& targetsOf(std::size_t index) { return m_servers[index].targets; }
    std::size_t maximumQueued() const { return m_maximumQueued; }
    // From now on, the target names this limit in its answers, in requests a second, or none.
    void setRequestLimit(std::size_t target, std::optional<double> limit) { m_servers[target].namedLimit = limit; }
    // Restarts the target's daemon, which learns of its former record when the others learn of its restart.
    void restart(std::size_t target);
    // The target's process ends now; its next incarnation starts after downAfterCrash.
    void crash(std::size_t target);
    // When targets ended under a crashing request.
    std::vector<time_point> const& crashes() const { return m_crashes; }
    // When each crashing request began to run.
    std::vector<time_point> const& crashingRuns() const { return m_crashingRuns; }
    // When each request was sent to the target.
    std::vector<time_point> const& requestsTo(std::size_t target) const { return m_servers[target].requests; }

private:
    struct link {
        std::uint64_t generation { 1 };
        bool isSilent { false };
        // Generation of the newest hello that the server accepted: replies are sent on it.
        std::uint64_t accepted { 1 };
    };
    // What one daemon publishes about crashes. Client and server of the same index are one daemon.
    struct published_reports {
        std::shared_ptr<crashing_requests> decisions;
        std::uint64_t revision { 0 };
        // As in the daemon's member record.
        std::vector<crash_report> record;
    };
    struct client_node {
        std::unique_ptr<call_client> decisions;
        std::uint64_t instance { 0 };
        std::map<std::string, std::vector<std::size_t>> open;
    };
    struct server_node {
        std::unique_ptr<call_server> decisions;
        local_targets targets { milliseconds(1000000000) };
        std::uint64_t instance { 0 };
        // Run number by call, so that the end of an aborted run is not taken for the end of a later run.
        std::map<std::string, std::uint64_t> runs;
        std::size_t working { 0 };
        std::optional<double> namedLimit;
        std::vector<time_point> requests;
        // Start time of the target's incarnation.
        std::uint64_t startedAt { 1 };
        bool isDown { false };
    };
    struct event {
        time_point at;
        std::uint64_t order { 0 };
        std::function<void()> action;
        bool operator<(event const& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    bool happens(std::uint32_t permille) { return permille > 0 && uniformBelow(m_random, 1000) < permille; }
    duration frameDelay();
    void restartServer(std::size_t);
    void silence(std::size_t client, std::size_t server);
    void replaceLink(std::size_t client, std::size_t server);
    void publish();
    void injectFaults();
    void tick();
    void apply(std::size_t client, std::vector<client_action> const&);
    void applyServer(std::size_t server, std::vector<server_action> const&);
    void sendToServer(std::size_t client, std::size_t server, message);
    void deliverToServer(std::size_t client, std::size_t server, std::uint64_t generation, message const&);
    void sendToClient(std::size_t server, std::uint64_t instance, message);
    void startRun(std::size_t server, run_call const&);
    void endRun(std::size_t server, std::uint64_t instance, std::string const& id, std::uint64_t run, call_answer);
    void finish(std::size_t client, complete_call const&);
    void announceTarget(std::size_t server);
    void publishReports();
    void learnReports(std::size_t daemon);
    void nameLimit(std::size_t server, time_point sentAt);
    void learnFormerLimit(std::size_t server);
    std::size_t indexOf(std::string const& address) const { return std::stoul(address.substr(2)); }

    simulation_settings m_settings;
    generator m_random;
    time_point m_now { seconds(1000) };
    std::uint64_t m_order { 0 };
    std::uint64_t m_lastInstance { 100 };
    std::uint64_t m_lastRun { 0 };
    std::priority_queue<event> m_events;
    std::shared_ptr<configuration_set const> m_configuration;
    membership_table m_members;
    std::vector<client_node> m_clients;
    std::vector<server_node> m_servers;
    std::vector<published_reports> m_reports;
    std::map<std::pair<std::size_t, std::size_t>, link> m_links;
    std::vector<call_history> m_history;
    std::map<std::string, int> m_runs;
    std::vector<time_point> m_crashes;
    std::vector<time_point> m_crashingRuns;
    std::function<void(call_history const&)> m_observer;
    std::size_t m_maximumQueued { 0 };
};

} // namespace merlinpier::fixture
