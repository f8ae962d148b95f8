#include <LibRouting/retry_budgets.h>

#include <algorithm>

namespace merlinpier {

retry_budgets::retry_budgets(std::optional<shared_budget_settings> shared)
    : m_shared(shared)
{
}

void retry_budgets::setSnapshot(routing_snapshot const& snapshot)
{
    auto const isGone = [&](auto const& budget) {
        return !snapshot.service(budget.first);
    };
    std::erase_if(m_localBudgets, isGone);
    // Parts of shared budgets are kept: retries spent within the window still count if the service is added again.
    for (auto const& [name, service] : snapshot.services()) {
        if (m_shared) {
            m_sharedBudgetParts.try_emplace(name, *m_shared, m_daemons);
            continue;
        }
        auto const share = service.configuration.retryBudgetPermille;
        m_localBudgets.try_emplace(name, share).first->second.setShare(share);
    }
}

void retry_budgets::setDaemons(std::size_t daemons) { m_daemons = std::max(m_daemons, daemons); }

void retry_budgets::didStartCall(std::string const& service, double retriedShare, time_point now)
{
    if (auto const budget = m_localBudgets.find(service); budget != m_localBudgets.end())
        budget->second.didStartCall(now);
    if (auto const part = m_sharedBudgetParts.find(service); part != m_sharedBudgetParts.end()) {
        part->second.didStartCall(now);
        part->second.didRepeat(retriedShare, now);
    }
}

bool retry_budgets::tryTake(std::string const& service, time_point now)
{
    if (auto const part = m_sharedBudgetParts.find(service); part != m_sharedBudgetParts.end())
        return part->second.tryTake(now);
    auto const budget = m_localBudgets.find(service);
    return budget != m_localBudgets.end() && budget->second.tryTake(now);
}

bool retry_budgets::hasSpare(std::string const& service, time_point now) const
{
    if (auto const part = m_sharedBudgetParts.find(service); part != m_sharedBudgetParts.end())
        return part->second.isHalfLeft(now);
    auto const budget = m_localBudgets.find(service);
    return budget != m_localBudgets.end() && budget->second.isHalfLeft(now);
}

} // namespace merlinpier
