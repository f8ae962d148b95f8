#include <LibNet/accepted_links.h>

#include <algorithm>

namespace merlinpier {

accepted_links::accepted_links(link_settings const& settings)
    : m_settings(settings)
{
}

void accepted_links::didSend(connection_id connection, time_point now)
{
    m_unanswered.try_emplace(connection, unanswered { now, now });
}

void accepted_links::didReceive(connection_id connection) { m_unanswered.erase(connection); }

void accepted_links::didClose(connection_id connection) { m_unanswered.erase(connection); }

std::vector<accepted_link_action> accepted_links::tick(time_point now)
{
    std::vector<accepted_link_action> actions;
    if (!m_tickedAt || now - *m_tickedAt > m_settings.stallAllowance)
        m_listeningSince = now;
    m_tickedAt = now;
    for (auto entry = m_unanswered.begin(); entry != m_unanswered.end();) {
        auto& [connection, state] = *entry;
        if (now - std::max(state.since, m_listeningSince) >= m_settings.silenceTimeout) {
            actions.emplace_back(close_connection { connection });
            entry = m_unanswered.erase(entry);
            continue;
        }
        if (now - state.pingedAt >= m_settings.pingPeriod) {
            state.pingedAt = now;
            actions.emplace_back(send_ping { connection, ++m_pings });
        }
        ++entry;
    }
    return actions;
}

} // namespace merlinpier
