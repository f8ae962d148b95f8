#pragma once

#include <LibRouting/retry_budget.h>
#include <LibRouting/routing_snapshot.h>
#include <LibRouting/windowed_retry_budget.h>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace merlinpier {

// The retry budgets of all services of a routing snapshot. Without shared settings, each service has a budget local to
// this daemon, with the share from the service's configuration. With shared settings, each service has this daemon's
// part of a budget that all daemons share.
class retry_budgets {
public:
    explicit retry_budgets(std::optional<shared_budget_settings> shared = {});
    retry_budgets(retry_budgets const&) = delete;
    retry_budgets& operator=(retry_budgets const&) = delete;

    // Applies the retry shares of the snapshot's services. Local budgets of services that are not in it are dropped.
    void setSnapshot(routing_snapshot const&);
    // Sets how many daemons share the budgets; until then the number is unknown. Only a number above all earlier ones
    // has an effect: daemons that this one cannot reach still spend their parts.
    void setDaemons(std::size_t);
    // Counts a new call. The retried share is the probability that it is made by a run that is itself a retry.
    void didStartCall(std::string const& service, double retriedShare, time_point now);
    // Spends one retry of the service's budget; returns false if the budget allows none or the service is unknown.
    bool tryTake(std::string const& service, time_point now);
    // Whether at least half of the service's budget is left.
    bool hasSpare(std::string const& service, time_point now) const;

private:
    std::optional<shared_budget_settings> m_shared;
    std::size_t m_daemons { 0 };
    std::map<std::string, retry_budget> m_localBudgets;
    std::map<std::string, windowed_retry_budget> m_sharedBudgetParts;
};

} // namespace merlinpier
