#include <LibCore/bounded_log_sink.h>

#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace merlinpier {

namespace {

// Lines that one event may write in a second. A call writes up to three events, so that several hundred calls a second
// are covered; above that, lines cost more processor time than they help.
constexpr std::uint32_t linesPerEventAndSecond = 60;
// What waits for a reader of the log at most.
constexpr std::size_t maximumBufferBytes = 256 * 1024;

} // namespace

bounded_log_sink::bounded_log_sink(int descriptor)
    : m_descriptor(descriptor)
    , m_secondBegan(currentTime())
{
    fcntl(m_descriptor, F_SETFL, fcntl(m_descriptor, F_GETFL) | O_NONBLOCK);
}

bool bounded_log_sink::admits(std::string_view event)
{
    if (currentTime() - m_secondBegan >= seconds(1))
        tellLeftOut();
    auto found = m_events.find(event);
    if (found == m_events.end())
        found = m_events.emplace(std::string(event), event_count {}).first;
    if (found->second.written >= linesPerEventAndSecond) {
        ++found->second.leftOut;
        return false;
    }
    ++found->second.written;
    return true;
}

void bounded_log_sink::tellLeftOut()
{
    m_secondBegan = currentTime();
    for (auto const& [event, count] : m_events) {
        if (count.leftOut > 0)
            append("WARNING", "event=log_lines_left_out of=" + event + " lines=" + std::to_string(count.leftOut));
    }
    m_events.clear();
    if (m_dropped > 0)
        append("WARNING", "event=log_buffer_full lines=" + std::to_string(std::exchange(m_dropped, 0)));
}

void bounded_log_sink::send(google::LogSeverity severity, char const*, char const*, int, tm const*, char const* message,
    std::size_t messageLength)
{
    append(google::GetLogSeverityName(severity), { message, messageLength });
}

void bounded_log_sink::append(char const* level, std::string_view message)
{
    if (m_buffer.size() + message.size() > maximumBufferBytes) {
        ++m_dropped;
        return;
    }
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    m_buffer += "time_ms=" + std::to_string(std::chrono::duration_cast<milliseconds>(now).count()) + " level=";
    m_buffer += level;
    m_buffer += ' ';
    m_buffer += message;
    m_buffer += '\n';
}

void bounded_log_sink::flush()
{
    if (m_buffer.empty())
        return;
    ssize_t const written = ::write(m_descriptor, m_buffer.data(), m_buffer.size());
    if (written > 0)
        m_buffer.erase(0, static_cast<std::size_t>(written));
}

} // namespace merlinpier
