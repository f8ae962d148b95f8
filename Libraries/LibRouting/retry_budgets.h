#pragma once

#include <LibRouting/retry_budget.h>
#include <LibRouting/routing_snapshot.h>
#include <map>
#include <string>

namespace merlinpier {

// The retry budgets of all services of the snapshot.
class retry_budgets {
public:
    // Takes over the shares of the snapshot's services and forgets services that are gone.
    void setSnapshot(routing_snapshot const&);
    void didStartCall(std::string const& service, time_point now);
    // Takes one retry from the service's budget; false if it holds none or the service is not known.
    bool tryTake(std::string const& service, time_point now);

private:
    std::map<std::string, retry_budget> m_budgets;
};

} // namespace merlinpier
