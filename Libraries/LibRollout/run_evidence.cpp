#include <LibRollout/run_evidence.h>

#include <algorithm>

namespace merlinpier {

namespace {

constexpr char const* otherKinds = "other";

} // namespace

void run_evidence::begin(std::string const& target, std::uint64_t order)
{
    auto& counts = m_targets[target];
    if (counts.order == order)
        return;
    counts = {};
    counts.order = order;
}

void run_evidence::end(std::string const& target) { m_targets.erase(target); }

void run_evidence::didEnd(std::string const& target, std::string const& kind, run_ending ending, duration spent)
{
    auto const found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    auto& counts = found->second;
    bool const isCountedApart = counts.kinds.contains(kind) || counts.kinds.size() < maximumKinds;
    auto& counted = counts.kinds[isCountedApart ? kind : otherKinds];
    counted.kind = isCountedApart ? kind : otherKinds;
    ++counted.runs;
    ++counts.runs;
    if (ending == run_ending::Failed) {
        ++counted.failures;
        ++counts.failures;
    }
    counted.totalMs += static_cast<std::uint64_t>(std::max<std::int64_t>(toMilliseconds(spent), 0));
}

std::vector<kind_evidence> const& run_evidence::published(std::string const& target) const
{
    static std::vector<kind_evidence> const none;
    auto const found = m_targets.find(target);
    return found == m_targets.end() ? none : found->second.published;
}

bool run_evidence::tick(time_point now)
{
    bool isNew = false;
    for (auto& [target, counts] : m_targets) {
        bool const hasGrown = counts.failures > counts.publishedFailures
            || static_cast<double>(counts.runs) > static_cast<double>(counts.publishedRuns) * (1 + growthToPublish);
        if (!hasGrown || now - counts.publishedAt < publicationPeriod)
            continue;
        counts.publishedAt = now;
        counts.publishedRuns = counts.runs;
        counts.publishedFailures = counts.failures;
        counts.published.clear();
        for (auto const& [kind, counted] : counts.kinds)
            counts.published.push_back(counted);
        isNew = true;
    }
    return isNew;
}

} // namespace merlinpier
