#include "rollout_part.h"

#include <LibCore/log.h>
#include <absl/strings/str_format.h>
#include <chrono>

namespace merlinpier {

namespace {

std::uint64_t wallClockMs()
{
    auto const sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(sinceEpoch).count());
}

char const* eventName(rollout_state state)
{
    switch (state) {
    case rollout_state::Running:
        return "rollout_ordered";
    case rollout_state::Switching:
        return "rollout_switching";
    case rollout_state::Done:
        return "rollout_done";
    case rollout_state::RolledBack:
        return "rollout_rolled_back";
    }
    return "rollout_ordered";
}

} // namespace

rollout_part::rollout_part(
    rollout_settings settings, rollout_store* store, membership_part& membership, std::uint64_t seed)
    : m_settings(settings)
    , m_store(store)
    , m_membership(membership)
    , m_controller(settings)
    , m_generator(seed)
    , m_isAlive(std::make_shared<bool>(true))
{
}

void rollout_part::tick()
{
    if (!isEnabled())
        return;
    rollout_role role;
    if (auto const position = m_membership.primaryRelayPosition())
        role = { true, position->inFleet, position->inZone };
    carryOut(m_controller.tick(role, m_membership.table(), currentTime(), wallClockMs(), m_generator));
    learn();
    publish();
    logSteps();
}

void rollout_part::refresh()
{
    if (!isEnabled())
        return;
    learn();
    logSteps();
}

void rollout_part::learn()
{
    if (m_controller.learn(m_membership.table(), currentTime(), m_generator) && m_didChangeRules)
        m_didChangeRules();
}

void rollout_part::publish()
{
    if (auto reports = m_controller.takeReports(m_membership.table(), currentTime()))
        m_membership.setRollouts(std::move(*reports));
}

result<empty> rollout_part::abort(std::string const& service)
{
    TRY(m_controller.abort(service, currentTime()));
    learn();
    logSteps();
    return empty {};
}

std::uint64_t rollout_part::orderUnderWay(std::string const& service) const
{
    auto const* known = m_controller.rollouts().find(service);
    return known && !known->isFinal() ? known->order : 0;
}

bool rollout_part::refuses(std::string const& service, std::string const& version) const
{
    return m_controller.refuses(service, version, currentTime());
}

bool rollout_part::mayRest(std::string const& service) const { return m_controller.mayRest(service, currentTime()); }

void rollout_part::carryOut(std::vector<rollout_action> actions)
{
    for (auto const& action : actions) {
        if (std::holds_alternative<list_orders>(action)) {
            m_store->list([this, alive = std::weak_ptr(m_isAlive)](result<std::vector<stored_rollout>> const& listed) {
                if (!alive.lock())
                    return;
                if (listed.isError())
                    logWarning("rollouts_not_listed", { { "reason", listed.failure().text() } });
                m_controller.didList(listed, currentTime(), wallClockMs());
            });
            continue;
        }
        auto const& write = std::get<write_status>(action);
        auto const service = write.known.service;
        m_store->writeStatus(write.known, write.wanted,
            [this, service, wanted = write.wanted.state, alive = std::weak_ptr(m_isAlive)](
                result<stored_rollout> const& outcome) {
                if (!alive.lock())
                    return;
                if (outcome.isError()) {
                    logWarning("rollout_status_not_written",
                        { { "service", service }, { "state", stateName(wanted) },
                            { "reason", outcome.failure().text() } });
                } else {
                    auto const& stored = outcome.value();
                    bool const isWritten = stored.isStatusCurrent() && stored.status->state == wanted;
                    logInfo(isWritten ? "rollout_status_written" : "rollout_status_conflict",
                        { { "service", service }, { "state", stateName(wanted) }, { "revision", stored.revision } });
                }
                m_controller.didWrite(service, outcome, currentTime(), wallClockMs());
                learn();
                publish();
                logSteps();
            });
    }
}

void rollout_part::logSteps()
{
    for (auto const& step : m_controller.takeSteps()) {
        auto const& known = step.known;
        auto const counted = exposure()->countersOf(known.service);
        auto const finding = step.finding.value_or(rollout_finding {});
        logInfo(eventName(known.state),
            { { "service", known.service }, { "order", known.order }, { "target_version", known.targetVersion },
                { "age_ms", toMilliseconds(currentTime() - known.orderedAt) },
                { "duration_ms", static_cast<std::int64_t>(known.orderDuration.count()) }, { "new_runs", step.newRuns },
                { "own_answered", counted.answered }, { "own_sent_new", counted.sent },
                { "fault", step.finding ? faultName(finding.fault) : "none" }, { "kind", finding.kind },
                { "fault_runs", finding.runs }, { "fault_failures", finding.failures },
                { "of_new", absl::StrFormat("%.4g", finding.ofNew) },
                { "of_old", absl::StrFormat("%.4g", finding.ofOld) } });
    }
}

} // namespace merlinpier
