#include <LibRollout/rollout_evidence.h>

#include <algorithm>
#include <set>

namespace merlinpier {

namespace {

// The new version is slow if its runs take this many times as long as those of the old one.
constexpr double slowRatio = 2.0;
constexpr std::uint64_t runsForSlowness = 20;
// Targets with at least this many runs vote on whether the slowness is the version's: two thirds of them have to be
// slower than the old version by the smaller ratio, so that a slow VM is not taken for a slow version.
constexpr std::uint64_t runsForVote = 4;
constexpr double voteRatio = 1.5;
constexpr std::size_t targetsToTellApart = 3;
// Adds runs without failures to the old version's count, so that a single failure among few runs says little.
constexpr double priorRuns = 50;
// Run times below this differ by scheduling rather than by version.
constexpr double shortestComparedMs = 2;

std::string sourceKey(member_record const& member, target_record const& target)
{
    return target.id + "/" + std::to_string(member.instance) + "/" + std::to_string(target.startedAt);
}

} // namespace

char const* faultName(rollout_fault fault)
{
    switch (fault) {
    case rollout_fault::Failures:
        return "failures";
    case rollout_fault::Slowness:
        return "slowness";
    case rollout_fault::NoTargets:
        return "no_targets";
    case rollout_fault::Aborted:
        return "aborted";
    }
    return "failures";
}

rollout_evidence::rollout_evidence(std::string service, std::string targetVersion)
    : m_service(std::move(service))
    , m_targetVersion(std::move(targetVersion))
{
}

void rollout_evidence::observe(membership_table const& membership, target_ages const& ages, time_point now)
{
    bool hasChanged = false;
    for (auto const& [vm, member] : membership.records()) {
        for (auto const& target : member.targets) {
            if (target.service != m_service || target.version.empty())
                continue;
            auto const [found, isFirst] = m_sources.try_emplace(sourceKey(member, target));
            auto& source = found->second;
            if (isFirst) {
                source.isNew = target.version == m_targetVersion;
                source.target = target.id;
            }
            if (!source.isWarm && ages.ageOf(target, now) >= coldTime) {
                source.isWarm = true;
                for (auto& [kind, counted] : source.kinds)
                    counted.whenWarm = counted.windowStart = counted.previousWindowStart = counted.current;
            }
            for (auto const& evidence : target.evidence) {
                auto const known = source.kinds.find(evidence.kind);
                if (known != source.kinds.end() && known->second.current.runs >= evidence.runs)
                    continue;
                take(source, target.evidence);
                hasChanged = true;
                break;
            }
        }
    }
    std::set<std::string> newTargets;
    for (auto const& [key, source] : m_sources) {
        if (source.isNew)
            newTargets.insert(source.target);
    }
    m_newTargets = newTargets.size();
    if (hasChanged && !m_finding)
        m_finding = findFailures();
    if (hasChanged && !m_finding) {
        for (auto const& [kind, test] : m_failureTests) {
            if (kind.empty() || m_finding)
                continue;
            m_finding = findSlowness(kind, time_span::Cumulative);
            if (!m_finding)
                m_finding = findSlowness(kind, time_span::Windowed);
        }
    }
    if (now - m_windowStarted >= windowPeriod)
        startWindow(now);
}

void rollout_evidence::take(source& source, std::vector<kind_evidence> const& published)
{
    for (auto const& evidence : published) {
        auto& known = source.kinds[evidence.kind];
        counts const next { evidence.runs, evidence.failures, evidence.totalMs };
        if (next.runs < known.current.runs || next.failures < known.current.failures)
            continue;
        auto const added = next - known.current;
        known.current = next;
        if (!source.isNew) {
            for (auto const& name : { std::string(), evidence.kind }) {
                auto& totals = m_oldTotals[name];
                totals.runs += added.runs;
                totals.failures += added.failures;
                totals.totalMs += added.totalMs;
            }
            continue;
        }
        m_newTotals.runs += added.runs;
        m_newTotals.failures += added.failures;
        m_newTotals.totalMs += added.totalMs;
        for (auto const& name : { std::string(), evidence.kind })
            m_failureTests[name].add(
                source.target, added.runs, added.failures, failure_test::ratesFor(failureRateOfOld(name)));
    }
}

void rollout_evidence::startWindow(time_point now)
{
    m_windowStarted = now;
    for (auto& [key, source] : m_sources) {
        for (auto& [kind, counted] : source.kinds) {
            counted.previousWindowStart = counted.windowStart;
            counted.windowStart = counted.current;
        }
    }
}

double rollout_evidence::failureRateOfOld(std::string const& kind) const
{
    auto const found = m_oldTotals.find(kind);
    if (found == m_oldTotals.end())
        return 0;
    return static_cast<double>(found->second.failures) / (static_cast<double>(found->second.runs) + priorRuns);
}

rollout_finding rollout_evidence::failuresOf(std::string const& kind, failure_test const& test) const
{
    return { rollout_fault::Failures, kind, test.runs(), test.failures(),
        test.runs() == 0 ? 0 : static_cast<double>(test.failures()) / static_cast<double>(test.runs()),
        failureRateOfOld(kind) };
}

std::optional<rollout_finding> rollout_evidence::findFailures() const
{
    for (auto const& [kind, test] : m_failureTests) {
        if (test.isBad(m_newTargets))
            return failuresOf(kind, test);
    }
    return std::nullopt;
}

// Of all kinds together only: a few runs of a rare kind lean either way by chance.
std::optional<rollout_finding> rollout_evidence::leaning() const
{
    auto const overall = m_failureTests.find({});
    if (overall == m_failureTests.end() || !overall->second.isLeaningBad(m_newTargets))
        return std::nullopt;
    return failuresOf({}, overall->second);
}

rollout_evidence::counts rollout_evidence::spanOf(source const& source, std::string const& kind, time_span span) const
{
    auto const found = source.kinds.find(kind);
    if (found == source.kinds.end() || !source.isWarm)
        return {};
    auto const& counted = found->second;
    return counted.current - (span == time_span::Cumulative ? counted.whenWarm : counted.previousWindowStart);
}

std::optional<rollout_finding> rollout_evidence::findSlowness(std::string const& kind, time_span span) const
{
    counts ofOld;
    std::map<std::string, counts> byNewTarget;
    for (auto const& [key, source] : m_sources) {
        auto const spent = spanOf(source, kind, span);
        if (spent.runs == 0)
            continue;
        auto& sum = source.isNew ? byNewTarget[source.target] : ofOld;
        sum.runs += spent.runs;
        sum.totalMs += spent.totalMs;
    }
    if (ofOld.runs < runsForSlowness || byNewTarget.empty())
        return std::nullopt;
    double const oldMean = std::max(ofOld.meanMs(), shortestComparedMs);
    std::size_t voters = 0;
    std::size_t slowVoters = 0;
    counts ofNew;
    counts slowest;
    for (auto const& [target, sum] : byNewTarget) {
        ofNew.runs += sum.runs;
        ofNew.totalMs += sum.totalMs;
        if (sum.runs >= runsForVote) {
            ++voters;
            slowVoters += sum.meanMs() >= voteRatio * oldMean;
        }
        if (sum.meanMs() > slowest.meanMs())
            slowest = sum;
    }
    if (byNewTarget.size() >= targetsToTellApart)
        ofNew = ofNew - slowest;
    bool const isSlow = ofNew.runs >= runsForSlowness && ofNew.meanMs() >= slowRatio * oldMean;
    if (!isSlow || slowVoters * 3 < voters * 2)
        return std::nullopt;
    return rollout_finding { rollout_fault::Slowness, kind, ofNew.runs, 0, ofNew.meanMs(), ofOld.meanMs() };
}

rollout_evidence::version_totals rollout_evidence::newTotals() const
{
    return { m_newTotals.runs, m_newTotals.failures, m_newTotals.totalMs };
}

rollout_evidence::version_totals rollout_evidence::oldTotals() const
{
    auto const found = m_oldTotals.find({});
    return found == m_oldTotals.end()
        ? version_totals {}
        : version_totals { found->second.runs, found->second.failures, found->second.totalMs };
}

bool rollout_evidence::isDoubtful() const
{
    auto const overall = m_failureTests.find({});
    return overall == m_failureTests.end() || overall->second.isDoubtful();
}

} // namespace merlinpier
