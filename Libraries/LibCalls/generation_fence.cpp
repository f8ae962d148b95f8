#include <LibCalls/generation_fence.h>

#include <algorithm>

namespace merlinpier {

namespace {

constexpr seconds expiryPeriod { 1 };

} // namespace

void generation_fence::raise(std::uint64_t instance, std::uint64_t generation, time_point now)
{
    auto& origin = m_origins[instance];
    origin.generation = std::max(origin.generation, generation);
    origin.lastHeard = std::max(origin.lastHeard, now);
}

bool generation_fence::isStale(std::uint64_t instance, std::uint64_t generation) const
{
    auto const found = m_origins.find(instance);
    return found != m_origins.end() && generation < found->second.generation;
}

replay_window& generation_fence::window(std::uint64_t instance, time_point now)
{
    auto& origin = m_origins[instance];
    origin.lastHeard = std::max(origin.lastHeard, now);
    return origin.window;
}

void generation_fence::expire(time_point now, duration retention)
{
    if (now < m_nextExpiry)
        return;
    m_nextExpiry = now + expiryPeriod;
    std::erase_if(m_origins, [&](auto const& origin) { return now - origin.second.lastHeard > retention; });
}

} // namespace merlinpier
