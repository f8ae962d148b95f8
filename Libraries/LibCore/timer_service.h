#pragma once

#include <LibCore/time.h>
#include <LibCore/timer_subscription.h>
#include <functional>
#include <utility>

namespace merlinpier {

// Calls subscribers at or after the times that they asked for. Callbacks run one after another, with no lock held, and
// must not block.
class timer_service {
public:
    virtual ~timer_service() = default;

    // Calls back once, after the delay, unless the subscription has ended by then.
    timer_subscription subscribeOnce(duration delay, std::function<void()> callback)
    {
        return { *this, addOnce(delay, std::move(callback)) };
    }
    // Calls back again and again, the period apart, until the subscription ends.
    timer_subscription subscribe(duration period, std::function<void()> callback)
    {
        return { *this, addPeriodic(period, std::move(callback)) };
    }
    // Calls back once, after the delay, whoever else ends meanwhile: for a callback that owns all that it uses.
    void runAfter(duration delay, std::function<void()> callback) { addOnce(delay, std::move(callback)); }
    // Ends all subscriptions; no callback begins after it returns. Not to be called from a callback.
    virtual void stop() = 0;

private:
    friend class timer_subscription;

    virtual timer_id addOnce(duration delay, std::function<void()>) = 0;
    virtual timer_id addPeriodic(duration period, std::function<void()>) = 0;
    virtual void cancel(timer_id) = 0;
};

} // namespace merlinpier
