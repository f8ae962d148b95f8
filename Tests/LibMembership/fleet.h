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

// A few members and the messages on their way between them. Each message is delayed, and may be lost or repeated.
class fleet {
public:
    explicit fleet(std::uint64_t seed)
        : m_source(seed)
    {
    }

    // Adds the VM "zone-number", whose address is its name without the prefix; starts it anew if it is there.
    member& start(std::string const& zone, int number, std::vector<std::string> seeds);
    void stop(std::string const& vm) { m_members.erase(vm); }
    void pause(std::string const& vm) { m_paused.insert(vm); }
    void resume(std::string const& vm) { m_paused.erase(vm); }
    member& at(std::string const& vm) { return *m_members.at(vm); }
    std::map<std::string, std::unique_ptr<member>> const& members() const { return m_members; }

    // Lets the time pass, ticking every member and delivering what is due.
    void run(duration);
    void perform(std::string const& vm, std::vector<membership_action> const&);
    bool haveConverged() const;

    milliseconds step { 10 };
    time_point now { seconds(1000) };
    membership_settings settings;
    // Before the names of VMs; members are kept by their address.
    std::string vmPrefix;
    // Decides which messages the network swallows.
    std::function<bool(std::string const& from, std::string const& to)> isCut = [](auto&, auto&) {
        return false;
    };
    double lossShare { 0 };
    double repeatShare { 0 };
    milliseconds longestDelay { 2 };
    // Sent and received, by VM, since the last reset.
    std::map<std::string, std::uint64_t> bytes;
    std::uint64_t messages { 0 };
    // Counting bytes encodes every message.
    bool countsBytes { false };

private:
    struct delivery {
        std::string from;
        std::string to;
        message content;
    };
    void deliverDueMessages();

    generator m_source;
    std::map<std::string, std::unique_ptr<member>> m_members;
    std::set<std::string> m_paused;
    std::multimap<time_point, delivery> m_inFlight;
};

// Returns the bytes of a message in a frame.
std::size_t frameSize(message const&);

} // namespace merlinpier
