#include <LibRouting/target_chooser.h>

// The part of target_chooser that explains its choices.

namespace merlinpier {

std::vector<target_outlook> target_chooser::outlook(
    service_route const& service, call_demand const& demand, time_point now) const
{
    std::vector<target_outlook> outlooks;
    for (auto const& target : service.targets) {
        target_outlook seen { .target = target };
        seen.isExpectedToRefuse = expectedRefusal(target, demand, now) != nullptr;
        seen.expectedFinish = expectedFinish(target, demand.kind, now);
        seen.cost = cost(target, demand, now);
        if (auto const found = m_observations.find(target.id); found != m_observations.end()) {
            auto const& observation = found->second;
            seen.isEjected = observation.isEjected(now);
            seen.outstanding = observation.outstanding;
            if (observation.loadReportedAt) {
                seen.loadPermille = observation.loadPermille;
                seen.loadReportAge = now - *observation.loadReportedAt;
            }
        }
        outlooks.push_back(std::move(seen));
    }
    return outlooks;
}

char const* target_chooser::choiceRule() const
{
    switch (m_settings.policy) {
    case choice_policy::LeastLoadedOfTwo:
        return "the less loaded of two random targets of the own zone; of all zones if that one is loaded";
    case choice_policy::Random:
        return "a random target";
    case choice_policy::ExpectedFinish:
        return "the least cost of two random targets of the own zone, and of two of other zones unless one of the "
               "former is expected to end within half of the objective";
    }
    return "";
}

} // namespace merlinpier
