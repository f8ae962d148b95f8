#include "quota_simulation.h"

#include <LibWire/message.h>
#include <algorithm>
#include <cmath>
#include <random>

namespace merlinpier {

namespace {

constexpr milliseconds memberTick { 100 };
constexpr microseconds longestDelay { 4000 };
constexpr seconds window { 5 };
constexpr int seedsPerZone = 4;

std::size_t bytesOf(message const& content) { return encodeMessage(content).size(); }

} // namespace

quota_simulation::quota_simulation(std::uint64_t seed, int zones, int daemons)
    : m_source(seed)
    , m_zoneCount(zones)
    , m_daemonCount(daemons)
{
    m_daemons.resize(static_cast<std::size_t>(daemons));
    for (int i = 0; i < daemons; ++i) {
        auto& state = m_daemons[static_cast<std::size_t>(i)];
        state.address = zoneOf(i) + "-" + std::to_string(i);
        m_indexes[state.address] = static_cast<std::size_t>(i);
    }
    for (int i = 0; i < daemons; ++i)
        restart(i);
}

std::string quota_simulation::zoneOf(int daemon) const { return "zone" + std::to_string(daemon % m_zoneCount); }

void quota_simulation::restart(int daemon)
{
    auto& state = m_daemons[static_cast<std::size_t>(daemon)];
    membership_settings settings;
    settings.vm = "vm-" + state.address;
    settings.zone = zoneOf(daemon);
    settings.address = state.address;
    settings.httpAddress = state.address;
    // The platform's store lists all daemons; a few of each zone are enough here.
    for (int seed = 0; seed < std::min(seedsPerZone * m_zoneCount, m_daemonCount); ++seed) {
        if (seed != daemon)
            settings.seeds.push_back(m_daemons[static_cast<std::size_t>(seed)].address);
    }
    state.quotas = std::make_unique<tenant_quotas>(m_now);
    state.membership = std::make_unique<member>(settings, m_source());
    state.membership->setDemandExchange(*state.quotas);
}

std::size_t quota_simulation::addTenant(tenant added)
{
    m_tenants.push_back(std::move(added));
    m_rates.emplace_back(static_cast<std::size_t>(m_daemonCount), 0.0);
    m_totals.emplace_back();
    m_history.emplace_back();
    m_windowSums.push_back(0);
    m_worstWindows.push_back(0);
    return m_tenants.size() - 1;
}

void quota_simulation::setRateEvenly(std::size_t tenant, double perSecond)
{
    std::fill(m_rates[tenant].begin(), m_rates[tenant].end(), perSecond / m_daemonCount);
}

void quota_simulation::setRateInZone(std::size_t tenant, int zone, double perSecond)
{
    std::vector<std::size_t> members;
    for (int i = zone; i < m_daemonCount; i += m_zoneCount)
        members.push_back(static_cast<std::size_t>(i));
    std::fill(m_rates[tenant].begin(), m_rates[tenant].end(), 0.0);
    for (auto const index : members)
        m_rates[tenant][index] = perSecond / static_cast<double>(members.size());
}

void quota_simulation::perform(daemon_state const& state, std::vector<membership_action> const& actions)
{
    for (auto const& action : actions) {
        auto const* send = std::get_if<send_message>(&action);
        if (!send)
            continue;
        m_bytesSent += bytesOf(send->content);
        auto const found = m_indexes.find(send->address);
        if (found == m_indexes.end() || isSilent(send->address) || isSilent(state.address))
            continue;
        bool const crossesZones
            = zoneOf(static_cast<int>(found->second)) != zoneOf(static_cast<int>(m_indexes.at(state.address)));
        if (isPartitioned && crossesZones)
            continue;
        auto const delay = microseconds(uniformBelow(m_source, static_cast<std::uint64_t>(longestDelay.count())));
        m_inFlight.emplace(m_now + delay, delivery { state.address, send->address, send->content });
    }
}

void quota_simulation::deliver()
{
    while (!m_inFlight.empty() && m_inFlight.begin()->first <= m_now) {
        auto const next = std::move(m_inFlight.begin()->second);
        m_inFlight.erase(m_inFlight.begin());
        auto const& receiver = m_daemons[m_indexes.at(next.to)];
        perform(receiver, receiver.membership->didReceive(next.from, next.content, m_now, m_source));
    }
}

void quota_simulation::sendRequests(duration step)
{
    auto const spent = std::chrono::duration<double>(step).count();
    for (std::size_t tenant = 0; tenant < m_tenants.size(); ++tenant) {
        m_history[tenant].push_back(0);
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            auto const rate = m_rates[tenant][i];
            if (rate <= 0)
                continue;
            auto const count = std::poisson_distribution<int>(rate * spent)(m_source);
            for (int k = 0; k < count; ++k) {
                ++m_totals[tenant].offered;
                if (m_daemons[i].quotas->take(m_tenants[tenant], m_now))
                    continue;
                ++m_totals[tenant].allowed;
                ++m_history[tenant].back();
                ++m_windowSums[tenant];
            }
        }
    }
}

void quota_simulation::checkWindows()
{
    auto const steps = static_cast<std::size_t>(window / m_step);
    for (std::size_t tenant = 0; tenant < m_tenants.size(); ++tenant) {
        if (m_history[tenant].size() > steps) {
            m_windowSums[tenant] -= m_history[tenant].front();
            m_history[tenant].pop_front();
        }
        auto const& limits = m_tenants[tenant];
        if (!limits.isLimited())
            continue;
        auto const rule
            = (static_cast<double>(limits.milliPerSecond) / 1000 * 5 + static_cast<double>(limits.burstMilli) / 1000)
                * 1.1
            + 20;
        m_worstWindows[tenant] = std::max(m_worstWindows[tenant], static_cast<double>(m_windowSums[tenant]) / rule);
    }
}

double quota_simulation::allowedLately(std::size_t tenant, duration period) const
{
    auto const steps = static_cast<std::size_t>(period / m_step);
    std::uint64_t sum = 0;
    auto const& history = m_history[tenant];
    for (std::size_t i = 0; i < std::min(steps, history.size()); ++i)
        sum += history[history.size() - 1 - i];
    return static_cast<double>(sum) / std::chrono::duration<double>(period).count();
}

void quota_simulation::run(duration time, std::function<void()> const& beforeStep)
{
    for (auto const end = m_now + time; m_now < end; m_now += m_step) {
        if (beforeStep)
            beforeStep();
        deliver();
        // The ticks of the daemons are spread over their period.
        auto const phases = static_cast<std::size_t>(memberTick / m_step);
        auto const phase = static_cast<std::size_t>(m_now.time_since_epoch() / m_step) % phases;
        for (std::size_t i = phase; i < m_daemons.size(); i += phases) {
            auto& state = m_daemons[i];
            // The platform's store lists the daemons.
            state.quotas->setDaemons(
                static_cast<std::size_t>(m_daemonCount), state.membership->table().records().size());
            perform(state, state.membership->tick(m_now, m_source));
            state.quotas->expire(m_now);
        }
        sendRequests(m_step);
        checkWindows();
    }
}

} // namespace merlinpier
