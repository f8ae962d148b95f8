#include <LibNet/recent_messages.h>

#include <iterator>
#include <utility>

namespace merlinpier {

recent_messages::recent_messages(milliseconds retention, std::size_t maximumBytes)
    : m_retention(retention)
    , m_maximumBytes(maximumBytes)
{
}

void recent_messages::didSend(connection_id connection, std::string const& encoded, time_point now)
{
    auto& sent = m_sent[connection];
    sent.messages.push_back({ encoded, now });
    sent.bytes += encoded.size();
    expire(sent, now);
}

void recent_messages::expire(time_point now)
{
    for (auto entry = m_sent.begin(); entry != m_sent.end();) {
        expire(entry->second, now);
        entry = entry->second.messages.empty() ? m_sent.erase(entry) : std::next(entry);
    }
}

void recent_messages::expire(sent_messages& sent, time_point now) const
{
    auto& [messages, bytes] = sent;
    while (!messages.empty() && (bytes > m_maximumBytes || now - messages.front().at > m_retention)) {
        bytes -= messages.front().encoded.size();
        messages.pop_front();
    }
}

std::vector<std::string> recent_messages::take(connection_id connection, time_point now)
{
    std::vector<std::string> recent;
    auto const found = m_sent.find(connection);
    if (found == m_sent.end())
        return recent;
    for (auto& message : found->second.messages) {
        if (now - message.at <= m_retention)
            recent.push_back(std::move(message.encoded));
    }
    m_sent.erase(found);
    return recent;
}

} // namespace merlinpier
