#include "relayed_fleet.h"

#include <Tests/LibConfiguration/configuration_samples.h>
#include <algorithm>

namespace merlinpier {

namespace {

constexpr milliseconds step { 10 };
// That of the daemon for its membership and the distribution.
constexpr milliseconds tickPeriod { 100 };

} // namespace

relayed_fleet::relayed_fleet(std::uint64_t seed, daemon_settings const& settings)
    : m_members(seed)
    , m_versions(seed)
{
    m_members.settings = settings.membership;
    m_members.tickPeriod = tickPeriod;
    m_members.didReportVersion = [this](std::string const& address, newer_version_reported const& report) {
        m_versions.handle(address, [&](distributor& it) {
            return report.isPushMissed ? it.didMissPush(report.address, report.version, m_versions.now)
                                       : it.didHearVersion(report.address, report.version, m_versions.now);
        });
    };
    m_members.didChangeSubscribers = [this](std::string const& address) {
        m_versions.setPeers(address, distribution_peers::of(m_members.at(address)));
    };
    m_versions.settings = settings.distribution;
    m_versions.tickPeriod = tickPeriod;
    m_versions.sendsHeartbeats = false;
}

void relayed_fleet::startZone(std::string const& zone, int count)
{
    for (int number = 0; number < count; ++number) {
        auto const& member = m_members.start(zone, number, { "a-0", "b-0" });
        m_versions.start(member.self().address, {});
    }
}

void relayed_fleet::run(duration time)
{
    for (auto const end = m_members.now + time; m_members.now < end;) {
        m_members.run(step);
        m_versions.run(step);
        connect();
    }
}

void relayed_fleet::connect()
{
    bool const isTickDue = m_members.now >= m_nextTick;
    if (isTickDue)
        m_nextTick = m_members.now + tickPeriod;
    for (auto const& [address, member] : m_members.members()) {
        if (m_frozen.contains(address))
            continue;
        if (isTickDue)
            m_versions.setPeers(address, distribution_peers::of(*member));
        auto const applied = m_versions.at(address).store().applied()->version();
        if (applied > member->self().appliedVersion)
            m_members.perform(address, member->setApplied(applied, 0, {}, m_members.now));
    }
    for (auto const& gone : m_killed) {
        for (auto const& [address, member] : m_members.members()) {
            auto const relays = member->relays();
            if (std::find(relays.begin(), relays.end(), gone) != relays.end())
                member->didFailToReach(gone, m_members.now);
        }
    }
}

version_number relayed_fleet::commit()
{
    auto answers = sampleAnswers("slots");
    answers.owner = "team " + std::to_string(++m_commits);
    return m_versions.commit({ answers });
}

void relayed_fleet::freeze(std::string const& address)
{
    m_frozen.insert(address);
    m_members.pause(address);
    m_versions.pause(address);
}

void relayed_fleet::kill(std::string const& address)
{
    m_killed.insert(address);
    m_members.stop(address);
    m_versions.stop(address);
}

std::vector<std::string> relayed_fleet::relaysOf(std::string const& zone)
{
    std::vector<std::string> relays;
    auto const& observer = m_members.at(zone + "-0");
    for (auto const& vm : rankRelays(observer.table(), zone)) {
        auto const& address = observer.table().find(vm)->address;
        if (m_members.at(address).isRelay())
            relays.push_back(address);
    }
    return relays;
}

std::vector<std::string> relayed_fleet::lacking(std::string const& zone, version_number version)
{
    std::vector<std::string> lacking;
    for (auto const& [address, member] : m_members.members()) {
        bool const isOfZone = member->self().zone == zone && !m_frozen.contains(address);
        if (isOfZone && m_versions.at(address).store().applied()->version() < version)
            lacking.push_back(address);
    }
    return lacking;
}

} // namespace merlinpier
