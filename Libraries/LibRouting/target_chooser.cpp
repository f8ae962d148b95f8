#include <LibRouting/target_chooser.h>

#include <LibCore/digest.h>
#include <algorithm>

namespace merlinpier {

namespace {

// Added to the score of a copy that has just become ready, in thousandths of its slots; it falls to 0 over slow start.
constexpr double coldPenaltyPermille = 1000;
// A cold copy counts as having at least this share of its slots.
constexpr double smallestColdShare = 0.1;
constexpr std::uint32_t mostEjectionDoublings = 16;
// Assumed of a kind of call that no target has run yet.
constexpr milliseconds unknownServiceTime { 50 };
// Service times vary: a call whose expected end is at the first share of its objective is hardly ever late, one at the
// second nearly always.
constexpr double safeObjectiveShare = 0.5;
constexpr double lostObjectiveShare = 1.3;
// Of targets that are equal otherwise, the faster one; small, so that it does not outweigh a kilobyte between zones.
constexpr double latencyCost = 0.05;
// Targets of a zone that are compared for one call (power of two choices).
constexpr std::size_t comparedTargets = 2;
// A target that was heard of this lately is compared, too: it has most likely just refused the very call.
constexpr milliseconds freshLoadAge { 10 };
constexpr double bytesPerKilobyte = 1024;
// Headers and frames of a call and its answer, beside their bodies.
constexpr double overheadBytes = 600;
// A target of another zone is not offered a kind of call that it has refused this lately, unless its load has fallen
// since: the body would cross in vain. Short, so that room is found soon after it comes about.
constexpr milliseconds refusalMemory { 500 };
// Smaller requests are offered all the same: a refusal of one wastes little.
constexpr std::size_t largeRequestBytes = 1024;
// A call that was refused elsewhere is tried where it costs less than this; beyond it, the caller does better to come
// back to its own zone.
constexpr double promisingCost = 0.7;

double warmShare(target_observation const& seen, time_point now)
{
    if (seen.slowStart <= duration::zero() || now >= seen.knownSince + seen.slowStart)
        return 1;
    double const share = std::chrono::duration<double>(now - seen.knownSince) / seen.slowStart;
    return std::max(share, smallestColdShare);
}

} // namespace

target_chooser::target_chooser(chooser_settings settings)
    : m_settings(std::move(settings))
{
}

std::optional<route_target> target_chooser::choose(
    service_route const& service, std::set<std::string> const& tried, time_point now, generator& random) const
{
    auto const all = admissible(service, tried, now);
    if (all.empty())
        return std::nullopt;
    if (m_settings.policy == choice_policy::Random)
        return *all[uniformBelow(random, all.size())];

    candidates local;
    std::copy_if(all.begin(), all.end(), std::back_inserter(local),
        [&](auto const* target) { return target->zone == m_settings.zone; });
    auto const* nearest = lesserOfTwo(local, now, random);
    if (nearest && !isLoaded(*nearest, now))
        return *nearest;
    auto const* anywhere = lesserOfTwo(all, now, random);
    bool const isNearestBetter = nearest && score(*nearest, now) <= score(*anywhere, now);
    return isNearestBetter ? *nearest : *anywhere;
}

std::optional<route_target> target_chooser::chooseFor(service_route const& service, call_demand const& demand,
    std::set<std::string> const& tried, time_point now, generator& random) const
{
    if (m_settings.policy != choice_policy::ExpectedFinish)
        return choose(service, tried, now, random);
    auto const all = admissible(service, tried, now);
    candidates near;
    candidates far;
    for (auto const* target : all) {
        if (target->zone == m_settings.zone)
            near.push_back(target);
        else if (!expectedRefusal(*target, demand, now))
            far.push_back(target);
    }
    auto compared = sample(near, random);
    std::copy_if(near.begin(), near.end(), std::back_inserter(compared),
        [&](auto const* target) { return hasFreshLoad(*target, now); });
    auto const isSafe = [&](route_target const* target) {
        double const finish = std::chrono::duration<double>(expectedFinish(*target, demand.kind, now)).count();
        return finish <= safeObjectiveShare * std::chrono::duration<double>(demand.objective).count();
    };
    if (std::none_of(compared.begin(), compared.end(), isSafe)) {
        auto const others = sample(far, random);
        compared.insert(compared.end(), others.begin(), others.end());
    }
    if (compared.empty())
        return std::nullopt;
    return **std::min_element(compared.begin(), compared.end(),
        [&](auto const* first, auto const* second) { return cost(*first, demand, now) < cost(*second, demand, now); });
}

bool target_chooser::hasFreshLoad(route_target const& target, time_point now) const
{
    auto const found = m_observations.find(target.id);
    return found != m_observations.end() && found->second.loadHeardAt
        && now - *found->second.loadHeardAt <= freshLoadAge;
}

load_refusal const* target_chooser::expectedRefusal(
    route_target const& target, call_demand const& demand, time_point now) const
{
    auto const found = m_observations.find(target.id);
    bool const isCheap = target.zone == m_settings.zone || demand.requestBytes < largeRequestBytes;
    if (isCheap || found == m_observations.end())
        return nullptr;
    auto const refusal = found->second.refusals.find(demand.kind);
    if (refusal == found->second.refusals.end() || now - refusal->second.at > refusalMemory)
        return nullptr;
    return found->second.loadPermille >= refusal->second.loadPermille ? &refusal->second : nullptr;
}

std::optional<duration> target_chooser::expectedRetryAfter(
    service_route const& service, call_demand const& demand, std::set<std::string> const& tried, time_point now) const
{
    if (m_settings.policy != choice_policy::ExpectedFinish)
        return std::nullopt;
    std::optional<time_point> earliest;
    for (auto const* target : admissible(service, tried, now)) {
        auto const* refusal = expectedRefusal(*target, demand, now);
        if (!refusal)
            return std::nullopt;
        earliest = earliest ? std::min(*earliest, refusal->comeBackAt) : refusal->comeBackAt;
    }
    if (!earliest)
        return std::nullopt;
    return std::max(*earliest - now, duration::zero());
}

std::size_t target_chooser::sameZoneTargetCount(
    service_route const& service, std::set<std::string> const& tried, time_point now) const
{
    auto const all = admissible(service, tried, now);
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [&](auto const* target) { return target->zone == m_settings.zone; }));
}

// A few targets taken at random. If every daemon compared all of them, those that had heard the same would all send to
// the same target until they heard of it again (Mitzenmacher, "How Useful Is Old Information?", 2000).
target_chooser::candidates target_chooser::sample(candidates targets, generator& random)
{
    if (targets.size() <= comparedTargets)
        return targets;
    for (std::size_t i = 0; i < comparedTargets; ++i)
        std::swap(targets[i], targets[i + uniformBelow(random, targets.size() - i)]);
    targets.resize(comparedTargets);
    return targets;
}

double target_chooser::cost(route_target const& target, call_demand const& demand, time_point now) const
{
    double const finish = std::chrono::duration<double>(expectedFinish(target, demand.kind, now)).count();
    double const objective = std::max(std::chrono::duration<double>(demand.objective).count(), 0.001);
    double const share = finish / objective;
    double const lateness
        = std::clamp((share - safeObjectiveShare) / (lostObjectiveShare - safeObjectiveShare), 0.0, 1.0);
    double const kilobytes = (static_cast<double>(demand.bytes) + overheadBytes) / bytesPerKilobyte;
    double const carriage = target.zone == m_settings.zone ? 0 : kilobytes * m_settings.otherZoneCostPerKilobyte;
    return lateness * m_settings.latenessCost + carriage + latencyCost * share;
}

duration target_chooser::expectedFinish(route_target const& target, std::string const& kind, time_point now) const
{
    auto const found = m_observations.find(target.id);
    auto const typical = typicalServiceTime(kind);
    if (found == m_observations.end())
        return typical;
    auto const& seen = found->second;
    auto const learnt = seen.serviceTimes.meanOf(kind);
    auto const service = learnt == duration::zero() ? typical : learnt;
    auto const overall = seen.serviceTimes.overall() == duration::zero() ? service : seen.serviceTimes.overall();
    double const slots = std::max<double>(1, target.slots);
    double inSystem = static_cast<double>(seen.outstanding);
    if (seen.loadHeardAt) {
        // What was heard drains at the rate of the slots; what was sent since then adds to it.
        double const age = std::chrono::duration<double>(now - *seen.loadHeardAt) / overall;
        double const heard = seen.loadPermille * slots / 1000.0;
        inSystem = std::max(inSystem, heard - age * std::min(heard, slots) + static_cast<double>(seen.sentSinceHeard));
    }
    double const ahead = std::max(0.0, inSystem + 1 - slots) / slots;
    auto const wait
        = std::chrono::duration_cast<duration>(std::chrono::duration<double, duration::period>(overall) * ahead);
    return wait + service;
}

bool target_chooser::isRetryWorthwhile(route_target const& target, call_demand const& demand, time_point now) const
{
    if (m_settings.policy != choice_policy::ExpectedFinish)
        return !isLoaded(target, now);
    return cost(target, demand, now) <= promisingCost;
}

duration target_chooser::typicalServiceTime(std::string const& kind) const
{
    auto const learnt = m_serviceTimes.meanOf(kind);
    return learnt == duration::zero() ? duration(unknownServiceTime) : learnt;
}

void target_chooser::didReportServiceTime(std::string const& target, std::string const& kind, duration reported)
{
    if (reported <= duration::zero())
        return;
    m_serviceTimes.addSample(kind, reported);
    if (auto const found = m_observations.find(target); found != m_observations.end())
        found->second.serviceTimes.addSample(kind, reported);
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
    auto const light
        = std::find_if(inUse.begin(), inUse.end(), [&](auto const* target) { return !isLoaded(*target, now); });
    return light == inUse.end() ? *inUse.front() : **light;
}

bool target_chooser::isLoaded(route_target const& target, time_point now) const
{
    return score(target, now) > m_settings.spillPermille;
}

void target_chooser::didSend(std::string const& target, time_point now)
{
    auto const [seen, isNew] = m_observations.try_emplace(target);
    if (isNew)
        seen->second.knownSince = now;
    ++seen->second.outstanding;
    ++seen->second.sentSinceHeard;
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
        seen.loadHeardAt = now;
        seen.sentSinceHeard = 0;
    }
    if (outcome == attempt_outcome::Unreachable || outcome == attempt_outcome::Lost)
        return didFail(seen, now);
    seen.failuresInRow = 0;
    if (outcome == attempt_outcome::Answered && !seen.isEjected(now))
        seen.ejections = 0;
}

void target_chooser::didRefuseForLoad(
    std::string const& target, std::string const& kind, duration retryAfter, time_point now)
{
    if (auto const found = m_observations.find(target); found != m_observations.end())
        found->second.refusals[kind] = { found->second.loadPermille, now, now + retryAfter };
}

void target_chooser::didFail(target_observation& seen, time_point now) const
{
    ++seen.failuresInRow;
    if (seen.failuresInRow < m_settings.failuresToEject || seen.isEjected(now))
        return;
    auto const doublings = std::min(seen.ejections, mostEjectionDoublings);
    seen.ejectedUntil = now + std::min(m_settings.firstEjection * (1 << doublings), m_settings.longestEjection);
    ++seen.ejections;
    // One failure more after the return is enough to eject again.
    seen.failuresInRow = m_settings.failuresToEject - 1;
}

void target_chooser::setSnapshot(routing_snapshot const& snapshot, time_point now)
{
    std::map<std::string, target_observation> kept;
    for (auto const& [name, service] : snapshot.services()) {
        for (auto const& target : service.targets) {
            auto const found = m_observations.find(target.id);
            auto& seen = kept[target.id];
            if (found != m_observations.end())
                seen = found->second;
            else
                seen.knownSince = now;
            seen.slowStart = service.configuration.slowStart;
        }
    }
    // Attempts on a target that has left still end, so that its count stays until they have.
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

target_chooser::candidates target_chooser::admissible(
    service_route const& service, std::set<std::string> const& tried, time_point now) const
{
    candidates all;
    for (auto const& target : service.targets)
        all.push_back(&target);
    auto inUse = withoutEjected(all, now);
    auto const isUntried = [&](auto const* target) {
        return !tried.contains(target->id);
    };
    // A target that was ejected is still better than none.
    bool const hasUntried = std::any_of(inUse.begin(), inUse.end(), isUntried);
    candidates untried;
    auto const& source = hasUntried ? inUse : all;
    std::copy_if(source.begin(), source.end(), std::back_inserter(untried), isUntried);
    return untried;
}

// Leaves out ejected targets up to the greatest share; beyond it, those whose time ends soonest stay in use.
target_chooser::candidates target_chooser::withoutEjected(candidates targets, time_point now) const
{
    auto const ejectionEnd = [&](route_target const* target) {
        auto const found = m_observations.find(target->id);
        return found != m_observations.end() && found->second.isEjected(now) ? found->second.ejectedUntil
                                                                             : time_point {};
    };
    std::vector<time_point> ends;
    for (auto const* target : targets) {
        if (auto const end = ejectionEnd(target); end != time_point {})
            ends.push_back(end);
    }
    if (ends.empty())
        return targets;
    auto const most = std::min<std::size_t>(
        static_cast<std::size_t>(m_settings.maximumEjectedShare * targets.size()), targets.size() - 1);
    std::sort(ends.rbegin(), ends.rend());
    if (ends.size() > most)
        ends.resize(most);
    candidates inUse;
    std::size_t left = ends.size();
    for (auto const* target : targets) {
        auto const end = ejectionEnd(target);
        if (left > 0 && end != time_point {} && end >= ends.back()) {
            --left;
            continue;
        }
        inUse.push_back(target);
    }
    return inUse;
}

route_target const* target_chooser::lesserOfTwo(candidates const& targets, time_point now, generator& random) const
{
    if (targets.empty())
        return nullptr;
    if (targets.size() == 1)
        return targets.front();
    auto const first = uniformBelow(random, targets.size());
    auto second = uniformBelow(random, targets.size() - 1);
    if (second >= first)
        ++second;
    return score(*targets[second], now) < score(*targets[first], now) ? targets[second] : targets[first];
}

// Load that answers carried plus what this daemon has in flight, in thousandths of the slots. Both are needed: the
// first is late, the second does not know of other daemons.
std::uint64_t target_chooser::score(route_target const& target, time_point now) const
{
    auto const found = m_observations.find(target.id);
    if (found == m_observations.end())
        return 0;
    auto const& seen = found->second;
    double const warm = warmShare(seen, now);
    double const slots = std::max<double>(1, target.slots * warm);
    double total = seen.outstanding * 1000.0 / slots + (1 - warm) * coldPenaltyPermille;
    if (seen.loadHeardAt && now - *seen.loadHeardAt < m_settings.loadLifetime)
        total += seen.loadPermille;
    return static_cast<std::uint64_t>(total);
}

} // namespace merlinpier
