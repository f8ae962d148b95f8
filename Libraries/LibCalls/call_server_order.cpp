#include <LibCalls/call_server.h>

// The part of call_server that concerns the order of waiting calls.

namespace merlinpier {

void call_server::useServiceOrder(std::string const& target)
{
    auto& queue = m_queues[target];
    if (queue.order() == admission_order::ServiceOrder)
        return;
    queue.setOrder(admission_order::ServiceOrder);
    m_newlyOrdered.push_back(target);
}

std::optional<admission_outlook> call_server::outlook(
    std::string const& target, admission_request const& request, time_point now) const
{
    auto const found = m_queues.find(target);
    return found == m_queues.end() ? std::nullopt : std::optional(found->second.outlook(request, now));
}

admission_request call_server::admissionRequest(call_request const& call, time_point deadline, time_point objective)
{
    return { call.id, call.callClass, deadline, call.entryPoint, call.priority, objective, call.isLate, call.tenant,
        call.tenantPriority, call.isRetry };
}

} // namespace merlinpier
