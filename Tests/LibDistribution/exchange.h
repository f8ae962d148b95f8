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

// A platform's objects, and a few distributors with the messages on their way between them. Each message is delayed,
// and may be lost or repeated. Once a second every daemon shows its version to those it reports to and is shown theirs,
// as heartbeats do.
class exchange {
public:
    explicit exchange(std::uint64_t seed)
        : m_source(seed)
    {
    }

    // Adds a daemon, or starts it anew with nothing.
    distributor& start(std::string const& address, distribution_peers, distribution_mode = distribution_mode::Push);
    distributor& at(std::string const& address) { return *m_daemons.at(address).distributor; }
    void stop(std::string const& address) { m_daemons.erase(address); }
    // Accepts the next version. Answers may break a rule, as no operator's commit would let them.
    version_number commit(std::vector<questionnaire> const&);
    void run(duration);
    bool allHave(version_number) const;

    time_point now { seconds(1000) };
    distribution_settings settings;
    std::function<bool(std::string const& from, std::string const& to)> isCut = [](auto&, auto&) {
        return false;
    };
    std::function<bool(std::string const& address)> isCutFromPlatform = [](auto&) {
        return false;
    };
    double lossShare { 0 };
    double repeatShare { 0 };
    milliseconds longestDelay { 2 };
    // Calls to the platform by daemon, and the most watches it has had open.
    std::map<std::string, std::vector<std::string>> platformCalls;
    std::map<std::string, int> openWatches;
    // What each daemon was sent by others, and every version that it applied, in order.
    std::map<std::string, std::vector<message>> received;
    std::map<std::string, std::vector<version_number>> applied;
    std::map<std::string, std::vector<version_refused>> refused;

private:
    struct daemon {
        std::unique_ptr<merlinpier::distributor> distributor;
        distribution_peers peers;
    };
    using event = std::function<std::vector<distribution_action>(distributor&)>;

    void perform(std::string const& address, std::vector<distribution_action> const&);
    void schedule(std::string const& address, duration delay, event);
    void send(std::string const& from, send_message const&);
    void watch(std::string const& address, watch_platform_head const&, time_point until);
    void showVersions();
    result<std::optional<stored_object>> readObject(std::string const& address, std::string const& key) const;

    generator m_source;
    std::map<std::string, daemon> m_daemons;
    std::map<std::string, stored_object> m_objects;
    configuration_head m_head;
    std::multimap<time_point, std::pair<std::string, event>> m_underway;
    time_point m_nextShow {};
};

} // namespace merlinpier
