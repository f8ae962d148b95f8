#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace merlinpier {

// Tells the kinds of calls that the targets of this VM make from those that its clients make; both reach the daemon
// alike. A target makes calls only while it runs one, so a kind that keeps arriving while no call runs is made by
// clients. A kind that clients have not been seen to make may be made by the target.
class inner_call_classifier {
public:
    // Records a call of the kind that arrives while so many calls run on this VM. Returns whether the target may have
    // made it.
    bool didReceive(std::string const& kind, std::size_t runningCalls);

private:
    struct arrival_counts {
        std::uint64_t all { 0 };
        std::uint64_t whileIdle { 0 };
    };

    std::map<std::string, arrival_counts> m_arrivals;
};

} // namespace merlinpier
