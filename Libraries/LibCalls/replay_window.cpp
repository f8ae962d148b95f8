#include <LibCalls/replay_window.h>

#include <algorithm>

namespace merlinpier {

replay_window::replay_window(std::size_t capacity)
    : m_capacity(capacity)
{
}

replay_window::verdict replay_window::classify(std::uint64_t number) const
{
    auto const found = std::lower_bound(m_seen.begin(), m_seen.end(), number,
        [](seen_number const& seen, std::uint64_t wanted) { return seen.number < wanted; });
    if (found != m_seen.end() && found->number == number)
        return found->isNotRun ? verdict::SeenNotRun : verdict::Seen;
    return number <= m_floor ? verdict::BelowWindow : verdict::New;
}

void replay_window::add(std::uint64_t number)
{
    auto const place = std::lower_bound(m_seen.begin(), m_seen.end(), number,
        [](seen_number const& seen, std::uint64_t wanted) { return seen.number < wanted; });
    if (number <= m_floor || (place != m_seen.end() && place->number == number))
        return;
    m_seen.insert(place, { number, false });
    if (m_seen.size() <= m_capacity)
        return;
    m_floor = m_seen.front().number;
    m_seen.erase(m_seen.begin());
}

void replay_window::markNotRun(std::uint64_t number)
{
    add(number);
    for (auto& seen : m_seen) {
        if (seen.number == number)
            seen.isNotRun = true;
    }
}

} // namespace merlinpier
