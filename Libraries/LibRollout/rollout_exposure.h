#pragma once

#include <LibCore/generator.h>
#include <cstdint>
#include <map>
#include <string>

namespace merlinpier {

// Bounds the share of this daemon's own attempts that go to new versions. Each daemon keeps its own share, so the
// total keeps it too, whatever the other daemons see.
class rollout_exposure {
public:
    // Starts to count for an order, unless it is being counted already. The credit is a random number in [0, 1), drawn
    // by each daemon, and its part of the slack: without it, a daemon with few requests would send none for seconds,
    // and then all daemons at once.
    void begin(std::string const& service, std::uint64_t order, double share, double credit);
    // The order is no longer running: nothing is allowed until the next begins.
    void end(std::string const& service);

    // Whether the next attempt for the service may go to its new version.
    bool mayExpose(std::string const& service) const;
    void didSend(std::string const& service);
    // The attempt that was sent to the new version is proven not run.
    void didNotRun(std::string const& service);
    // An attempt for the service, to whichever version, ended with an answer.
    void didAnswer(std::string const& service);

    struct counters {
        std::uint64_t order { 0 };
        std::uint64_t answered { 0 };
        std::uint64_t sent { 0 };

        bool operator==(counters const&) const = default;
    };
    // The counters of the service's newest order; zeros if there was none.
    counters countersOf(std::string const& service) const;

private:
    struct allowance {
        counters counted;
        double share { 0 };
        double credit { 0 };
        bool isOpen { false };
    };

    std::map<std::string, allowance> m_allowances;
};

} // namespace merlinpier
