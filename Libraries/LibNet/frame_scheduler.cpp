#include <LibNet/frame_scheduler.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace merlinpier {

frame_scheduler::frame_scheduler(frame_scheduler_settings settings)
    : m_settings(settings)
{
}

void frame_scheduler::add(connection_id connection, std::string frame, bulk_frame terms, time_point now)
{
    dropExpired(now);
    auto& to = m_links[connection];
    m_waitingBytes += frame.size();
    to.frames.push_back(
        { .stream = ++to.lastStream, .arrival = ++m_arrivals, .bytes = std::move(frame), .terms = std::move(terms) });
}

std::optional<scheduled_part> frame_scheduler::next(time_point now)
{
    dropExpired(now);
    auto const active = static_cast<std::size_t>(
        std::count_if(m_links.begin(), m_links.end(), [&](auto const& entry) { return isActive(entry.second, now); }));
    link* chosen = nullptr;
    connection_id chosenId = 0;
    std::list<waiting_frame>::iterator first;
    for (auto& [id, candidate] : m_links) {
        bool const mayWrite
            = !candidate.handedAt && (isActive(candidate, now) || active < m_settings.activeConnections);
        if (!mayWrite)
            continue;
        for (auto frame = candidate.frames.begin(); frame != candidate.frames.end(); ++frame) {
            // What tells the receiver to drop a frame goes first: it is small and frees memory there.
            auto const rank = [](waiting_frame const& ranked) {
                return std::tuple(!ranked.isDropped, ranked.terms.deadline, ranked.arrival);
            };
            if (!chosen || rank(*frame) < rank(*first)) {
                chosen = &candidate;
                chosenId = id;
                first = frame;
            }
        }
    }
    if (!chosen)
        return std::nullopt;
    chosen->handedAt = now;
    return scheduled_part { chosenId, takePart(*chosen, first) };
}

frame_part frame_scheduler::takePart(link& from, std::list<waiting_frame>::iterator frame)
{
    frame_part part { .stream = frame->stream, .frameBytes = static_cast<std::uint32_t>(frame->bytes.size()) };
    if (frame->isDropped) {
        part.isAbandoned = true;
        from.frames.erase(frame);
        return part;
    }
    part.bytes = frame->bytes.substr(frame->written, m_settings.partBytes);
    frame->written += part.bytes.size();
    m_waitingBytes -= part.bytes.size();
    part.isLast = frame->written == frame->bytes.size();
    if (part.isLast)
        from.frames.erase(frame);
    return part;
}

void frame_scheduler::didWrite(connection_id connection)
{
    auto const found = m_links.find(connection);
    if (found == m_links.end())
        return;
    found->second.handedAt.reset();
    // The numbers of the streams begin again: nothing of the frames before is under way.
    if (found->second.frames.empty())
        m_links.erase(found);
}

void frame_scheduler::withdraw(connection_id connection, std::string const& label)
{
    auto const found = m_links.find(connection);
    if (found == m_links.end())
        return;
    for (auto& frame : found->second.frames) {
        if (frame.terms.label == label)
            drop(frame);
    }
    std::erase_if(found->second.frames, [](auto const& frame) { return frame.isDropped && frame.written == 0; });
}

void frame_scheduler::didClose(connection_id connection)
{
    m_waitingBytes -= waitingBytes(connection);
    m_links.erase(connection);
}

bool frame_scheduler::isEmpty() const
{
    return std::all_of(m_links.begin(), m_links.end(), [](auto const& entry) { return entry.second.frames.empty(); });
}

std::size_t frame_scheduler::waitingBytes(connection_id connection) const
{
    auto const found = m_links.find(connection);
    if (found == m_links.end())
        return 0;
    std::size_t bytes = 0;
    for (auto const& frame : found->second.frames)
        bytes += frame.isDropped ? 0 : frame.bytes.size() - frame.written;
    return bytes;
}

// A frame whose caller has been answered by its own daemon, at the deadline, would only hold up others.
void frame_scheduler::dropExpired(time_point now)
{
    for (auto& [id, link] : m_links) {
        for (auto& frame : link.frames) {
            if (frame.isDropped || frame.terms.deadline > now)
                continue;
            ++m_expiredFrames;
            drop(frame);
        }
        std::erase_if(link.frames, [](auto const& frame) { return frame.isDropped && frame.written == 0; });
    }
}

void frame_scheduler::drop(waiting_frame& frame)
{
    if (frame.isDropped)
        return;
    m_waitingBytes -= frame.bytes.size() - frame.written;
    frame.isDropped = true;
    // The size stays known to the receiver from the first part.
    std::string().swap(frame.bytes);
}

bool frame_scheduler::isActive(link const& checked, time_point now) const
{
    if (checked.handedAt)
        return now - *checked.handedAt < m_settings.stallTimeout;
    return std::any_of(
        checked.frames.begin(), checked.frames.end(), [](auto const& frame) { return frame.written > 0; });
}

} // namespace merlinpier
