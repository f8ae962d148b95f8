#include <LibMembership/join_schedule.h>

#include <algorithm>

namespace merlinpier {

namespace {

constexpr milliseconds firstJitter { 200 };
constexpr milliseconds longestJitter { 10000 };
constexpr unsigned mostDoublings = 6;
constexpr milliseconds strangerPeriod { 30000 };

duration upTo(milliseconds bound, generator& source)
{
    return milliseconds(uniformBelow(source, static_cast<std::uint64_t>(bound.count()) + 1));
}

} // namespace

join_schedule::join_schedule(std::string ownAddress, std::vector<std::string> const& seeds)
    : m_ownAddress(std::move(ownAddress))
{
    addSeeds(seeds);
}

void join_schedule::addSeeds(std::vector<std::string> const& seeds)
{
    for (auto const& seed : seeds) {
        if (seed != m_ownAddress && std::find(m_seeds.begin(), m_seeds.end(), seed) == m_seeds.end())
            m_seeds.push_back(seed);
    }
}

std::optional<std::string> join_schedule::nextAttempt(time_point now, generator& source)
{
    if (m_seeds.empty())
        return {};
    if (!m_nextAttempt) {
        m_nextAttempt = now + upTo(firstJitter, source);
        // Each daemon begins with another seed, so that no seed meets all of a herd.
        m_nextSeed = uniformBelow(source, m_seeds.size());
    }
    if (now < *m_nextAttempt)
        return {};
    auto const ceiling = std::min(firstJitter * (1U << std::min(++m_attempts, mostDoublings)), longestJitter);
    m_nextAttempt = now + firstJitter + upTo(ceiling, source);
    return m_seeds[m_nextSeed++ % m_seeds.size()];
}

void join_schedule::didJoin()
{
    m_nextAttempt.reset();
    m_attempts = 0;
}

bool join_schedule::isStrangerDue(time_point now, generator& source)
{
    if (!m_nextStranger)
        m_nextStranger = now + upTo(strangerPeriod, source);
    if (now < *m_nextStranger)
        return false;
    m_nextStranger = now + strangerPeriod / 2 + upTo(strangerPeriod, source);
    return true;
}

std::optional<std::string> join_schedule::nextStranger(std::vector<std::string> const& known)
{
    for (std::size_t i = 0; i < m_seeds.size(); ++i) {
        auto const& seed = m_seeds[m_nextSeed++ % m_seeds.size()];
        if (std::find(known.begin(), known.end(), seed) == known.end())
            return seed;
    }
    return {};
}

} // namespace merlinpier
