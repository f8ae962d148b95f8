#pragma once

#include <cstdint>

namespace merlinpier {

class timer_service;

// Names one subscription of a timer service.
using timer_id = std::uint64_t;

// A subscription of a timer service, which ends when this is destroyed. The owner of what the callback uses keeps it,
// so that the callback cannot outlive its owner. The service must outlive it.
class [[nodiscard]] timer_subscription {
public:
    timer_subscription() = default;
    timer_subscription(timer_service& service, timer_id id)
        : m_service(&service)
        , m_id(id)
    {
    }
    timer_subscription(timer_subscription&&) noexcept;
    timer_subscription& operator=(timer_subscription&&) noexcept;
    ~timer_subscription() { cancel(); }

    // Ends the subscription; a callback that has already begun runs to its end.
    void cancel();

private:
    timer_service* m_service { nullptr };
    timer_id m_id { 0 };
};

} // namespace merlinpier
