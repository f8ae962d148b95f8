#include <LibRollout/rollout_controller.h>

#include <LibRollout/rollout_rules.h>

#include <algorithm>
#include <utility>

namespace merlinpier {

namespace {

// Evidence arrives at most every half second for each target; between two judgements little can be new.
constexpr milliseconds judgementPeriod { 200 };
// The first relay in rank writes at once. The others write only if that has no effect, each further one later. What
// they list may be stale by more than a second, so they would meet conflicts if they came earlier. A switch or done
// that peers report is in the store; it is written again only if the store was restored from an older copy.
constexpr milliseconds writeDelayOfStep { 500 };
constexpr milliseconds writeDelayOfOthers { 1500 };
constexpr milliseconds writeDelayOfReported { 5000 };
constexpr milliseconds writeDelayPerRank { 300 };
constexpr milliseconds writeRetryDelay { 500 };
// Lists of a relay are at least a second apart. Without an order only two relays list that often, since the others
// learn orders through them; the others list for the case that their zone is cut off.
constexpr milliseconds listPeriod { 1000 };
constexpr milliseconds listPeriodOfZone { 2000 };
constexpr milliseconds listPeriodOfOthers { 4000 };
constexpr std::size_t frequentListers = 2;
// A list may be stale. An object that stays older for so many lists is one of a restored store.
constexpr std::uint32_t listingsToBelieve = 5;
// Targets of the old version refuse calls only after all daemons have heard of the switch.
constexpr milliseconds refusalDelay { 1800 };
// A daemon that is no relay publishes a finding of its own if no other daemon has done so by then.
constexpr milliseconds findingDelayOfOthers { 400 };

milliseconds writeDelay(rollout_role const& role, rollout_state wanted, bool isKnown)
{
    bool const isStep = wanted == rollout_state::Switching || wanted == rollout_state::Done;
    auto const ofRank = writeDelayPerRank * static_cast<std::int64_t>(role.rank);
    if (isStep && isKnown)
        return writeDelayOfReported + ofRank;
    if (role.rank == 0)
        return milliseconds(0);
    return (isStep ? writeDelayOfStep : writeDelayOfOthers) + ofRank - writeDelayPerRank;
}

} // namespace

rollout_controller::rollout_controller(rollout_settings settings)
    : m_settings(settings)
    , m_exposure(std::make_shared<rollout_exposure>())
{
}

std::vector<rollout_action> rollout_controller::tick(rollout_role const& role, membership_table const& membership,
    time_point now, std::uint64_t wallClockMs, generator& random)
{
    std::vector<rollout_action> actions;
    m_isPrimaryRelay = role.isPrimaryRelay;
    m_ages.observe(membership, now);
    if (now >= m_nextJudgement) {
        m_nextJudgement = now + judgementPeriod;
        judge(membership, role, now);
    }
    followStates(membership.records().size(), random);
    if (!role.isPrimaryRelay)
        return actions;
    if (isListDue(role, now)) {
        m_isListing = true;
        m_lastListStarted = now;
        actions.emplace_back(list_orders {});
    }
    for (auto const& [service, known] : m_table.rollouts()) {
        if (auto write = nextWrite(known, role, membership, now, wallClockMs))
            actions.emplace_back(std::move(*write));
    }
    return actions;
}

bool rollout_controller::isListDue(rollout_role const& role, time_point now) const
{
    if (m_isListing)
        return false;
    bool const isFirstOfZone = role.rankInZone == 0;
    bool const isFrequent = m_table.isAnyUnderWay() ? isFirstOfZone : role.rank < frequentListers;
    auto const period = isFrequent ? listPeriod : isFirstOfZone ? listPeriodOfZone : listPeriodOfOthers;
    return !m_lastListStarted || now - *m_lastListStarted >= period;
}

bool rollout_controller::learn(membership_table const& membership, time_point now, generator& random)
{
    auto const changes = std::pair(membership.recordChanges(), m_table.changes());
    if (changes == m_gatedChanges && !m_gate.dependsOnTime())
        return false;
    m_ages.observe(membership, now);
    for (auto const& [vm, member] : membership.records()) {
        for (auto const& report : member.rollouts)
            m_table.learn(report, now);
    }
    followStates(membership.records().size(), random);
    m_gatedChanges = std::pair(membership.recordChanges(), m_table.changes());
    return m_gate.observe(membership, m_table, m_isPrimaryRelay ? m_lastListed : std::nullopt, now);
}

void rollout_controller::didList(
    result<std::vector<stored_rollout>> const& listed, time_point now, std::uint64_t wallClockMs)
{
    m_isListing = false;
    if (listed.isError())
        return;
    m_lastListed = m_lastListStarted;
    for (auto const& stored : listed.value())
        takeStored(stored, now, wallClockMs);
}

void rollout_controller::takeStored(stored_rollout const& stored, time_point now, std::uint64_t wallClockMs)
{
    auto& known = m_stored[stored.service];
    bool const isOlder = stored.revision < known.object.revision;
    if (isOlder && ++known.olderListings < listingsToBelieve)
        return;
    known = { stored, 0 };
    m_table.learn(stored, now, wallClockMs);
}

void rollout_controller::didWrite(
    std::string const& service, result<stored_rollout> const& outcome, time_point now, std::uint64_t wallClockMs)
{
    auto& write = m_writes[service];
    write.isUnderWay = false;
    write.nextTry = now + writeRetryDelay;
    if (outcome.isError())
        return;
    write.nextTry = now;
    takeStored(outcome.value(), now, wallClockMs);
}

result<empty> rollout_controller::abort(std::string const& service, time_point now)
{
    auto const* known = m_table.find(service);
    if (!known || known->isFinal())
        return error { error_kind::NotFound, "no rollout of " + service + " is under way",
            "see merlinpier rollout list for those that are" };
    rollBack(*known, { rollout_fault::Aborted }, now);
    return empty {};
}

rollout_evidence const* rollout_controller::evidence(std::string const& service) const
{
    auto const found = m_evidence.find(service);
    return found == m_evidence.end() ? nullptr : &found->second;
}

rollout_finding const* rollout_controller::finding(std::string const& service) const
{
    auto const found = m_findings.find(service);
    return found == m_findings.end() ? nullptr : &found->second;
}

void rollout_controller::judge(membership_table const& membership, rollout_role const& role, time_point now)
{
    auto const rollouts = m_table.rollouts();
    for (auto const& [service, known] : rollouts) {
        if (known.isFinal())
            continue;
        auto const evidence = m_evidence.find(service);
        if (evidence == m_evidence.end())
            continue;
        evidence->second.observe(membership, m_ages, now);
        if (evidence->second.finding()) {
            rollBack(known, *evidence->second.finding(), now);
            continue;
        }
        if (role.isPrimaryRelay && rollout_rules::mustDecide(known, now)) {
            if (auto const leaning = evidence->second.leaning()) {
                rollBack(known, *leaning, now);
                continue;
            }
        }
        bool const isOverdue
            = known.state == rollout_state::Running && known.progress(now) >= rollout_rules::latestDone;
        if (role.isPrimaryRelay && isOverdue && !rollout_rules::hasTargets(known, membership))
            rollBack(known, { rollout_fault::NoTargets }, now);
    }
}

void rollout_controller::rollBack(rollout const& known, rollout_finding finding, time_point now)
{
    std::string const service = known.service;
    if (m_table.rollBack(service, known.order, now))
        m_findings[service] = std::move(finding);
}

// Adapts what follows from orders and states: evidence, exposure and the log.
void rollout_controller::followStates(std::size_t daemons, generator& random)
{
    if (m_table.changes() == m_followedChanges)
        return;
    m_followedChanges = m_table.changes();
    for (auto const& [service, known] : m_table.rollouts()) {
        auto& logged = m_loggedStates[service];
        bool const isNewOrder = m_evidenceOrders[service] != known.order;
        if (isNewOrder) {
            m_evidenceOrders[service] = known.order;
            m_evidence.erase(service);
            m_findings.erase(service);
            m_writes.erase(service);
        }
        if (!known.isFinal())
            m_evidence.try_emplace(service, service, known.targetVersion);
        if (known.state == rollout_state::Running)
            m_exposure->begin(service, known.order, m_settings.canaryShare(),
                uniformUnit(random)
                    + m_settings.canaryCredit() / static_cast<double>(std::max<std::size_t>(daemons, 1)));
        else
            m_exposure->end(service);
        if (logged == std::pair(known.order, known.state))
            continue;
        logged = { known.order, known.state };
        rollout_step step { known };
        if (auto const finding = m_findings.find(service);
            finding != m_findings.end() && known.state == rollout_state::RolledBack)
            step.finding = finding->second;
        if (auto const* of = evidence(service))
            step.newRuns = of->newRuns();
        m_steps.push_back(std::move(step));
    }
}

std::vector<rollout_step> rollout_controller::takeSteps() { return std::exchange(m_steps, {}); }

rollout_state rollout_controller::wantedState(
    rollout const& known, membership_table const& membership, time_point now) const
{
    auto const* of = evidence(known.service);
    if (known.isFinal() || !of)
        return known.state;
    if (known.state == rollout_state::Running)
        return rollout_rules::isReadyToSwitch(known, *of, membership, m_ages, now) ? rollout_state::Switching
                                                                                   : known.state;
    return rollout_rules::isReadyForDone(known, *of, membership, now) ? rollout_state::Done : known.state;
}

std::optional<write_status> rollout_controller::nextWrite(rollout const& known, rollout_role const& role,
    membership_table const& membership, time_point now, std::uint64_t wallClockMs)
{
    auto const stored = m_stored.find(known.service);
    if (stored == m_stored.end() || stored->second.object.order() != known.order)
        return std::nullopt;
    auto const& object = stored->second.object;
    auto const wanted = wantedState(known, membership, now);
    bool const isCurrent = object.isStatusCurrent();
    // A status that somebody else has written does not name the order.
    bool const isStored = isCurrent && object.status->state == wanted && object.status->order == known.order;
    bool const isStoredFinal = isCurrent
        && (object.status->state == rollout_state::Done || object.status->state == rollout_state::RolledBack);
    if (isStored || isStoredFinal)
        return std::nullopt;
    auto& write = m_writes[known.service];
    bool const isWantedAnew = write.wantedSince == time_point {} || write.wanted != wanted;
    if (isWantedAnew) {
        write.wanted = wanted;
        write.wantedSince = now;
    }
    bool const isTurn = now - write.wantedSince >= writeDelay(role, wanted, wanted == known.state);
    if (write.isUnderWay || !isTurn || now < write.nextTry)
        return std::nullopt;
    write.isUnderWay = true;
    auto const age = std::max<std::int64_t>(toMilliseconds(now - known.orderedAt), 0);
    auto const startedMs = isCurrent && object.status->startedMs > 0
        ? object.status->startedMs
        : wallClockMs - std::min(wallClockMs, static_cast<std::uint64_t>(age));
    return write_status { object, { wanted, known.targetVersion, known.order, startedMs } };
}

bool rollout_controller::refuses(std::string const& service, std::string const& version, time_point now) const
{
    auto const* known = m_table.find(service);
    if (!known || version.empty() || known->state == rollout_state::Running)
        return false;
    if (known->state == rollout_state::RolledBack)
        return version == known->targetVersion;
    bool const isReplaced = accessOf(m_gate.rules(), service, version) == version_access::Replaced;
    bool const haveAllMoved = known->state == rollout_state::Done || now - known->changedAt >= refusalDelay;
    return isReplaced && haveAllMoved;
}

bool rollout_controller::mayRest(std::string const& service, time_point now) const
{
    auto const* known = m_table.find(service);
    return known && known->state == rollout_state::Switching && now - known->changedAt >= rollout_rules::shortestSwitch;
}

bool rollout_controller::isFindingKnownToOthers(rollout const& known, membership_table const& membership) const
{
    auto const& records = membership.records();
    return std::any_of(records.begin(), records.end(), [&](auto const& entry) {
        auto const& reports = entry.second.rollouts;
        return std::any_of(reports.begin(), reports.end(), [&](rollout_report const& report) {
            return report.service == known.service && report.order == known.order
                && report.state == rollout_state::RolledBack;
        });
    });
}

std::optional<std::vector<rollout_report>> rollout_controller::takeReports(
    membership_table const& membership, time_point now)
{
    // Relays publish what the store says and what they find, so that a change costs a few records and not one of each
    // daemon. Others publish findings of their own that no relay has come to.
    if (!m_isPrimaryRelay && m_publishedChanges == m_table.changes())
        return std::nullopt;
    bool publishes = m_isPrimaryRelay;
    if (!publishes) {
        bool isWaiting = false;
        for (auto const& [service, finding] : m_findings) {
            auto const* known = m_table.find(service);
            if (!known || known->state != rollout_state::RolledBack || isFindingKnownToOthers(*known, membership))
                continue;
            isWaiting |= now - known->changedAt < findingDelayOfOthers;
            publishes |= now - known->changedAt >= findingDelayOfOthers;
        }
        if (!publishes && isWaiting)
            return std::nullopt;
    }
    bool const isUnchanged = m_publishedChanges == m_table.changes() && publishes == m_publishes;
    if (isUnchanged)
        return std::nullopt;
    m_publishedChanges = m_table.changes();
    // A daemon that is no relay any more keeps what it published until there is something new.
    if (!publishes)
        return std::nullopt;
    m_publishes = publishes;
    return m_table.reports(now);
}

} // namespace merlinpier
