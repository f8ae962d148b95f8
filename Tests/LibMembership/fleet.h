#pragma once

#include <LibCore/generator.h>
#include <LibCore/time.h>
#include <LibMembership/member.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace merlinpier {

// Simulated members and the network between them. Each message is delayed, and may be lost or duplicated.
class fleet {
public:
    explicit fleet(std::uint64_t seed)
        : m_source(seed)
    {
    }

    // Adds a member with the address "<zone>-<number>", whose VM is vmPrefix and the address; restarts it if it exists.
    member& start(std::string const& zone, int number, std::vector<std::string> seeds);
    void stop(std::string const& address) { m_members.erase(address); }
    void pause(std::string const& address) { m_paused.insert(address); }
    void resume(std::string const& address) { m_paused.erase(address); }
    member& at(std::string const& address) { return *m_members.at(address); }
    std::map<std::string, std::unique_ptr<member>> const& members() const { return m_members; }

    // Advances the simulated time, calls tick() of every member that is not paused when due, and delivers messages that
    // are due.
    void run(duration);
    void perform(std::string const& address, std::vector<membership_action> const&);
    bool haveConverged() const;

    milliseconds step { 10 };
    // How often members' tick() is called; a multiple of step.
    milliseconds tickPeriod { 10 };
    time_point now { seconds(1000) };
    membership_settings settings;
    // Prefix of VM names, which addresses do not have. Members are keyed by address.
    std::string vmPrefix;
    // Whether the network drops messages between the two addresses.
    std::function<bool(std::string const& from, std::string const& to)> isCut = [](auto&, auto&) {
        return false;
    };
    // Called with each report of a newer version and the member that makes it.
    std::function<void(std::string const& address, newer_version_reported const&)> didReportVersion = [](auto&, auto&) {
    };
    // Called with the member whose subscribers have changed.
    std::function<void(std::string const& address)> didChangeSubscribers = [](auto&) {
    };
    double lossShare { 0 };
    double repeatShare { 0 };
    milliseconds longestDelay { 2 };
    // Bytes sent and received, by address; counted while countsBytes is set.
    std::map<std::string, std::uint64_t> bytes;
    std::uint64_t messages { 0 };
    // Off by default, because every message has to be encoded to count its bytes.
    bool countsBytes { false };

private:
    struct delivery {
        std::string from;
        std::string to;
        message content;
    };
    void deliverDueMessages();

    generator m_source;
    time_point m_nextTick {};
    std::map<std::string, std::unique_ptr<member>> m_members;
    std::set<std::string> m_paused;
    std::multimap<time_point, delivery> m_inFlight;
};

// Size in bytes of the message's frame, including the length prefix.
std::size_t frameSize(message const&);

} // namespace merlinpier
