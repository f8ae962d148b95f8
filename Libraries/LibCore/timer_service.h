#pragma once

#include <LibCore/mutex.h>
#include <LibCore/time.h>
#include <cstdint>
#include <functional>
#include <map>
#include <thread>

namespace merlinpier {

// Names one subscription of a timer service.
using timer_id = std::uint64_t;

// Calls subscribers at or after the times that they asked for. Callbacks run one after another on the thread of the
// service, with no lock held, and must not block.
class timer_service {
public:
    timer_service();
    ~timer_service();
    timer_service(timer_service const&) = delete;
    timer_service& operator=(timer_service const&) = delete;

    // Calls back once, after the delay.
    timer_id subscribeOnce(duration delay, std::function<void()>);
    // Calls back again and again, the period apart.
    timer_id subscribe(duration period, std::function<void()>);
    // Ends the thread; a callback that has begun runs to its end, and none follows. Not to be called from a callback.
    void stop();
    // Ends a subscription; a callback that has already begun runs to its end.
    void cancel(timer_id);

private:
    struct subscription {
        timer_id id { 0 };
        duration period { 0 };
        std::function<void()> callback;
    };

    timer_id add(duration delay, duration period, std::function<void()>);
    void run();

    mutex m_mutex { lock_rank::Leaf };
    condition m_changed;
    std::multimap<time_point, subscription> m_queue ABSL_GUARDED_BY(m_mutex);
    timer_id m_nextId ABSL_GUARDED_BY(m_mutex) { 1 };
    timer_id m_running ABSL_GUARDED_BY(m_mutex) { 0 };
    bool m_isStopping ABSL_GUARDED_BY(m_mutex) { false };
    std::thread m_thread;
};

} // namespace merlinpier
