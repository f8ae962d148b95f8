#include <LibCore/timer_subscription.h>

#include <LibCore/timer_service.h>
#include <utility>

namespace merlinpier {

timer_subscription::timer_subscription(timer_subscription&& other) noexcept
    : m_service(std::exchange(other.m_service, nullptr))
    , m_id(other.m_id)
{
}

timer_subscription& timer_subscription::operator=(timer_subscription&& other) noexcept
{
    if (this == &other)
        return *this;
    cancel();
    m_service = std::exchange(other.m_service, nullptr);
    m_id = other.m_id;
    return *this;
}

void timer_subscription::cancel()
{
    if (auto* const service = std::exchange(m_service, nullptr))
        service->cancel(m_id);
}

} // namespace merlinpier
