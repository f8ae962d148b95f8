#pragma once

#include <LibCore/generator.h>
#include <LibMembership/member.h>
#include <LibTenants/tenant_quotas.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace merlinpier {

// Daemons with their membership and quotas, the messages between them, and one or more tenants whose clients send
// requests to them at random times. No network and no clock.
class quota_simulation {
public:
    struct outcome {
        std::uint64_t offered { 0 };
        std::uint64_t allowed { 0 };

        bool operator==(outcome const&) const = default;
    };

    quota_simulation(std::uint64_t seed, int zones, int daemons);

    // Runs with the present rates, and calls beforeStep before each step.
    void run(duration, std::function<void()> const& beforeStep = {});
    // Sets how many requests a second of the tenant come to a daemon.
    void setRate(std::size_t tenant, int daemon, double perSecond) { m_rates[tenant][daemon] = perSecond; }
    void setRateEvenly(std::size_t tenant, double perSecond);
    void setRateInZone(std::size_t tenant, int zone, double perSecond);
    std::size_t addTenant(tenant);
    tenant& at(std::size_t index) { return m_tenants[index]; }
    void restart(int daemon);
    // Whether messages between zones are lost.
    bool isPartitioned { false };
    // Addresses that neither send nor receive.
    std::function<bool(std::string const&)> isSilent = [](auto const&) {
        return false;
    };

    outcome total(std::size_t tenant) const { return m_totals[tenant]; }
    // The most requests that were allowed in any window of 5 s up to now, as a part of what the rule allows.
    double worstWindow(std::size_t tenant) const { return m_worstWindows[tenant]; }
    void resetWorstWindow() { m_worstWindows.assign(m_tenants.size(), 0); }
    // Requests allowed in the last period, in requests a second.
    double allowedLately(std::size_t tenant, duration) const;
    // Bytes of all messages that all daemons have sent.
    std::uint64_t bytesSent() const { return m_bytesSent; }
    int daemons() const { return m_daemonCount; }
    time_point now() const { return m_now; }

private:
    struct daemon_state {
        std::string address;
        std::unique_ptr<tenant_quotas> quotas;
        std::unique_ptr<member> membership;
    };
    struct delivery {
        std::string from;
        std::string to;
        message content;
    };

    void perform(daemon_state const&, std::vector<membership_action> const&);
    void deliver();
    void sendRequests(duration);
    void didAllow(std::size_t tenant);
    void checkWindows();
    std::string zoneOf(int daemon) const;

    generator m_source;
    int m_zoneCount;
    int m_daemonCount;
    time_point m_now { seconds(1000) };
    duration m_step { milliseconds(20) };
    std::vector<daemon_state> m_daemons;
    std::map<std::string, std::size_t> m_indexes;
    std::multimap<time_point, delivery> m_inFlight;
    std::vector<tenant> m_tenants;
    std::vector<std::vector<double>> m_rates;
    std::vector<outcome> m_totals;
    // Requests allowed in each step, for the last 6 s.
    std::vector<std::deque<std::uint32_t>> m_history;
    std::vector<std::uint64_t> m_windowSums;
    std::vector<double> m_worstWindows;
    std::uint64_t m_bytesSent { 0 };
};

} // namespace merlinpier
