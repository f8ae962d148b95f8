#include "rollout_simulation.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace merlinpier::simulation {

namespace {

constexpr std::uint64_t wallClockAtStart = 1'700'000'000'000;
constexpr milliseconds tickPeriod { 100 };
constexpr seconds timeBeforeOrder { 5 };
constexpr std::size_t maximumAttempts = 6;
constexpr char const* service = "slots";
struct call_kind {
    char const* name;
    double share;
    double meanMs;
};
constexpr std::array<call_kind, 3> kinds { { { "lookup", 0.6, 60 }, { "reserve", 0.3, 120 }, { "report", 0.1, 250 } } };

} // namespace

fleet::fleet(fleet_settings settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_now(seconds(10'000))
    , m_orderedAt(m_now + timeBeforeOrder)
{
    for (std::size_t number = 0; number < m_settings.daemons; ++number) {
        auto& added = *m_daemons.emplace_back(std::make_unique<simulated_daemon>());
        added.number = number;
        added.vm = "vm-" + std::to_string(1000 + number);
        added.zone = number % m_settings.zones;
        added.rankInZone = number / m_settings.zones;
        if (m_settings.laggingDaemons > 0 && number % m_settings.laggingDaemons == m_settings.laggingDaemons - 1)
            added.lag = m_settings.sharesViews ? milliseconds(1200) : milliseconds(uniformBelow(m_random, 1500));
        auto const known = std::find_if(m_receivers.begin(), m_receivers.end(),
            [&](auto const* other) { return other->zone == added.zone && other->lag == added.lag; });
        bool const isShared = m_settings.sharesViews && known != m_receivers.end();
        added.view = isShared ? (*known)->view : std::make_shared<membership_table>();
        if (!isShared)
            m_receivers.push_back(&added);
        added.speed = m_settings.slowestVm + uniformUnit(m_random) * (m_settings.fastestVm - m_settings.slowestVm);
        bool const hasOld = number < m_settings.oldTargets;
        bool const hasNew = !hasOld && number < m_settings.oldTargets + m_settings.newTargets;
        if (hasOld || hasNew) {
            target_record target { "t-" + added.vm, service, "l-" + added.vm, 1, target_state::Ready, 8, 0,
                1 + number };
            target.version = hasOld ? "v1" : "v2";
            m_hosts[target.id] = &added;
            // Targets of the new version appear about when the order is given.
            if (hasOld)
                added.targets = { target };
            else
                at(m_orderedAt - milliseconds(500) + milliseconds(uniformBelow(m_random, 1000)),
                    [this, &added, target] {
                        added.targets = { target };
                        publish(added);
                    });
        }
        start(added);
        at(m_now + milliseconds(uniformBelow(m_random, 100)), [this, &added] { tick(added); });
        scheduleRequest(added);
    }
    at(m_orderedAt, [this] {
        m_object = { service, service, "v2", m_settings.orderDuration, 41, 41, std::nullopt };
        m_hasObject = true;
        m_history.emplace_back(m_now, m_object);
    });
    for (std::size_t restart = 0; restart < m_settings.restarts; ++restart) {
        auto& one = *m_daemons[uniformBelow(m_random, m_daemons.size())];
        at(m_orderedAt + milliseconds(uniformBelow(m_random, 12'000)), [this, &one] { start(one); });
    }
    if (m_settings.allRestartAt > milliseconds(0))
        at(m_orderedAt + m_settings.allRestartAt, [this] {
            for (auto& one : m_daemons)
                start(*one);
        });
}

void fleet::at(time_point when, std::function<void()> what) { m_events.emplace(when, std::move(what)); }

milliseconds fleet::sinceOrder() const { return milliseconds(toMilliseconds(m_now - m_orderedAt)); }

std::uint64_t fleet::wallClock() const
{
    return wallClockAtStart + static_cast<std::uint64_t>(toMilliseconds(m_now.time_since_epoch()));
}

// A daemon that starts knows its peers' records a moment later, and has lost its counters.
void fleet::start(simulated_daemon& one)
{
    ++one.incarnation;
    ++one.process;
    one.controller = std::make_unique<rollout_controller>(rollout_settings { true });
    one.evidence = {};
    for (auto& target : one.targets)
        target.evidence.clear();
    if (!m_settings.sharesViews)
        *one.view = {};
    one.reports.clear();
    one.restingSince = {};
    one.isReady = false;
    publish(one);
    at(m_now + milliseconds(20 + uniformBelow(m_random, 200)), [this, &one] {
        for (auto const& other : m_daemons) {
            if (other->view == one.view || isCut(one, *other))
                continue;
            if (auto const* record = other->view->find(other->vm))
                one.view->merge(*record);
        }
        one.controller->learn(*one.view, m_now, m_random);
        one.isReady = true;
    });
}

bool fleet::isStoreDown() const
{
    return sinceOrder() >= m_settings.storeDownFrom && sinceOrder() < m_settings.storeDownUntil;
}

bool fleet::isCut(simulated_daemon const& first, simulated_daemon const& second) const
{
    bool const isPartitioned = sinceOrder() >= m_settings.partitionFrom && sinceOrder() < m_settings.partitionUntil;
    return isPartitioned && (first.zone == 0) != (second.zone == 0);
}

void fleet::tick(simulated_daemon& one)
{
    rollout_role const role { one.rankInZone < 2, one.rankInZone * m_settings.zones + one.zone, one.rankInZone };
    carryOut(one, one.controller->tick(role, *one.view, m_now, wallClock(), m_random));
    one.controller->learn(*one.view, m_now, m_random);
    for (auto const& step : one.controller->takeSteps()) {
        if (step.finding && m_outcome.fault.empty())
            m_outcome.fault = faultName(step.finding->fault);
    }
    if (auto reports = one.controller->takeReports(*one.view, m_now)) {
        one.reports = std::move(*reports);
        publish(one);
    }
    followTargets(one);
    at(m_now + tickPeriod, [this, &one] { tick(one); });
}

void fleet::followTargets(simulated_daemon& one)
{
    if (one.targets.empty())
        return;
    auto& target = one.targets.front();
    auto const before = target;
    auto const* known = one.controller->rollouts().find(service);
    if (known && !known->isFinal())
        one.evidence.begin(target.id, known->order);
    else
        one.evidence.end(target.id);
    one.evidence.tick(m_now);
    target.evidence = one.evidence.published(target.id);
    target.state = target_state::Ready;
    if (one.controller->refuses(service, target.version, m_now)) {
        if (one.running[target.id] > 0 || one.restingSince == time_point {})
            one.restingSince = m_now;
        if (m_now - one.restingSince >= milliseconds(300) && one.controller->mayRest(service, m_now))
            target.state = target_state::Draining;
    }
    if (target != before)
        publish(one);
}

void fleet::publish(simulated_daemon& one)
{
    member_record record;
    record.vm = one.vm;
    record.zone = std::to_string(one.zone);
    record.address = one.vm;
    record.incarnation = one.incarnation;
    record.sequence = ++one.sequence;
    record.instance = one.process;
    record.targets = one.targets;
    record.rollouts = one.reports;
    auto const shared = std::make_shared<member_record const>(std::move(record));
    one.view->merge(*shared);
    for (auto* other : m_receivers) {
        if (other->view == one.view)
            continue;
        // A cut link delivers after the partition, as the repair does.
        auto const delay = milliseconds(20 + uniformBelow(m_random, 180)) + other->lag;
        auto const arrives = isCut(one, *other)
            ? m_orderedAt + m_settings.partitionUntil + milliseconds(uniformBelow(m_random, 2000))
            : m_now + delay;
        at(arrives, [receiver = other, shared] { receiver->view->merge(*shared); });
    }
}

void fleet::carryOut(simulated_daemon& one, std::vector<rollout_action> actions)
{
    for (auto const& action : actions) {
        if (auto const* wanted = std::get_if<write_status>(&action))
            write(one, *wanted);
        else
            list(one);
    }
}

void fleet::list(simulated_daemon& one)
{
    ++m_outcome.lists;
    auto const process = one.process;
    auto const staleness = milliseconds(uniformBelow(m_random, 1500));
    at(m_now + milliseconds(5 + uniformBelow(m_random, 40)), [this, &one, process, staleness] {
        if (one.process != process)
            return;
        if (isStoreDown()) {
            one.controller->didList(error { error_kind::Unavailable, "down", "" }, m_now, wallClock());
            return;
        }
        std::vector<stored_rollout> found;
        for (auto const& [when, object] : m_history) {
            if (when <= m_now - staleness)
                found = { object };
        }
        one.controller->didList(found, m_now, wallClock());
    });
}

void fleet::write(simulated_daemon& one, write_status const& wanted)
{
    ++m_outcome.writes;
    auto const process = one.process;
    at(m_now + milliseconds(5 + uniformBelow(m_random, 40)), [this, &one, process, wanted] {
        bool const isLost = m_settings.lostWriteAnswers > 0 && uniformBelow(m_random, m_settings.lostWriteAnswers) == 0;
        if (!isStoreDown() && m_object.revision == wanted.known.revision) {
            m_object.status = wanted.wanted;
            ++m_object.revision;
            m_history.emplace_back(m_now, m_object);
            bool const isFinal
                = wanted.wanted.state == rollout_state::Done || wanted.wanted.state == rollout_state::RolledBack;
            if (isFinal && !m_finalAt)
                m_finalAt = m_now;
        }
        if (one.process != process)
            return;
        if (isStoreDown() || isLost)
            one.controller->didWrite(
                service, error { error_kind::OutcomeUnknown, "no answer", "" }, m_now, wallClock());
        else
            one.controller->didWrite(service, m_object, m_now, wallClock());
    });
}

void fleet::scheduleRequest(simulated_daemon& one)
{
    double const rate = m_settings.requestRate / static_cast<double>(m_settings.daemons);
    double const wait = -std::log(1 - uniformUnit(m_random)) / rate;
    at(m_now + microseconds(static_cast<std::int64_t>(wait * 1e6)), [this, &one] {
        request(one);
        scheduleRequest(one);
    });
}

bool fleet::showsFault(target_record const& target, int kind) const
{
    auto const& fault = m_settings.fault;
    if (target.version != "v2" || (fault.onlyKind >= 0 && fault.onlyKind != kind))
        return false;
    if (fault.onlyFirstTarget && target.startedAt != 1 + m_settings.oldTargets)
        return false;
    bool const isUnderLoad = m_hasObject && m_object.status && m_object.status->state != rollout_state::Running;
    return sinceOrder() >= fault.after && (!fault.onlyUnderLoad || isUnderLoad);
}

void fleet::request(simulated_daemon& origin)
{
    if (!origin.isReady)
        return;
    bool const isCounted = m_now >= m_orderedAt && m_now < m_orderedAt + m_settings.orderDuration;
    m_outcome.requests += isCounted;
    double drawn = uniformUnit(m_random);
    int kind = 0;
    while (kind + 1 < static_cast<int>(kinds.size()) && drawn >= kinds[static_cast<std::size_t>(kind)].share)
        drawn -= kinds[static_cast<std::size_t>(kind++)].share;
    std::set<std::string> tried;
    for (std::size_t attempt = 0; attempt < maximumAttempts; ++attempt) {
        std::vector<simulated_daemon*> stable;
        std::vector<simulated_daemon*> canary;
        std::vector<simulated_daemon*> replaced;
        for (auto const& [vm, member] : origin.view->records()) {
            for (auto const& target : member.targets) {
                if (target.state != target_state::Ready || tried.contains(target.id))
                    continue;
                auto const access = accessOf(origin.controller->rules(), service, target.version);
                if (access == version_access::Stable)
                    stable.push_back(m_hosts.at(target.id));
                else if (access == version_access::Canary)
                    canary.push_back(m_hosts.at(target.id));
                else if (access == version_access::Replaced)
                    replaced.push_back(m_hosts.at(target.id));
            }
        }
        bool const isCanary = attempt == 0 && !canary.empty() && origin.controller->exposure()->mayExpose(service);
        // As call_client::chooseOtherVersion().
        auto const& others = !replaced.empty() ? replaced : attempt > 1 ? canary : replaced;
        bool const usesOthers = attempt > 0 && !others.empty();
        auto const& candidates = isCanary ? canary : usesOthers ? others : stable;
        if (candidates.empty())
            break;
        auto& host = *candidates[uniformBelow(m_random, candidates.size())];
        tried.insert(host.targets.front().id);
        if (tryRun(origin, host, isCanary, kind))
            return;
    }
    m_outcome.unserved += isCounted;
}

bool fleet::tryRun(simulated_daemon& origin, simulated_daemon& host, bool isCanary, int kind)
{
    auto const& target = host.targets.front();
    if (!host.isReady || host.controller->refuses(service, target.version, m_now))
        return false;
    bool const isNew = target.version == "v2";
    if (isCanary)
        origin.controller->exposure()->didSend(service);
    bool const isCounted = m_now >= m_orderedAt && m_now < m_orderedAt + m_settings.orderDuration;
    if (isNew) {
        m_outcome.exposed += isCounted;
        m_lastSentToNew = m_now;
    }
    if (m_finalAt) {
        bool const isDone = m_object.status->state == rollout_state::Done;
        m_outcome.ranLate += isDone ? !isNew : (isNew && m_now - *m_finalAt > seconds(2));
    }
    bool const isFaulty = showsFault(target, kind);
    bool const hasFailed
        = uniformUnit(m_random) < m_settings.commonFailureRate + (isFaulty ? m_settings.fault.failureRate : 0);
    auto const& of = kinds[static_cast<std::size_t>(kind)];
    double spentMs = of.meanMs * (0.6 + 0.8 * uniformUnit(m_random)) / host.speed;
    spentMs *= uniformUnit(m_random) < 0.03 ? 7 : 1;
    spentMs *= isFaulty ? m_settings.fault.slowness : 1;
    auto const spent = microseconds(static_cast<std::int64_t>(spentMs * 1000));
    ++host.running[target.id];
    auto const process = host.process;
    auto const originProcess = origin.process;
    at(m_now + spent,
        [this, &origin, &host, id = target.id, kind, hasFailed, spent, isFaulty, isNew, process, originProcess] {
            --host.running[id];
            bool const isBad = isNew && (hasFailed || (isFaulty && m_settings.fault.slowness > 1));
            if (isBad && ++m_outcome.badAnswers == 50)
                m_fiftiethBad = m_now;
            if (host.process == process)
                host.evidence.didEnd(id, kinds[static_cast<std::size_t>(kind)].name,
                    hasFailed ? run_ending::Failed : run_ending::Good, spent);
            if (origin.process == originProcess)
                origin.controller->exposure()->didAnswer(service);
        });
    return true;
}

fleet_outcome fleet::run()
{
    auto const end = m_orderedAt + m_settings.orderDuration + seconds(4);
    while (!m_events.empty() && m_events.begin()->first <= end) {
        auto const event = m_events.extract(m_events.begin());
        m_now = event.key();
        event.mapped()();
    }
    if (m_hasObject && m_object.status)
        m_outcome.finalState = stateName(m_object.status->state);
    if (m_finalAt)
        m_outcome.finalAfter = milliseconds(toMilliseconds(*m_finalAt - m_orderedAt));
    if (m_fiftiethBad)
        m_outcome.lastSentAfterFiftieth = milliseconds(toMilliseconds(m_lastSentToNew - *m_fiftiethBad));
    return m_outcome;
}

} // namespace merlinpier::simulation
