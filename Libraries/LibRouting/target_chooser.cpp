#include <LibRouting/target_chooser.h>

#include <LibCore/digest.h>
#include <algorithm>

namespace merlinpier {

namespace {

// Added to the load score of a target that has just become ready, in thousandths of its slots; falls to 0 over the slow
// start.
constexpr double coldPenaltyPermille = 1000;
// During slow start, a target counts as having at least this share of its slots.
constexpr double minimumWarmUpShare = 0.1;
// Keeps the shift that doubles the ejection time within the range of int.
constexpr std::uint32_t maximumEjectionDoublings = 16;
// Assumed for a kind of call for which no target has reported a service time yet.
constexpr milliseconds defaultServiceTime { 50 };
// Service times vary: a call that is expected to take up to safeObjectiveShare of its objective is hardly ever late,
// one that is expected to take missedObjectiveShare or more nearly always is.
constexpr double safeObjectiveShare = 0.5;
constexpr double missedObjectiveShare = 1.3;
// Makes the faster of otherwise equal targets win; small enough not to outweigh a kilobyte transferred between zones.
constexpr double finishTimeCost = 0.05;
// How many random targets are compared for one call, in the own zone and in the others (power of two choices).
constexpr std::size_t sampleSize = 2;
// Targets with a load report as recent as this are compared in addition to the sample: most likely they have just
// refused this very call.
constexpr milliseconds freshLoadReportAge { 10 };
constexpr double bytesPerKilobyte = 1024;
// Headers and framing of a call and its answer, added to the size of the bodies.
constexpr double overheadBytes = 600;
// For this long after a refusal, a target of another zone is not offered calls of that kind unless its load has fallen:
// the body would be transferred between zones for nothing. Short, so that freed capacity is soon noticed.
constexpr milliseconds refusalLifetime { 500 };
// Smaller requests are offered despite an earlier refusal: another one wastes little.
constexpr std::size_t largeRequestBytes = 1024;
// A call that one target refused is retried at another whose cost is at most this; above it, the caller does better to
// retry later in its own zone.
constexpr double maximumRetryCost = 0.7;
// A service counts as one whose targets announce a pace for this long after the last announcement.
constexpr milliseconds paceMemory { 10000 };

double warmUpShare(target_observation const& seen, time_point now)
{
    if (seen.slowStart <= duration::zero() || now >= seen.firstSeenAt + seen.slowStart)
        return 1;
    double const share = std::chrono::duration<double>(now - seen.firstSeenAt) / seen.slowStart;
    return std::max(share, minimumWarmUpShare);
}

} // namespace

target_chooser::target_chooser(chooser_settings settings)
    : m_settings(std::move(settings))
{
}

std::optional<route_target> target_chooser::choose(
    service_route const& service, std::set<std::string> const& tried, time_point now, generator& random) const
{
    auto const all = eligibleTargets(service, tried, now);
    if (all.empty())
        return std::nullopt;
    if (m_settings.policy == choice_policy::Random)
        return *all[uniformBelow(random, all.size())];

    candidates sameZone;
    std::copy_if(all.begin(), all.end(), std::back_inserter(sameZone),
        [&](auto const* target) { return target->zone == m_settings.zone; });
    auto const* inOwnZone = lessLoadedOfTwo(sameZone, now, random);
    if (inOwnZone && !isAboveSpillover(*inOwnZone, now))
        return *inOwnZone;
    auto const* inAnyZone = lessLoadedOfTwo(all, now, random);
    bool const isOwnZoneBetter = inOwnZone && loadScore(*inOwnZone, now) <= loadScore(*inAnyZone, now);
    return isOwnZoneBetter ? *inOwnZone : *inAnyZone;
}

std::optional<route_target> target_chooser::chooseFor(service_route const& service, call_demand const& demand,
    std::set<std::string> const& tried, time_point now, generator& random) const
{
    if (m_settings.policy != choice_policy::ExpectedFinish)
        return choose(service, tried, now, random);
    auto const all = eligibleTargets(service, tried, now);
    candidates sameZone;
    candidates otherZones;
    for (auto const* target : all) {
        if (target->zone == m_settings.zone)
            sameZone.push_back(target);
        else if (!expectedRefusal(*target, demand, now))
            otherZones.push_back(target);
    }
    auto compared = takeSample(sameZone, random);
    std::copy_if(sameZone.begin(), sameZone.end(), std::back_inserter(compared), [&](auto const* target) {
        // A large answer does not pass any link if the call stays on this VM.
        return hasFreshLoadReport(*target, now) || (demand.isBulk && target->vm == m_settings.vm);
    });
    auto const isSafe = [&](route_target const* target) {
        double const finish
            = std::chrono::duration<double>(expectedFinish(*target, demand.kind, now) + transferTime(*target, demand))
                  .count();
        return finish <= safeObjectiveShare * std::chrono::duration<double>(demand.objective).count();
    };
    if (std::none_of(compared.begin(), compared.end(), isSafe)) {
        auto const sampled = takeSample(otherZones, random);
        compared.insert(compared.end(), sampled.begin(), sampled.end());
    }
    if (compared.empty())
        return std::nullopt;
    return **std::min_element(compared.begin(), compared.end(),
        [&](auto const* first, auto const* second) { return cost(*first, demand, now) < cost(*second, demand, now); });
}

bool target_chooser::hasFreshLoadReport(route_target const& target, time_point now) const
{
    auto const found = m_observations.find(target.id);
    return found != m_observations.end() && found->second.loadReportedAt
        && now - *found->second.loadReportedAt <= freshLoadReportAge;
}

load_refusal const* target_chooser::expectedRefusal(
    route_target const& target, call_demand const& demand, time_point now) const
{
    auto const found = m_observations.find(target.id);
    bool const isAlwaysOffered = target.zone == m_settings.zone || demand.requestBytes < largeRequestBytes;
    if (isAlwaysOffered || found == m_observations.end())
        return nullptr;
    auto const refusal = found->second.refusals.find(demand.kind);
    if (refusal == found->second.refusals.end() || now - refusal->second.refusedAt > refusalLifetime)
        return nullptr;
    return found->second.loadPermille >= refusal->second.loadPermille ? &refusal->second : nullptr;
}

std::optional<duration> target_chooser::expectedRetryAfter(
    service_route const& service, call_demand const& demand, std::set<std::string> const& tried, time_point now) const
{
    if (m_settings.policy != choice_policy::ExpectedFinish)
        return std::nullopt;
    std::optional<time_point> earliest;
    for (auto const* target : eligibleTargets(service, tried, now)) {
        auto const* refusal = expectedRefusal(*target, demand, now);
        if (!refusal)
            return std::nullopt;
        earliest = earliest ? std::min(*earliest, refusal->retryAt) : refusal->retryAt;
    }
    if (!earliest)
        return std::nullopt;
    return std::max(*earliest - now, duration::zero());
}

std::size_t target_chooser::sameZoneTargetCount(
    service_route const& service, std::set<std::string> const& tried, time_point now) const
{
    auto const all = eligibleTargets(service, tried, now);
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [&](auto const* target) { return target->zone == m_settings.zone; }));
}

// Returns a few random targets. If daemons compared all targets, those with the same load reports would all send to one
// target until its next report (Mitzenmacher, "How Useful Is Old Information?", 2000).
target_chooser::candidates target_chooser::takeSample(candidates targets, generator& random)
{
    if (targets.size() <= sampleSize)
        return targets;
    for (std::size_t i = 0; i < sampleSize; ++i)
        std::swap(targets[i], targets[i + uniformBelow(random, targets.size() - i)]);
    targets.resize(sampleSize);
    return targets;
}

double target_chooser::cost(route_target const& target, call_demand const& demand, time_point now) const
{
    double const finish
        = std::chrono::duration<double>(expectedFinish(target, demand.kind, now) + transferTime(target, demand))
              .count();
    double const objective = std::max(std::chrono::duration<double>(demand.objective).count(), 0.001);
    double const share = finish / objective;
    double const lateness
        = std::clamp((share - safeObjectiveShare) / (missedObjectiveShare - safeObjectiveShare), 0.0, 1.0);
    double const kilobytes = (static_cast<double>(demand.bytes) + overheadBytes) / bytesPerKilobyte;
    double const transferCost = target.zone == m_settings.zone ? 0 : kilobytes * m_settings.crossZoneCostPerKilobyte;
    return lateness * m_settings.latenessCost + transferCost + finishTimeCost * share;
}

duration target_chooser::expectedFinish(route_target const& target, std::string const& kind, time_point now) const
{
    auto const found = m_observations.find(target.id);
    auto const typical = meanServiceTime(kind);
    if (found == m_observations.end())
        return typical;
    auto const& seen = found->second;
    auto const learnt = seen.serviceTimes.meanOf(kind);
    auto const service = learnt == duration::zero() ? typical : learnt;
    auto const overallMean
        = seen.serviceTimes.overallMean() == duration::zero() ? service : seen.serviceTimes.overallMean();
    double const slots = std::max<double>(1, target.slots);
    double inSystem = static_cast<double>(seen.outstanding);
    if (seen.loadReportedAt) {
        // In each mean service time since the report, every busy slot finishes one of the reported calls; the attempts
        // sent since the report add to them.
        double const ageInServiceTimes = std::chrono::duration<double>(now - *seen.loadReportedAt) / overallMean;
        double const reportedCalls = seen.loadPermille * slots / 1000.0;
        inSystem = std::max(inSystem,
            reportedCalls - ageInServiceTimes * std::min(reportedCalls, slots)
                + static_cast<double>(seen.sentSinceLoadReport));
    }
    double const callsAheadPerSlot = std::max(0.0, inSystem + 1 - slots) / slots;
    auto const wait = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, duration::period>(overallMean) * callsAheadPerSlot);
    return seen.pace.timeFor(wait + service, now);
}

bool target_chooser::isRetryWorthwhile(route_target const& target, call_demand const& demand, time_point now) const
{
    if (m_settings.policy != choice_policy::ExpectedFinish)
        return !isAboveSpillover(target, now);
    return cost(target, demand, now) <= maximumRetryCost;
}

duration target_chooser::meanServiceTime(std::string const& kind) const
{
    auto const learnt = m_serviceTimes.meanOf(kind);
    return learnt == duration::zero() ? duration(defaultServiceTime) : learnt;
}

void target_chooser::didReportServiceTime(std::string const& target, std::string const& kind, duration reported)
{
    if (reported <= duration::zero())
        return;
    m_serviceTimes.addSample(kind, reported);
    if (auto const found = m_observations.find(target); found != m_observations.end())
        found->second.serviceTimes.addSample(kind, reported);
}

void target_chooser::didReportPace(std::string const& target, std::uint32_t percent, time_point now)
{
    auto const found = m_observations.find(target);
    if (percent > 0 && found != m_observations.end())
        found->second.pace = { percent, now };
}

bool target_chooser::announcesPace(service_route const& service, time_point now) const
{
    return std::any_of(service.targets.begin(), service.targets.end(), [&](route_target const& target) {
        auto const found = m_observations.find(target.id);
        return found != m_observations.end() && found->second.pace.isKnown()
            && now - found->second.pace.announcedAt() <= paceMemory;
    });
}

std::optional<route_target> target_chooser::chooseForKey(service_route const& service,
    std::set<std::string> const& tried, std::string const& key, key_affinity affinity, time_point now) const
{
    candidates ranked;
    auto const addUntried = [&](std::vector<route_target> const& targets) {
        for (auto const& target : targets) {
            if (!tried.contains(target.id))
                ranked.push_back(&target);
        }
    };
    addUntried(service.targets);
    if (affinity == key_affinity::Strict)
        addUntried(service.leaving);
    if (ranked.empty())
        return std::nullopt;
    std::uint64_t const seed = hash64(key);
    std::sort(ranked.begin(), ranked.end(), [&](auto const* first, auto const* second) {
        return std::pair(hash64(first->id, seed), first->id) > std::pair(hash64(second->id, seed), second->id);
    });
    if (affinity == key_affinity::Strict)
        return *ranked.front();

    auto const inUse = withoutEjected(ranked, now);
    auto const belowSpillover
        = std::find_if(inUse.begin(), inUse.end(), [&](auto const* target) { return !isAboveSpillover(*target, now); });
    return belowSpillover == inUse.end() ? *inUse.front() : **belowSpillover;
}

bool target_chooser::isAboveSpillover(route_target const& target, time_point now) const
{
    return loadScore(target, now) > m_settings.spilloverPermille;
}

void target_chooser::didSend(std::string const& target, time_point now)
{
    auto const [seen, isNew] = m_observations.try_emplace(target);
    if (isNew)
        seen->second.firstSeenAt = now;
    ++seen->second.outstanding;
    ++seen->second.sentSinceLoadReport;
}

void target_chooser::didEnd(
    std::string const& target, attempt_outcome outcome, std::optional<std::uint32_t> loadPermille, time_point now)
{
    auto const found = m_observations.find(target);
    if (found == m_observations.end())
        return;
    auto& seen = found->second;
    if (seen.outstanding > 0)
        --seen.outstanding;
    if (loadPermille) {
        seen.loadPermille = *loadPermille;
        seen.loadReportedAt = now;
        seen.sentSinceLoadReport = 0;
    }
    if (outcome == attempt_outcome::Unreachable || outcome == attempt_outcome::Lost)
        return recordFailure(seen, now);
    seen.consecutiveFailures = 0;
    if (outcome == attempt_outcome::Answered && !seen.isEjected(now))
        seen.ejections = 0;
}

void target_chooser::didRefuseForLoad(
    std::string const& target, std::string const& kind, duration retryAfter, time_point now)
{
    if (auto const found = m_observations.find(target); found != m_observations.end())
        found->second.refusals[kind] = { found->second.loadPermille, now, now + retryAfter };
}

void target_chooser::recordFailure(target_observation& seen, time_point now) const
{
    ++seen.consecutiveFailures;
    if (seen.consecutiveFailures < m_settings.consecutiveFailuresToEject || seen.isEjected(now))
        return;
    auto const doublings = std::min(seen.ejections, maximumEjectionDoublings);
    seen.ejectedUntil = now + std::min(m_settings.baseEjectionTime * (1 << doublings), m_settings.maximumEjectionTime);
    ++seen.ejections;
    // A single failure after the ejection ends is enough to eject the target again.
    seen.consecutiveFailures = m_settings.consecutiveFailuresToEject - 1;
}

void target_chooser::setSnapshot(routing_snapshot const& snapshot, time_point now)
{
    std::map<std::string, target_observation> kept;
    auto const keep = [&](service_route const& service) {
        for (auto const& target : service.targets) {
            auto const found = m_observations.find(target.id);
            auto& seen = kept[target.id];
            if (found != m_observations.end())
                seen = found->second;
            else
                seen.firstSeenAt = now;
            seen.slowStart = service.configuration.slowStart;
        }
    };
    for (auto const& [name, service] : snapshot.services())
        keep(service);
    for (auto const& [name, service] : snapshot.canaries())
        keep(service);
    // Keeps targets that are gone until their attempts in flight have ended, so that didEnd() finds their counts.
    for (auto const& [id, seen] : m_observations) {
        if (seen.outstanding > 0)
            kept.try_emplace(id, seen);
    }
    m_observations = std::move(kept);
}

std::vector<std::string> target_chooser::ejected(time_point now) const
{
    std::vector<std::string> ids;
    for (auto const& [id, seen] : m_observations) {
        if (seen.isEjected(now))
            ids.push_back(id);
    }
    return ids;
}

std::size_t target_chooser::outstanding(std::string const& target) const
{
    auto const found = m_observations.find(target);
    return found == m_observations.end() ? 0 : found->second.outstanding;
}

target_chooser::candidates target_chooser::eligibleTargets(
    service_route const& service, std::set<std::string> const& tried, time_point now) const
{
    candidates all;
    for (auto const& target : service.targets)
        all.push_back(&target);
    auto inUse = withoutEjected(all, now);
    auto const isUntried = [&](auto const* target) {
        return !tried.contains(target->id);
    };
    // An ejected target is better than none.
    bool const hasUntried = std::any_of(inUse.begin(), inUse.end(), isUntried);
    candidates untried;
    auto const& source = hasUntried ? inUse : all;
    std::copy_if(source.begin(), source.end(), std::back_inserter(untried), isUntried);
    return untried;
}

// Leaves out ejected targets up to the maximum share; beyond it, those whose ejection ends soonest stay in use.
target_chooser::candidates target_chooser::withoutEjected(candidates targets, time_point now) const
{
    auto const ejectionEnd = [&](route_target const* target) {
        auto const found = m_observations.find(target->id);
        return found != m_observations.end() && found->second.isEjected(now) ? found->second.ejectedUntil
                                                                             : time_point {};
    };
    std::vector<time_point> ejectionEnds;
    for (auto const* target : targets) {
        if (auto const end = ejectionEnd(target); end != time_point {})
            ejectionEnds.push_back(end);
    }
    if (ejectionEnds.empty())
        return targets;
    auto const maximumEjected = std::min<std::size_t>(
        static_cast<std::size_t>(m_settings.maximumEjectedShare * targets.size()), targets.size() - 1);
    std::sort(ejectionEnds.rbegin(), ejectionEnds.rend());
    if (ejectionEnds.size() > maximumEjected)
        ejectionEnds.resize(maximumEjected);
    candidates inUse;
    std::size_t remainingToLeaveOut = ejectionEnds.size();
    for (auto const* target : targets) {
        auto const end = ejectionEnd(target);
        if (remainingToLeaveOut > 0 && end != time_point {} && end >= ejectionEnds.back()) {
            --remainingToLeaveOut;
            continue;
        }
        inUse.push_back(target);
    }
    return inUse;
}

route_target const* target_chooser::lessLoadedOfTwo(candidates const& targets, time_point now, generator& random) const
{
    if (targets.empty())
        return nullptr;
    if (targets.size() == 1)
        return targets.front();
    auto const first = uniformBelow(random, targets.size());
    auto second = uniformBelow(random, targets.size() - 1);
    if (second >= first)
        ++second;
    return loadScore(*targets[second], now) < loadScore(*targets[first], now) ? targets[second] : targets[first];
}

// Returns the reported load plus this daemon's attempts in flight, in thousandths of the slots. Both are needed:
// reports arrive late, and the attempts in flight do not include those of other daemons.
std::uint64_t target_chooser::loadScore(route_target const& target, time_point now) const
{
    auto const found = m_observations.find(target.id);
    if (found == m_observations.end())
        return 0;
    auto const& seen = found->second;
    double const warm = warmUpShare(seen, now);
    double const slots = std::max<double>(1, target.slots * warm);
    double total = seen.outstanding * 1000.0 / slots + (1 - warm) * coldPenaltyPermille;
    if (seen.loadReportedAt && now - *seen.loadReportedAt < m_settings.loadReportLifetime)
        total += seen.loadPermille;
    return static_cast<std::uint64_t>(total);
}

} // namespace merlinpier
