#pragma once

#include <LibConfiguration/questionnaire.h>
#include <LibDistribution/distributor.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace merlinpier {

// Simulates a platform and several distributors that exchange messages, in simulated time. Messages are delayed and may
// be lost or duplicated. Once a second every daemon and each relay that it reports to advertise their versions to each
// other, as heartbeats do.
class distribution_simulation {
public:
    explicit distribution_simulation(std::uint64_t seed)
        : m_source(seed)
    {
    }

    // Adds a daemon, or restarts it with an empty store.
    distributor& start(std::string const& address, distribution_peers, distribution_mode = distribution_mode::Push);
    distributor& at(std::string const& address) { return *m_daemons.at(address).distributor; }
    void stop(std::string const& address) { m_daemons.erase(address); }
    void setPeers(std::string const& address, distribution_peers);
    // A paused daemon handles nothing; what arrives meanwhile is handled when it resumes.
    void pause(std::string const& address) { m_paused.insert(address); }
    // Hands the event to the daemon and carries out its actions.
    using event = std::function<std::vector<distribution_action>(distributor&)>;
    void handle(std::string const& address, event const&);
    // Writes the next version to the platform, or the given one, and returns its number. The answers are not validated,
    // unlike in an operator's commit, so a version can be invalid.
    version_number commit(std::vector<questionnaire> const&, std::optional<version_number> = {});
    // The content of the platform, from which it can be restored later in a new era.
    struct platform_copy {
        std::map<std::string, stored_object> objects;
        configuration_head head;
        std::uint64_t revision { 0 };
    };
    platform_copy copyPlatform() const { return { m_objects, m_head, m_revision }; }
    void restorePlatform(platform_copy const&);
    // The connections of all open watches go silent: the watches fail by their time-out, whatever the platform has.
    void silenceOpenWatches() { m_watchesSilentBefore = now; }
    void run(duration);
    // Whether every daemon applies exactly this version.
    bool allApplied(version_number) const;

    time_point now { seconds(1000) };
    distribution_settings settings;
    // How often distributors' tick() is called; a multiple of the simulation's step of 10 ms.
    milliseconds tickPeriod { 10 };
    // Whether daemons advertise their versions once a second.
    bool sendsHeartbeats { true };
    std::function<bool(std::string const& from, std::string const& to)> isLinkDown = [](auto&, auto&) {
        return false;
    };
    std::function<bool(std::string const& address)> isPlatformUnreachable = [](auto&) {
        return false;
    };
    double lossProbability { 0 };
    double duplicationProbability { 0 };
    milliseconds maximumDelay { 2 };
    // Platform calls of each daemon ("watch", or the key of the object read), and its number of open watches.
    std::map<std::string, std::vector<std::string>> platformCalls;
    std::map<std::string, int> openWatches;
    // For each daemon, in order: the messages it received, and the versions it applied and refused.
    std::map<std::string, std::vector<message>> received;
    std::map<std::string, std::vector<version_number>> applied;
    std::map<std::string, std::vector<version_refused>> refused;

private:
    struct daemon {
        std::unique_ptr<merlinpier::distributor> distributor;
        distribution_peers peers;
    };

    void perform(std::string const& address, std::vector<distribution_action> const&);
    void schedule(std::string const& address, duration delay, event);
    void send(std::string const& from, send_message const&);
    struct open_watch {
        watch_platform_head watch;
        std::uint64_t era { 0 };
        time_point startedAt {};
    };
    void watch(std::string const& address, open_watch const&);
    void sendHeartbeats();
    result<std::optional<stored_object>> readObject(std::string const& address, std::string const& key) const;

    generator m_source;
    std::map<std::string, daemon> m_daemons;
    std::map<std::string, stored_object> m_objects;
    configuration_head m_head;
    std::uint64_t m_revision { 0 };
    std::uint64_t m_era { 1 };
    std::multimap<time_point, std::pair<std::string, event>> m_scheduledEvents;
    std::set<std::string> m_paused;
    time_point m_watchesSilentBefore {};
    time_point m_nextHeartbeatAt {};
    time_point m_nextTick {};
};

} // namespace merlinpier
