#include "fleet.h"

namespace merlinpier {

member& fleet::start(std::string const& zone, int number, std::vector<std::string> seeds)
{
    auto chosen = settings;
    chosen.address = zone + "-" + std::to_string(number);
    chosen.zone = zone;
    chosen.vm = vmPrefix + chosen.address;
    chosen.httpAddress = chosen.address;
    chosen.seeds = std::move(seeds);
    auto& place = m_members[chosen.address];
    place = std::make_unique<member>(chosen, m_source());
    return *place;
}

void fleet::run(duration time)
{
    for (auto const end = now + time; now < end; now += step) {
        deliverDueMessages();
        for (auto const& [vm, member] : m_members) {
            if (!m_paused.contains(vm))
                perform(vm, member->tick(now, m_source));
        }
    }
}

void fleet::perform(std::string const& vm, std::vector<membership_action> const& actions)
{
    for (auto const& action : actions) {
        auto const* send = std::get_if<send_message>(&action);
        if (!send)
            continue;
        ++messages;
        if (countsBytes) {
            auto const size = frameSize(send->content);
            bytes[vm] += size;
            bytes[send->address] += size;
        }
        if (isCut(vm, send->address) || uniformUnit(m_source) < lossShare)
            continue;
        for (int copies = uniformUnit(m_source) < repeatShare ? 2 : 1; copies > 0; --copies) {
            auto const delay = microseconds(uniformBelow(m_source, 1 + microseconds(longestDelay).count()));
            m_inFlight.emplace(now + delay, delivery { vm, send->address, send->content });
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
    for (auto const& [vm, member] : m_members) {
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
