#include <LibMembership/join_schedule.h>

#include <algorithm>

namespace merlinpier {

namespace {

constexpr milliseconds initialDelay { 200 };
constexpr milliseconds maximumDelay { 10000 };
constexpr unsigned maximumDoublings = 6;
constexpr milliseconds unknownSeedPeriod { 30000 };

duration uniformDelayUpTo(milliseconds bound, generator& source)
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
    if (!m_nextAttemptTime) {
        m_nextAttemptTime = now + uniformDelayUpTo(initialDelay, source);
        // Each daemon begins with a random seed, so that daemons that start together do not overload one seed.
        m_nextSeed = uniformBelow(source, m_seeds.size());
    }
    if (now < *m_nextAttemptTime)
        return {};
    auto const ceiling = std::min(initialDelay * (1U << std::min(++m_attempts, maximumDoublings)), maximumDelay);
    m_nextAttemptTime = now + initialDelay + uniformDelayUpTo(ceiling, source);
    return m_seeds[m_nextSeed++ % m_seeds.size()];
}

void join_schedule::didJoin()
{
    m_nextAttemptTime.reset();
    m_attempts = 0;
}

bool join_schedule::isUnknownSeedDue(time_point now, generator& source)
{
    if (!m_nextUnknownSeedTime)
        m_nextUnknownSeedTime = now + uniformDelayUpTo(unknownSeedPeriod, source);
    if (now < *m_nextUnknownSeedTime)
        return false;
    m_nextUnknownSeedTime = now + unknownSeedPeriod / 2 + uniformDelayUpTo(unknownSeedPeriod, source);
    return true;
}

std::optional<std::string> join_schedule::nextUnknownSeed(std::vector<std::string> const& known)
{
    for (std::size_t i = 0; i < m_seeds.size(); ++i) {
        auto const& seed = m_seeds[m_nextSeed++ % m_seeds.size()];
        if (std::find(known.begin(), known.end(), seed) == known.end())
            return seed;
    }
    return {};
}

} // namespace merlinpier
