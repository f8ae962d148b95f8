#include <LibRouting/retry_budgets.h>

namespace merlinpier {

void retry_budgets::setSnapshot(routing_snapshot const& snapshot)
{
    for (auto const& [name, service] : snapshot.services()) {
        auto const share = service.configuration.retryBudgetPermille;
        m_budgets.try_emplace(name, share).first->second.setShare(share);
    }
    std::erase_if(m_budgets, [&](auto const& budget) { return !snapshot.service(budget.first); });
}

void retry_budgets::didStartCall(std::string const& service, time_point now)
{
    if (auto const budget = m_budgets.find(service); budget != m_budgets.end())
        budget->second.didStartCall(now);
}

bool retry_budgets::tryTake(std::string const& service, time_point now)
{
    auto const budget = m_budgets.find(service);
    return budget != m_budgets.end() && budget->second.tryTake(now);
}

} // namespace merlinpier
