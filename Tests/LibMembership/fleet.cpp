#include "fleet.h"

namespace merlinpier {

member& fleet::start(std::string const& zone, int number, std::vector<std::string> seeds)
{
    auto memberSettings = settings;
    memberSettings.address = zone + "-" + std::to_string(number);
    memberSettings.zone = zone;
    memberSettings.vm = vmPrefix + memberSettings.address;
    memberSettings.httpAddress = memberSettings.address;
    memberSettings.seeds = std::move(seeds);
    auto& slot = m_members[memberSettings.address];
    slot = std::make_unique<member>(memberSettings, m_source());
    return *slot;
}

void fleet::run(duration time)
{
    for (auto const end = now + time; now < end; now += step) {
        deliverDueMessages();
        if (now < m_nextTick)
            continue;
        m_nextTick = now + tickPeriod;
        for (auto const& [address, member] : m_members) {
            if (!m_paused.contains(address))
                perform(address, member->tick(now, m_source));
        }
    }
}

void fleet::perform(std::string const& address, std::vector<membership_action> const& actions)
{
    for (auto const& action : actions) {
        if (auto const* report = std::get_if<newer_version_reported>(&action))
            didReportVersion(address, *report);
        if (std::holds_alternative<subscribers_changed>(action))
            didChangeSubscribers(address);
        auto const* send = std::get_if<send_message>(&action);
        if (!send)
            continue;
        ++messages;
        if (countsBytes) {
            auto const size = frameSize(send->content);
            bytes[address] += size;
            bytes[send->address] += size;
        }
        if (isCut(address, send->address) || uniformUnit(m_source) < lossShare)
            continue;
        for (int copies = uniformUnit(m_source) < repeatShare ? 2 : 1; copies > 0; --copies) {
            auto const delay = microseconds(uniformBelow(m_source, 1 + microseconds(longestDelay).count()));
            m_inFlight.emplace(now + delay, delivery { address, send->address, send->content });
        }
    }
}

void fleet::deliverDueMessages()
{
    while (!m_inFlight.empty() && m_inFlight.begin()->first <= now) {
        auto const delivery = std::move(m_inFlight.begin()->second);
        m_inFlight.erase(m_inFlight.begin());
        auto const receiver = m_members.find(delivery.to);
        if (receiver == m_members.end() || m_paused.contains(delivery.to))
            continue;
        perform(delivery.to, receiver->second->didReceive(delivery.from, delivery.content, now, m_source));
    }
}

bool fleet::haveConverged() const
{
    auto const& first = m_members.begin()->second->table();
    for (auto const& [address, member] : m_members) {
        if (member->table().digest() != first.digest() || member->table().records() != first.records())
            return false;
    }
    return true;
}

std::size_t frameSize(message const& content)
{
    constexpr std::size_t lengthPrefix = 4;
    return lengthPrefix + encodeMessage(content).size();
}

} // namespace merlinpier
