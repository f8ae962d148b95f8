#pragma once

#include <LibCalls/call_client.h>
#include <LibCalls/call_server.h>
#include <Tests/LibRouting/fleet_fixture.h>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace merlinpier::fixture {

// A kind of calls that an uneven_fleet gets.
struct fleet_kind {
    call_policy policy;
    milliseconds work { 0 };
    // Share of the calls.
    double share { 1 };
};

struct uneven_fleet_settings {
    std::size_t zones { 3 };
    std::size_t vmsPerZone { 5 };
    std::uint32_t slots { 6 };
    double callsPerSecond { 200 };
    // The demand of each zone swings by this share, with phases that are apart.
    double swing { 0.55 };
    seconds period { 15 };
    // Speeds of the targets, evenly spread.
    double slowest { 0.5 };
    double fastest { 1.6 };
    // Share of the time for which a VM takes slowFactor times as long, and how long such a phase is.
    double slowShare { 0.15 };
    double slowFactor { 2.5 };
    milliseconds slowTime { 600 };
    bool announcesPace { true };
    // Share of the runs that take longWorkFactor times as long, and of those that are never answered.
    double longWorkShare { 0.03 };
    double longWorkFactor { 7 };
    double muteShare { 0 };
    hedging_mode hedging { hedging_mode::Auto };
    std::vector<fleet_kind> kinds;
    milliseconds time { 60000 };
    std::uint64_t seed { 1 };
};

struct fleet_figures {
    std::size_t calls { 0 };
    std::size_t inTime { 0 };
    std::size_t late { 0 };
    std::size_t notRun { 0 };
    // Calls whose outcome is unknown, by the cause.
    std::size_t lost { 0 };
    std::size_t outOfTime { 0 };
    // Idempotent ones among them.
    std::size_t idempotentUnknown { 0 };
    // Bytes of bodies and framing between zones.
    std::size_t zoneBytes { 0 };
    std::size_t hedges { 0 };
    std::size_t hedgesWon { 0 };
    // The most runs of one call, and of one non-idempotent call.
    int mostRuns { 0 };
    int mostNonIdempotentRuns { 0 };
    // Calls that ran in another zone, in each half second and zone of origin.
    std::map<std::pair<std::int64_t, std::size_t>, std::pair<std::size_t, std::size_t>> farAndAll;
    // Runs by target, and those that ended within their objective.
    std::map<std::string, std::size_t> runsByTarget;
    std::map<std::string, std::size_t> lateByTarget;

    // How much the share of calls that ran in another zone changes from one half second to the next, on average.
    double flapping() const;
    double lateShare() const { return static_cast<double>(late + lost + outOfTime) / static_cast<double>(calls); }
};

// The kinds of calls of a fleet whose calls take long beside their objectives.
std::vector<fleet_kind> loanKinds();

// A fleet in virtual time whose targets differ in speed and change their pace, with reliable links. Every VM has an
// originating daemon, a target and the target's daemon.
class uneven_fleet {
public:
    explicit uneven_fleet(uneven_fleet_settings);

    fleet_figures run();

private:
    struct vm {
        std::size_t zone { 0 };
        std::unique_ptr<call_client> client;
        std::unique_ptr<call_server> server;
        local_targets targets { milliseconds(1000000000) };
        // Run number by call.
        std::map<std::string, std::uint64_t> runs;
        double speed { 1 };
    };
    struct open_call {
        time_point startedAt;
        std::size_t kind { 0 };
        int runs { 0 };
    };
    struct event {
        time_point at;
        std::uint64_t order { 0 };
        std::function<void()> action;
        bool operator<(event const& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    void at(time_point, std::function<void()>);
    void scheduleCall(std::size_t zone);
    void startCall(std::size_t zone);
    void tick();
    void applyClient(std::size_t, std::vector<client_action> const&);
    void applyServer(std::size_t, std::vector<server_action> const&);
    void send(std::size_t from, std::size_t to, std::size_t bytes, std::function<void()> deliver);
    void startRun(std::size_t, run_call const&);
    void endRun(std::size_t, std::string const& id, std::uint64_t number, bool isAnswered);
    void finish(std::size_t, complete_call const&);
    // The pace of a VM at a time: the usual time is 1.
    double paceAt(std::size_t vm, time_point) const;
    time_point endOfWork(std::size_t vm, duration work) const;

    uneven_fleet_settings m_settings;
    generator m_random;
    // Apart from the source of decisions, so that fleets with different settings get the same calls.
    generator m_arrivals;
    time_point m_start { seconds(1000) };
    time_point m_now { m_start };
    std::uint64_t m_order { 0 };
    std::uint64_t m_lastRun { 0 };
    std::uint64_t m_lastCall { 0 };
    std::priority_queue<event> m_events;
    std::shared_ptr<configuration_set const> m_configuration;
    std::vector<vm> m_vms;
    std::map<std::string, open_call> m_open;
    fleet_figures m_figures;
};

} // namespace merlinpier::fixture
